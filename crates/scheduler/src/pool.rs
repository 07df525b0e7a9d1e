//! Pools of endpoints, and the jobs that wait for their slots.

mod estimate;
mod loans;
mod metrics;
mod speeds;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_policy::admission;
use pimento_policy::engine::Prompt;
use pimento_policy::queue;
use pimento_policy::rest::Rest;
use pimento_policy::shed::Aim;
use pimento_policy::throttle::RateLimit;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

pub use self::estimate::Estimate;
pub use self::metrics::PoolMetrics;
use crate::clock::Clock;
use crate::endpoint_limit;
use crate::endpoint_state::Member;
use crate::no_slot::NoSlot;
use crate::permit::Permit;
use crate::pool_state::PoolState;
use crate::pool_state::rest;
use crate::requirement::Requirement;

/// A job that needs a slot.
#[derive(Debug, Clone)]
pub struct Job {
    /// The customer that it belongs to.
    pub customer: id::Customer,
    /// The customer's weight.
    pub weight: u32,
    /// Priority of the class; lower goes first.
    pub priority: u8,
    /// Estimated work.
    pub tokens: Tokens,
    /// When the complete answer is due.
    pub deadline: Moment,
    /// What its endpoint must hold, and where it may be.
    pub requirement: Requirement,
    /// Hash of the prompt's shared prefix, for cache affinity.
    pub prefix: Option<u64>,
    /// The prompt, for placement by prefix caches and pending prefill.
    pub prompt: Option<Prompt>,
    /// When the caller wants the answer, for a call to a plain endpoint; `None` if by the deadline.
    pub aim: Option<Aim>,
    /// Endpoints that failed this request before.
    pub tried: Vec<id::Endpoint>,
    /// An endpoint that must not get the job, since it still runs the same request.
    pub excluded: Option<id::Endpoint>,
    /// Whether the caller retries a request that was refused before.
    pub previously_refused: bool,
    /// Whether the call may be sent twice.
    pub repeatable: bool,
}

/// A waiting job, with the channel for its permit.
#[derive(Debug)]
pub(crate) struct PendingJob {
    pub(crate) job: Job,
    pub(crate) permit_sender: oneshot::Sender<Permit>,
}

/// The scheduler of one pool. Clones share its state.
#[derive(Debug, Clone)]
pub struct Pool {
    pub(crate) shared: Arc<Shared>,
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    state: Mutex<PoolState>,
    /// Notified when this VM may use less of what endpoints take than before.
    pub(crate) shares_shrank: Notify,
}

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, PoolState> {
        // A panic between two updates of the state is a bug; continuing is better than refusing all jobs.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pool {
    pub(crate) fn new(clock: Clock) -> Self {
        let shared = Shared {
            clock,
            state: Mutex::new(PoolState::default()),
            shares_shrank: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Replaces the endpoints of the pool.
    pub fn update(&self, members: Vec<Member>) {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        state.update(members, now);
        state.dispatch_waiting(&self.shared, now);
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// [`NoSlot`], at once if the job can't start in time, else when its latest start has passed.
    pub async fn acquire(&self, job: Job, cancel: &CancellationToken) -> Result<Permit, NoSlot> {
        let (permit_sender, granted) = oneshot::channel();
        let requirement = job.requirement.clone();
        let expired = job.clone();
        let (ticket, start_by) = self.enqueue(PendingJob { job, permit_sender })?;
        let _guard = CancelOnDrop {
            pool: self,
            requirement: &requirement,
            ticket,
        };
        let deadline = self.shared.clock.instant(start_by);
        tokio::select! {
            // A permit that has arrived takes precedence, or it would be released unused.
            biased;
            received = granted => match received {
                Ok(permit) => Ok(permit),
                Err(_) => Err(no_endpoint()),
            },
            () = cancel.cancelled() => Err(NoSlot::CallerGone),
            no_slot = self.throttled(&expired) => Err(no_slot),
            () = tokio::time::sleep_until(deadline) => Err(self.expired(&expired)),
        }
    }

    /// Waits until a waiting job can't start in time any more, because this VM may use less of what endpoints
    /// take.
    async fn throttled(&self, job: &Job) -> NoSlot {
        loop {
            self.shared.shares_shrank.notified().await;
            let now = self.shared.clock.now();
            let state = self.shared.lock();
            let place = state.waiting_jobs(&job.requirement);
            if let Some(no_slot) = state.throttled_for(job, place, now) {
                return no_slot;
            }
        }
    }

    fn enqueue(&self, pending: PendingJob) -> Result<(queue::Ticket, Moment), NoSlot> {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        let demand = state.demand(&pending.job, now).ok_or_else(no_endpoint)?;
        if state.is_too_large(&pending.job) {
            return Err(NoSlot::TooLarge);
        }
        state.record_arrival(now);
        if state.expire_loans(now) {
            self.shared.shares_shrank.notify_waiters();
        }
        let place = state.waiting_jobs(&pending.job.requirement) + 1;
        if let Some(no_slot) = state.throttled_for(&pending.job, place, now) {
            return Err(no_slot);
        }
        if let Some(after) = state.unavailable_for(&pending.job, now) {
            return Err(NoSlot::Overloaded { after });
        }
        if let Some(after) = state.shed(&pending.job, now, rand::random()) {
            return Err(NoSlot::Overloaded { after });
        }
        let verdict = state.decide(&pending.job, demand, now, rand::random());
        let start_by = match verdict {
            admission::Verdict::Admit { start_by } => start_by,
            admission::Verdict::Refuse { retry_after } => {
                return Err(NoSlot::Overloaded { after: retry_after });
            }
        };
        let ticket = state.enqueue(pending, start_by);
        state.dispatch_waiting(&self.shared, now);
        Ok((ticket, start_by))
    }

    /// Acquires a slot at once, without queueing, for a hedge. Returns `None` if none is free.
    #[must_use]
    pub fn try_acquire(&self, job: &Job) -> Option<Permit> {
        let now = self.shared.clock.now();
        self.shared.lock().try_acquire(&self.shared, job, now)
    }

    fn expired(&self, job: &Job) -> NoSlot {
        let now = self.shared.clock.now();
        let after = self.shared.lock().retry_after(job, now, rand::random());
        NoSlot::Expired { after }
    }

    /// Estimates the wait and the prefill time at the engine that a job with a prompt would get. Returns
    /// `None` if there is no such engine, or the job has no prompt.
    #[must_use]
    pub fn estimate(&self, job: &Job) -> Option<Estimate> {
        let now = self.shared.clock.now();
        self.shared.lock().estimate(job, now)
    }

    /// Returns the expected run time of work of `tokens` on a version.
    #[must_use]
    pub fn expected_run_time(&self, version: Option<&id::Version>, tokens: Tokens) -> Duration {
        let requirement = Requirement::version(version.cloned());
        self.shared.lock().expected_run_time(&requirement, tokens)
    }

    /// Returns whether any usable endpoint holds the version.
    #[must_use]
    pub fn holds(&self, version: Option<&id::Version>) -> bool {
        let requirement = Requirement::version(version.cloned());
        self.shared.lock().has_usable(&requirement)
    }

    /// Returns the prompts that engines prefilled since the last call, each with its engine's key, to
    /// report to other VMs.
    #[must_use]
    pub fn take_prefilled(&self) -> Vec<(u64, Prompt)> {
        self.shared.lock().take_prefilled()
    }

    /// Returns how long engines take for this VM's prompts, to report to other VMs. Engines without any are
    /// left out.
    #[must_use]
    pub fn engine_waits(&self) -> Vec<(u64, Duration)> {
        let now = self.shared.clock.now();
        self.shared.lock().engine_waits(now)
    }

    /// Merges another VM's report of how long engines take for its prompts.
    pub fn merge_waits(&self, node: u64, waits: &[(u64, Duration)]) {
        let now = self.shared.clock.now();
        self.shared.lock().merge_waits(node, waits, now);
    }

    /// Merges another VM's report that an engine prefilled a prompt, whose parts are cached there from now
    /// on.
    pub fn merge_prefilled(&self, engine: u64, prompt: &Prompt) {
        let now = self.shared.clock.now();
        self.shared.lock().merge_prefilled(engine, prompt, now);
    }

    /// Records the limit, or its absence, in an endpoint's answer to a call that was sent at `sent`.
    /// Returns whether the limit changed.
    #[must_use]
    pub fn record_limit(
        &self,
        endpoint: &id::Endpoint,
        kind: endpoint_limit::Kind,
        limit: Option<RateLimit>,
        sent: Moment,
    ) -> bool {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        state.record_limit(endpoint, kind, limit, sent, now)
    }

    /// Returns whether an endpoint says that it falls over when it turns many requests away.
    #[must_use]
    pub fn is_brittle(&self, endpoint: &id::Endpoint) -> bool {
        let now = self.shared.clock.now();
        self.shared.lock().is_brittle(endpoint, now)
    }

    /// Records that an endpoint which turned a request away wants none from this VM for some time.
    pub fn record_rest(&self, endpoint: &id::Endpoint, rest: Rest) {
        let now = self.shared.clock.now();
        let spread = rand::random_range(0.0..1.0);
        let mut state = self.shared.lock();
        state.record_rest(endpoint, rest, spread, now);
    }

    /// Returns whether an endpoint wants no requests from this VM at present.
    #[must_use]
    pub fn is_resting(&self, endpoint: &id::Endpoint) -> bool {
        let now = self.shared.clock.now();
        self.shared.lock().is_resting(endpoint, now)
    }

    /// Returns the endpoints that want no requests at present, to report to the VMs that connected this one.
    #[must_use]
    pub fn rests(&self) -> Vec<rest::Report> {
        let now = self.shared.clock.now();
        self.shared.lock().rests(now)
    }

    /// Merges the report of a VM that reached an endpoint through this one.
    pub fn merge_rest(&self, report: rest::Report) {
        let now = self.shared.clock.now();
        self.shared.lock().merge_rest(report, now);
    }

    /// Returns the reports of endpoints' limits for other VMs.
    #[must_use]
    pub fn limit_reports(&self) -> Vec<endpoint_limit::Report> {
        let now = self.shared.clock.now();
        self.shared.lock().limit_reports(now)
    }

    /// Merges another VM's report of an endpoint's limit.
    pub fn merge_limit(&self, report: endpoint_limit::Report) {
        let now = self.shared.clock.now();
        self.shared.lock().merge_limit(report, now);
    }

    /// Returns the prefill speed of models in seconds per token, by hash of the model. It is empty before
    /// there are enough samples to report it to other VMs.
    #[must_use]
    pub fn seconds_per_token(&self) -> Vec<(u64, f64)> {
        self.shared.lock().prefill().reportable().to_vec()
    }

    /// Returns the number of calls in flight at endpoints that don't hold `version`.
    #[must_use]
    pub fn in_flight_without(&self, version: &id::Version) -> u32 {
        self.shared.lock().in_flight_without(version)
    }

    /// Returns the pool's metrics.
    #[must_use]
    pub fn metrics(&self) -> PoolMetrics {
        let now = self.shared.clock.now();
        self.shared.lock().metrics(now)
    }
}

/// Removes the job from the queue when its caller stops waiting for any reason, so that no slot is given to
/// a job that is gone.
struct CancelOnDrop<'a> {
    pool: &'a Pool,
    requirement: &'a Requirement,
    ticket: queue::Ticket,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        let shared = &self.pool.shared;
        shared.lock().cancel(self.requirement, self.ticket);
    }
}

const fn no_endpoint() -> NoSlot {
    /// Within this time an update of the list or a load report may make an endpoint available.
    const RETRY_AFTER: Duration = Duration::from_secs(2);
    NoSlot::NoEndpoint { after: RETRY_AFTER }
}
