//! Requests under which endpoints end.
//!
//! Each node counts the ends that it sees and that peers tell of with their heartbeats, by
//! [`pimento_policy::poison`]. A barred request is refused before it waits, and before each send.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_endpoint::gone;
use pimento_policy::choice;
use pimento_policy::poison::Config;
use pimento_policy::poison::Crash;
use pimento_policy::poison::Table;
use pimento_policy::poison::Verdict;
use pimento_policy::poison::broken_runs::Action;
use pimento_policy::poison::broken_runs::BrokenRuns;
use pimento_units::Digest;
use pimento_units::Moment;
use pimento_units::Wall;
use pimento_units::id;
use pimento_wire::peer::Observation;
use pimento_wire::peer::Suspicion;

use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::registry::Endpoint;

/// What a node knows of requests under which endpoints end.
#[derive(Debug, Default)]
pub struct Book {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    table: Table,
    breaks: BrokenRuns,
    /// Words of peers that were read.
    read: u64,
}

/// How long a connection to an endpoint that may have ended may take to be made.
const CONNECT: Duration = Duration::from_millis(500);

/// How long an endpoint that ended may go unnoticed by its load reports, and how often they are looked at.
const UNNOTICED: Duration = Duration::from_secs(6);
const LOOK: Duration = Duration::from_millis(100);

/// The end of an endpoint's present life. Plain services don't tell their lives apart.
fn end(endpoint: &Endpoint) -> Crash {
    let incarnation = endpoint.incarnation();
    Crash {
        endpoint: choice::hash(endpoint.name.as_str()),
        incarnation: (incarnation > 0).then_some(incarnation),
    }
}

impl Book {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long a request is still barred; none if it may be sent.
    fn barred(&self, digest: Digest, now: Moment) -> Option<Duration> {
        self.lock().table.blocked_for(digest, now)
    }

    /// Counts an end that this node saw; what peers are to be told.
    fn ended(&self, digest: Digest, crash: Crash, now: Moment) -> Option<Observation> {
        let verdict = self.lock().table.record_crash(digest, crash, now);
        log::info!("poison: An endpoint ended under {digest}: {verdict:?}.");
        matches!(verdict, Verdict::Suspected(_) | Verdict::Blocked).then_some(
            Observation::Crashed {
                endpoint: crash.endpoint,
                incarnation: crash.incarnation,
            },
        )
    }

    /// Takes what peers say; gives the requests that peers are to be told are answered here. `words`
    /// gives the words after so many, and how many there are by now.
    fn hear(
        &self,
        words: impl FnOnce(u64) -> (Vec<Suspicion>, u64),
        now: Moment,
        wall: Wall,
    ) -> Vec<Digest> {
        let memory = Config::default().crash_ttl;
        let inner = &mut *self.lock();
        let (fresh, read) = words(inner.read);
        inner.read = read;
        let mut cleared = Vec::new();
        for word in fresh {
            let age = wall.since(word.at);
            if age >= memory {
                continue;
            }
            let at = now.before(age);
            match word.what {
                Observation::Answered => inner.table.merge_answer(word.digest, at),
                Observation::Crashed {
                    endpoint,
                    incarnation,
                } => {
                    let crash = Crash {
                        endpoint,
                        incarnation,
                    };
                    let verdict = inner.table.record_crash(word.digest, crash, at);
                    let contradicts = verdict == Verdict::Cleared;
                    if contradicts && inner.table.should_announce_answer(word.digest, now) {
                        cleared.push(word.digest);
                    }
                }
            }
        }
        for digest in inner.table.expire_blocks(now) {
            log::info!("poison: The bar of {digest} has run out.");
        }
        cleared
    }
}

impl Node {
    /// Whether a request may be sent to endpoints.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] as not run, if endpoints ended under it.
    pub fn unbarred(&self, digest: Digest) -> Result<(), Refusal> {
        let Some(left) = self.poison.barred(digest, self.clock.now()) else {
            return Ok(());
        };
        let message = "endpoints ended while they ran this request";
        Err(Refusal::not_run(Code::Poison, message).retry_after(left))
    }

    /// An answer to a request was whole.
    pub fn answered(&self, digest: Digest) {
        let suspect = self
            .poison
            .lock()
            .table
            .record_answer(digest, self.clock.now());
        if suspect {
            log::info!("poison: {digest} is cleared by a whole answer.");
            self.suspect(digest, Observation::Answered);
        }
    }

    /// A run failed at an endpoint. Where its connection ended, the endpoint may have ended as well.
    pub fn failed(&self, digest: Digest, endpoint: &id::Endpoint, fault: &Fault) {
        if !fault.is_cut() {
            return;
        }
        // One that leaves ends what runs there in its own time.
        let Some(endpoint) = self.registry.staying(endpoint) else {
            return;
        };
        let crash = end(&endpoint);
        let step = self.poison.lock().breaks.record(digest, crash);
        match step {
            Action::Count => self.ended(crash, &[digest]),
            Action::Wait => {}
            Action::Probe => {
                let Some(node) = self.shared() else { return };
                // Bounded in time, and of no use to a node that ends.
                tokio::spawn(async move { node.watch(&endpoint, crash).await });
            }
        }
    }

    /// Waits until it is known whether an endpoint ended, and counts that for all that ran there.
    async fn watch(&self, endpoint: &Endpoint, crash: Crash) {
        let ended = gone::is_refused(endpoint.address, CONNECT).await || self.gone(endpoint).await;
        let digests = self.poison.lock().breaks.resolve(crash, ended);
        log::info!(
            "poison: {} runs broke off at {}, ended: {ended}.",
            digests.len(),
            endpoint.name
        );
        if ended {
            self.ended(crash, &digests);
        }
    }

    /// Whether an endpoint turns out to have another life, or is off the list.
    async fn gone(&self, endpoint: &Endpoint) -> bool {
        let looks = UNNOTICED.as_millis() / LOOK.as_millis();
        for _ in 0..looks {
            let known = self.registry.staying(&endpoint.name);
            if known.is_none_or(|known| known.incarnation() != endpoint.incarnation()) {
                return true;
            }
            tokio::time::sleep(LOOK).await;
        }
        false
    }

    fn ended(&self, crash: Crash, digests: &[Digest]) {
        for digest in digests {
            if let Some(seen) = self.poison.ended(*digest, crash, self.clock.now()) {
                self.suspect(*digest, seen);
            }
        }
    }

    fn suspect(&self, digest: Digest, what: Observation) {
        let at = self.clock.wall();
        self.mesh.suspect(Suspicion { digest, what, at });
    }

    /// Takes what peers say of requests under which endpoints end.
    pub fn hear_suspicions(&self) {
        let words = |after| self.mesh.suspicions(after);
        let (now, wall) = (self.clock.now(), self.clock.wall());
        for digest in self.poison.hear(words, now, wall) {
            self.suspect(digest, Observation::Answered);
        }
    }
}
