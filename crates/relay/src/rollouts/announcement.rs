//! What the entry VMs announce to each other about a roll-out.

use std::time::Duration;

use compact_str::CompactString;
use pimento_policy::rollout;
use pimento_units::Offset;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

/// Answers of the old version at this VM with which one answer is compared, at least.
const MIN_COMPARED_ANSWERS: u16 = 8;

/// The longest time with which an answer counts, as a multiple of the mean. Slow versions take several times as long.
const MAX_COUNTED_RATIO: f32 = 6.0;

/// How one request ended, as evidence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// Answered, with the time until its first byte.
    Served(Duration),
    /// The endpoint failed it.
    Failed,
}

/// Requests of one route on one version since the order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests that ended.
    pub attempts: u32,
    /// Requests that the endpoint failed.
    pub failed: u32,
    /// Total time until the first byte of those that were answered, in seconds.
    pub first_byte_seconds: f32,
}

impl RequestCounts {
    /// The longest time with which an answer counts beside these; none if they are too few to tell.
    ///
    /// A connection that is lost in the network costs a second. In a mean of few short times it would make a
    /// good version look slow.
    #[must_use]
    pub fn longest_counted(&self) -> Option<f32> {
        let answers = u16::try_from(self.attempts.saturating_sub(self.failed)).unwrap_or(u16::MAX);
        let mean = self.first_byte_seconds / f32::from(answers);
        (answers >= MIN_COMPARED_ANSWERS).then_some(mean * MAX_COUNTED_RATIO)
    }

    /// Counts a request. No answer counts as longer than `longest`, in seconds.
    pub fn count(&mut self, outcome: Outcome, longest: Option<f32>) {
        self.attempts = self.attempts.saturating_add(1);
        match outcome {
            Outcome::Served(took) => {
                let took = took.as_secs_f32();
                self.first_byte_seconds += longest.map_or(took, |longest| took.min(longest));
            }
            Outcome::Failed => self.failed = self.failed.saturating_add(1),
        }
    }

    /// Adds other counts, such as another VM's.
    pub fn add(&mut self, other: &Self) {
        self.attempts = self.attempts.saturating_add(other.attempts);
        self.failed = self.failed.saturating_add(other.failed);
        self.first_byte_seconds += other.first_byte_seconds;
    }

    /// The counts as evidence.
    #[must_use]
    pub fn evidence(&self) -> rollout::Evidence {
        let served = self.attempts.saturating_sub(self.failed);
        let pace = (served > 0).then(|| f64::from(self.first_byte_seconds) / f64::from(served));
        rollout::Evidence::from(rollout::Counts {
            rated: 0,
            passed: 0,
            attempts: self.attempts,
            failed: self.failed,
            mean_time: pace,
        })
    }
}

/// Requests of one route on both versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: CompactString,
    /// Requests on the new version.
    pub new: RequestCounts,
    /// Requests on the old version.
    pub old: RequestCounts,
}

/// How a roll-out ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// All requests use the new version from now on.
    Done,
    /// The new version was bad: all requests use the old one from now on.
    RolledBack,
}

/// What a VM announces about one roll-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The service.
    pub pool: id::Pool,
    /// The offset of the order in its topic.
    pub order: Offset,
    /// The age of the order in milliseconds.
    pub age_ms: u32,
    /// The VM's own evidence since the order.
    pub routes: Vec<Route>,
    /// Hashes of endpoints of the new version that failed a request.
    pub failing: Vec<u64>,
    /// Whether the new version is bad.
    pub bad: bool,
    /// Whether none of the VM's requests is at the old version, nor will be sent there.
    pub drained: bool,
    /// How the roll-out ended, if it has.
    pub ended: Option<End>,
}

impl Announcement {
    /// Whether it says how the roll-out ends.
    #[must_use]
    pub const fn is_decided(&self) -> bool {
        self.bad || self.ended.is_some()
    }

    /// Whether other VMs must soon learn of the difference to an earlier announcement. Other counts of
    /// requests alone are not urgent.
    #[must_use]
    pub fn is_urgent_after(&self, before: &Self) -> bool {
        let state = |one: &Self| (one.order, one.bad, one.drained, one.ended);
        state(self) != state(before) || self.failing.len() != before.failing.len()
    }
}

/// A session that used the old version before the trial and stays on it during the trial. It is not related
/// to the pins of [`pimento_policy::session`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinnedSession {
    /// The offset of the order in its topic.
    pub order: Offset,
    /// The session.
    pub session: u64,
}

/// An announcement with the VM that made it, which may differ from the one that forwards it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeAnnouncement {
    /// The VM that made it.
    pub node: id::Node,
    /// The announcement.
    pub announcement: Announcement,
}
