//! Blocks poison requests: requests that crash the endpoints which run them.
//!
//! Each node counts the crashes that it observes and those that peers report with their heartbeats; see
//! [`pimento_policy::poison`]. A blocked request is refused before it is queued and before each send.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_endpoint::probe;
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

/// A node's record of requests during which endpoints crashed.
#[derive(Debug, Default)]
pub struct Tracker {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    table: Table,
    broken_runs: BrokenRuns<Digest>,
    /// Number of peers' reports read so far.
    reports_read: u64,
}

/// Timeout of the connection attempt to an endpoint that may have crashed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time within which load reports show that an endpoint crashed.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(6);

/// Interval between checks of an endpoint's load reports.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The crash of an endpoint's present incarnation. Plain services report no incarnations.
fn crash_of(endpoint: &Endpoint) -> Crash {
    let incarnation = endpoint.incarnation();
    Crash {
        endpoint: choice::hash(endpoint.name.as_str()),
        incarnation: (incarnation > 0).then_some(incarnation),
    }
}

impl Tracker {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Remaining time for which a request is blocked; none if it may be sent.
    fn blocked_for(&self, digest: Digest, now: Moment) -> Option<Duration> {
        self.lock().table.blocked_for(digest, now)
    }

    /// Records a crash that this node observed. Returns what to report to peers, if anything.
    fn record_crash(&self, digest: Digest, crash: Crash, now: Moment) -> Option<Observation> {
        let verdict = self.lock().table.record_crash(digest, crash, now);
        log::info!("poison: An endpoint crashed while it ran {digest}: {verdict:?}.");
        matches!(verdict, Verdict::Suspected(_) | Verdict::Blocked).then_some(
            Observation::Crashed {
                endpoint: crash.endpoint,
                incarnation: crash.incarnation,
            },
        )
    }

    /// Merges reports from peers. Returns the requests whose complete answers are to be announced to peers.
    /// `reports` takes the number of reports read so far; it returns the later ones and the new number.
    fn receive(
        &self,
        reports: impl FnOnce(u64) -> (Vec<Suspicion>, u64),
        now: Moment,
        wall: Wall,
    ) -> Vec<Digest> {
        let ttl = Config::default().crash_ttl;
        let inner = &mut *self.lock();
        let (new_reports, reports_read) = reports(inner.reports_read);
        inner.reports_read = reports_read;
        let mut cleared = Vec::new();
        for report in new_reports {
            let age = wall.since(report.at);
            if age >= ttl {
                continue;
            }
            let at = now.before(age);
            match report.what {
                Observation::Answered => inner.table.merge_answer(report.digest, at),
                Observation::Crashed {
                    endpoint,
                    incarnation,
                } => {
                    let crash = Crash {
                        endpoint,
                        incarnation,
                    };
                    let verdict = inner.table.record_crash(report.digest, crash, at);
                    let contradicts = verdict == Verdict::Cleared;
                    if contradicts && inner.table.should_announce_answer(report.digest, now) {
                        cleared.push(report.digest);
                    }
                }
            }
        }
        for digest in inner.table.expire_blocks(now) {
            log::info!("poison: The block of {digest} has expired.");
        }
        cleared
    }
}

impl Node {
    /// Checks that a request may be sent to endpoints.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] as not run, if the request is blocked.
    pub fn ensure_not_blocked(&self, digest: Digest) -> Result<(), Refusal> {
        let Some(remaining) = self.poison.blocked_for(digest, self.clock.now()) else {
            return Ok(());
        };
        let message = "endpoints crashed while they ran this request";
        Err(Refusal::not_run(Code::Poison, message).retry_after(remaining))
    }

    /// Records a complete answer to a request, which clears it of suspicion.
    pub fn record_complete_answer(&self, digest: Digest) {
        let was_suspect = self
            .poison
            .lock()
            .table
            .record_answer(digest, self.clock.now());
        if was_suspect {
            log::info!("poison: A complete answer clears {digest}.");
            self.announce(digest, Observation::Answered);
        }
    }

    /// Records that a run failed at an endpoint. If its connection broke, the endpoint may have crashed.
    pub fn record_broken_run(&self, digest: Digest, endpoint: &id::Endpoint, fault: &Fault) {
        if !fault.is_interrupted() {
            return;
        }
        // An endpoint that is leaving breaks off its own runs; that is no crash.
        let Some(endpoint) = self.registry.get_active(endpoint) else {
            return;
        };
        let crash = crash_of(&endpoint);
        let action = self.poison.lock().broken_runs.record(digest, crash);
        match action {
            Action::Count(digest) => self.record_crashes(crash, &[digest]),
            Action::Wait => {}
            Action::Probe => {
                let Some(node) = self.to_arc() else { return };
                // Not tracked for shutdown: it takes a bounded time, and its result is of no use to a node
                // that shuts down.
                tokio::spawn(async move { node.resolve_broken_runs(&endpoint, crash).await });
            }
        }
    }

    /// Determines whether an endpoint crashed. If so, records the crash for all runs that broke off there.
    async fn resolve_broken_runs(&self, endpoint: &Endpoint, crash: Crash) {
        let crashed = probe::is_refused(endpoint.address, CONNECT_TIMEOUT).await
            || self.has_restarted_or_left(endpoint).await;
        let digests = self.poison.lock().broken_runs.resolve(crash, crashed);
        log::info!(
            "poison: {} runs broke off at {}, crashed: {crashed}.",
            digests.len(),
            endpoint.name
        );
        if crashed {
            self.record_crashes(crash, &digests);
        }
    }

    /// Whether, within [`DETECTION_TIMEOUT`], an endpoint restarts with another incarnation or leaves the
    /// registry.
    async fn has_restarted_or_left(&self, endpoint: &Endpoint) -> bool {
        let checks = DETECTION_TIMEOUT.as_millis() / CHECK_INTERVAL.as_millis();
        for _ in 0..checks {
            let current = self.registry.get_active(&endpoint.name);
            if current.is_none_or(|current| current.incarnation() != endpoint.incarnation()) {
                return true;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        false
    }

    fn record_crashes(&self, crash: Crash, digests: &[Digest]) {
        for digest in digests {
            if let Some(seen) = self.poison.record_crash(*digest, crash, self.clock.now()) {
                self.announce(*digest, seen);
            }
        }
    }

    fn announce(&self, digest: Digest, what: Observation) {
        let at = self.clock.wall();
        self.mesh.announce_suspicion(Suspicion { digest, what, at });
    }

    /// Merges peers' reports about poison requests.
    pub fn receive_suspicions(&self) {
        let reports = |after| self.mesh.suspicions(after);
        let (now, wall) = (self.clock.now(), self.clock.wall());
        for digest in self.poison.receive(reports, now, wall) {
            self.announce(digest, Observation::Answered);
        }
    }
}
