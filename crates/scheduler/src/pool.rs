//! The pools of endpoints and the jobs that wait for their slots.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use pimento_policy::admission;
use pimento_policy::engine::Prompt;
use pimento_policy::queue;
use pimento_policy::throttle::Limit;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::endpoint_limit;
use crate::endpoint_state::Member;
use crate::inner::Inner;
use crate::participants::Participants;
use crate::permit::Permit;
use crate::refused::Refused;

/// Work that wants a slot.
#[derive(Debug, Clone)]
pub struct Job {
    /// Whose it is.
    pub customer: id::Customer,
    /// The customer's weight.
    pub weight: u32,
    /// Priority of the class; lower goes first.
    pub priority: u8,
    /// Estimated work.
    pub tokens: Tokens,
    /// When the whole answer must be there.
    pub deadline: Moment,
    /// The version that the endpoint must hold; none if any will do.
    pub version: Option<id::Version>,
    /// Hash of the prompt's beginning, for the prefix cache.
    pub prefix: Option<u64>,
    /// The prompt, for engines that it is placed at by what they have read and have still to read.
    pub prompt: Option<Prompt>,
    /// Endpoints that failed this request already.
    pub tried: Vec<id::Endpoint>,
    /// Whether the caller comes back with a request that was refused before.
    pub previously_refused: bool,
    /// Whether the call may be sent twice.
    pub repeatable: bool,
}

/// What a job waits on.
#[derive(Debug)]
pub(crate) struct PendingJob {
    pub(crate) job: Job,
    pub(crate) slot: oneshot::Sender<Permit>,
}

/// One pool's scheduler; clones share it.
#[derive(Debug, Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    inner: Mutex<Inner>,
}

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        // A panic between two steps of the bookkeeping is a bug; going on beats refusing all.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pool {
    fn new(clock: Clock) -> Self {
        let shared = Shared {
            clock,
            inner: Mutex::new(Inner::default()),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Puts these endpoints in use in place of the former ones.
    pub fn update(&self, members: Vec<Member>) {
        let now = self.shared.clock.now();
        let mut inner = self.shared.lock();
        inner.update(members);
        inner.dispatch_waiting(&self.shared, now);
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// [`Refused`], at once if the job can't start in time, else when its last chance has passed.
    pub async fn acquire(&self, job: Job, cancel: &CancellationToken) -> Result<Permit, Refused> {
        let (slot, granted) = oneshot::channel();
        let version = job.version.clone();
        let asked = job.clone();
        let (ticket, start_by) = self.enqueue(PendingJob { job, slot })?;
        let _wait = CancelOnDrop {
            pool: self,
            version: &version,
            ticket,
        };
        let deadline = self.shared.clock.instant(start_by);
        tokio::select! {
            // A slot that came is taken first, or it would be given back unused.
            biased;
            slot = granted => match slot {
                Ok(permit) => Ok(permit),
                Err(_) => Err(no_endpoint()),
            },
            () = cancel.cancelled() => Err(Refused::CallerGone),
            () = tokio::time::sleep_until(deadline) => Err(self.expired(&asked)),
        }
    }

    fn enqueue(&self, pending: PendingJob) -> Result<(queue::Ticket, Moment), Refused> {
        let now = self.shared.clock.now();
        let mut inner = self.shared.lock();
        let demand = inner.demand(&pending.job, now).ok_or_else(no_endpoint)?;
        if let Some(after) = inner.unavailable_for(&pending.job, now) {
            return Err(Refused::Overloaded { after });
        }
        if let Some(after) = inner.throttled_for(&pending.job, now) {
            return Err(Refused::Overloaded { after });
        }
        let verdict = inner.decide(&pending.job, demand, now, rand::random());
        let start_by = match verdict {
            admission::Verdict::Admit { start_by } => start_by,
            admission::Verdict::Refuse { retry_after } => {
                return Err(Refused::Overloaded { after: retry_after });
            }
        };
        let ticket = inner.enqueue(pending, start_by);
        inner.dispatch_waiting(&self.shared, now);
        Ok((ticket, start_by))
    }

    /// A slot at once, without queueing, for a hedge; none if none is free.
    #[must_use]
    pub fn try_acquire(&self, job: &Job) -> Option<Permit> {
        let now = self.shared.clock.now();
        self.shared.lock().try_acquire(&self.shared, job, now)
    }

    fn expired(&self, job: &Job) -> Refused {
        let now = self.shared.clock.now();
        let after = self.shared.lock().retry_after(job, now, rand::random());
        Refused::Expired { after }
    }

    /// What a job with a prompt would meet at the endpoint that it would get; none if there is none,
    /// or the job has no prompt.
    #[must_use]
    pub fn estimate(&self, job: &Job) -> Option<Estimate> {
        let now = self.shared.clock.now();
        self.shared.lock().estimate(job, now)
    }

    /// How long work of `tokens` is expected to run on a version.
    #[must_use]
    pub fn expected_run_time(&self, version: Option<&id::Version>, tokens: Tokens) -> Duration {
        self.shared.lock().expected_run_time(version, tokens)
    }

    /// Whether any usable endpoint holds the version.
    #[must_use]
    pub fn holds(&self, version: Option<&id::Version>) -> bool {
        self.shared.lock().holds(version)
    }

    /// Prompts that engines read since the last call, each with the key of its engine, for other VMs.
    #[must_use]
    pub fn take_prefilled(&self) -> Vec<(u64, Prompt)> {
        self.shared.lock().take_prefilled()
    }

    /// How long each engine takes for this VM's prompts, for other VMs; only those that take time.
    #[must_use]
    pub fn engine_waits(&self) -> Vec<(u64, Duration)> {
        let now = self.shared.clock.now();
        self.shared.lock().engine_waits(now)
    }

    /// Another VM says how long engines take for its prompts.
    pub fn merge_waits(&self, node: u64, waits: &[(u64, Duration)]) {
        let now = self.shared.clock.now();
        self.shared.lock().merge_waits(node, waits, now);
    }

    /// An engine read another VM's prompt and keeps its parts from now on.
    pub fn merge_prefilled(&self, engine: u64, prompt: &Prompt) {
        let now = self.shared.clock.now();
        self.shared.lock().merge_prefilled(engine, prompt, now);
    }

    /// An endpoint named a limit, or none, in its answer to a call that was sent at `asked`. Whether that
    /// is news.
    #[must_use]
    pub fn record_limit(
        &self,
        endpoint: &id::Endpoint,
        limit: Option<Limit>,
        asked: Moment,
    ) -> bool {
        let now = self.shared.clock.now();
        self.shared.lock().record_limit(endpoint, limit, asked, now)
    }

    /// What other VMs are to be told of limits.
    #[must_use]
    pub fn limit_reports(&self) -> Vec<endpoint_limit::Report> {
        let now = self.shared.clock.now();
        self.shared.lock().limit_reports(now)
    }

    /// Another VM says what an endpoint named.
    pub fn merge_limit(&self, report: endpoint_limit::Report) {
        let now = self.shared.clock.now();
        self.shared.lock().merge_limit(report, now);
    }

    /// How fast models read, in seconds for a token by the models' hashes; none before enough is
    /// known to be told to others.
    #[must_use]
    pub fn seconds_per_token(&self) -> Vec<(u64, f64)> {
        self.shared.lock().prefill().reportable().to_vec()
    }

    /// Calls in flight at endpoints that don't hold `version`.
    #[must_use]
    pub fn in_flight_without(&self, version: &id::Version) -> u32 {
        self.shared.lock().in_flight_without(version)
    }

    /// CancelOnDrop jobs, calls in flight, slots and ejected endpoints.
    #[must_use]
    pub fn depth(&self) -> Depth {
        self.shared.lock().depth()
    }
}

/// What a prompt would meet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Wait for the prompts sent before.
    pub wait: Duration,
    /// Reading of what the engine does not keep.
    pub prefill: Duration,
    /// Reading of the whole prompt.
    pub full_prefill: Duration,
    /// What the next prompt would wait: the mean over the less busy half of the engines nearby, once
    /// this one is placed.
    pub next_wait: Duration,
}

/// Figures of a pool for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Depth {
    /// Jobs that wait.
    pub waiting: usize,
    /// Calls in flight from this node.
    pub in_flight: u32,
    /// The sum of the limits.
    pub slots: u32,
    /// Endpoints ejected.
    pub ejected: usize,
    /// Endpoints usable.
    pub usable: usize,
    /// Of these, endpoints that named a limit.
    pub limited: usize,
}

impl Depth {
    /// The figures with their names in metrics.
    #[must_use]
    pub fn figures(&self) -> [(&'static str, u64); 6] {
        let count = |count| u64::try_from(count).unwrap_or(u64::MAX);
        [
            ("waiting", count(self.waiting)),
            ("flying", u64::from(self.in_flight)),
            ("slots", u64::from(self.slots)),
            ("usable", count(self.usable)),
            ("ejected", count(self.ejected)),
            ("limited", count(self.limited)),
        ]
    }
}

/// Takes the job out of the queue if its caller stops waiting for whatever reason, so that no slot
/// is given to nobody.
struct CancelOnDrop<'a> {
    pool: &'a Pool,
    version: &'a Option<id::Version>,
    ticket: queue::Ticket,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        let shared = &self.pool.shared;
        shared.lock().cancel(self.version.as_ref(), self.ticket);
    }
}

const fn no_endpoint() -> Refused {
    /// A list or load report later, an endpoint may be there.
    const RETRY_AFTER: Duration = Duration::from_secs(2);
    Refused::NoEndpoint { after: RETRY_AFTER }
}

/// All pools of a node; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Scheduler {
    clock: Clock,
    /// Sorted by pool.
    pools: Arc<RwLock<Vec<(id::Pool, Pool)>>>,
    /// How fast models read, as other VMs learnt, for pools to come.
    seconds_per_token: Arc<RwLock<Vec<(u64, f64)>>>,
    /// The VMs that share what endpoints take.
    participants: Arc<RwLock<Participants>>,
}

impl Scheduler {
    /// Without pools yet.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            pools: Arc::default(),
            seconds_per_token: Arc::default(),
            participants: Arc::default(),
        }
    }

    /// One pool; made empty if it is not known yet.
    #[must_use]
    pub fn pool(&self, name: &id::Pool) -> Pool {
        let find = |pools: &[(id::Pool, Pool)]| pools.binary_search_by(|(p, _)| p.cmp(name));
        {
            let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
            if let Ok(place) = find(&pools) {
                return pools[place].1.clone();
            }
        }
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        match find(&pools) {
            Ok(place) => pools[place].1.clone(),
            Err(place) => {
                let pool = Pool::new(self.clock);
                let known = self
                    .seconds_per_token
                    .read()
                    .unwrap_or_else(PoisonError::into_inner);
                pool.shared.lock().seed_prefill(&known);
                let participants = self
                    .participants
                    .read()
                    .unwrap_or_else(PoisonError::into_inner);
                pool.shared
                    .lock()
                    .set_participants(participants.clone(), self.clock.now());
                pools.insert(place, (name.clone(), pool.clone()));
                pool
            }
        }
    }

    /// Takes what another VM learnt of how fast models read, for all pools.
    pub fn seed_prefill(&self, seconds_per_token: &[(u64, f64)]) {
        for (_, pool) in self.pools() {
            pool.shared.lock().seed_prefill(seconds_per_token);
        }
        let mut known = self
            .seconds_per_token
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        known.extend_from_slice(seconds_per_token);
    }

    /// These VMs share what endpoints take from now on.
    pub fn set_participants(&self, participants: &Participants) {
        {
            let mut known = self
                .participants
                .write()
                .unwrap_or_else(PoisonError::into_inner);
            if *known == *participants {
                return;
            }
            *known = participants.clone();
        }
        let now = self.clock.now();
        for (_, pool) in self.pools() {
            pool.shared
                .lock()
                .set_participants(participants.clone(), now);
        }
    }

    /// All pools, sorted by name.
    #[must_use]
    pub fn pools(&self) -> Vec<(id::Pool, Pool)> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools.clone()
    }
}
