//! Whether a shift may be reported as done.
//!
//! Its old endpoints stop at once then, and a version that turns out to be bad can't be undone. So nothing that is
//! missing counts as good: nodes that were not heard have not drained, and answers that did not come were not good.
//! A good version that is late is the smaller harm, so that the deadline only takes the place of nodes, not of
//! evidence.

use std::time::Duration;

/// This long before the deadline, nodes that have not drained are no longer waited for. The operators must read the
/// report by then.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);

/// This long after the deadline, nodes that were not heard are no longer waited for.
const NODES_TIMEOUT: Duration = Duration::from_secs(4);

/// This long after the deadline, answers are no longer waited for: hardly anybody calls the service.
const ANSWERS_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers of the new version that must have come since the share rose beyond that of the trial.
const MIN_ANSWERS: u32 = 16;

/// What is known when a shift may be reported as done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is found apart from the others"
)]
pub struct Readiness {
    /// The age of the order.
    pub age: Duration,
    /// The time within which the shift must be done.
    pub time_limit: Duration,
    /// Whether all sessions use the new version.
    pub moved: bool,
    /// Whether the bound on requests holds if all of them use the new version until the deadline.
    pub within_bound: bool,
    /// Whether this node and all that were heard have no call at the old version.
    pub drained: bool,
    /// The number of nodes that were heard not long ago, including this one.
    pub heard: usize,
    /// The number of nodes that are known.
    pub known: usize,
    /// Answers of the new version since the share rose beyond that of the trial.
    pub answers: u32,
    /// Whether each route that has many requests has had answers of the new version.
    pub covers_routes: bool,
    /// Whether the new version's answers are somewhat worse than the old one's, but too few to tell.
    pub doubtful: bool,
}

impl Readiness {
    /// Whether the shift may be reported as done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.moved && self.within_bound && self.has_evidence() && self.has_nodes()
    }

    fn has_evidence(&self) -> bool {
        let enough = self.answers >= MIN_ANSWERS && self.covers_routes && !self.doubtful;
        enough || self.is_overdue(ANSWERS_TIMEOUT)
    }

    fn has_nodes(&self) -> bool {
        let all = self.drained && self.heard >= self.known;
        let late = self.age + DEADLINE_MARGIN >= self.time_limit;
        let most = self.heard * 2 > self.known;
        all || late && most || self.is_overdue(NODES_TIMEOUT)
    }

    fn is_overdue(&self, by: Duration) -> bool {
        self.age >= self.time_limit + by
    }
}
