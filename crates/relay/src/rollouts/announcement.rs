//! What the entry VMs tell each other of a roll-out.

use std::time::Duration;

use compact_str::CompactString;
use pimento_policy::rollout;
use pimento_units::Offset;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

/// How one request ended, as evidence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// Answered, with the time until its first byte.
    Served(Duration),
    /// The endpoint failed it.
    Failed,
}

/// Counts of one route on one version since the order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests that ended.
    pub attempts: u32,
    /// Requests that the endpoint failed.
    pub failed: u32,
    /// Seconds until the first byte of those that were answered.
    pub first_byte_seconds: f32,
}

impl RequestCounts {
    /// Counts a request.
    pub fn count(&mut self, outcome: Outcome) {
        self.attempts = self.attempts.saturating_add(1);
        match outcome {
            Outcome::Served(took) => self.first_byte_seconds += took.as_secs_f32(),
            Outcome::Failed => self.failed = self.failed.saturating_add(1),
        }
    }

    /// Adds another VM's counts.
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
            pace,
        })
    }
}

/// Counts of one route on both versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: CompactString,
    /// On the new version.
    pub new: RequestCounts,
    /// On the old one.
    pub old: RequestCounts,
}

/// How a roll-out ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The old version is left for good.
    Done,
    /// The new version is left for good.
    Undone,
}

/// What a VM says of one roll-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The service.
    pub pool: id::Pool,
    /// The order's place in its topic.
    pub order: Offset,
    /// How old the order is, in milliseconds.
    pub age_ms: u32,
    /// What was seen since.
    pub routes: Vec<Route>,
    /// Endpoints of the new version that failed a request, as hashes.
    pub failing: Vec<u64>,
    /// Whether the new version is bad.
    pub bad: bool,
    /// Whether no request is at the old version any more, nor will be.
    pub drained: bool,
    /// How it ended, if it has.
    pub ended: Option<End>,
}

impl Announcement {
    /// Whether it says something that others should know soon, compared with an earlier one.
    #[must_use]
    pub fn differs(&self, before: &Self) -> bool {
        let told = |said: &Self| (said.order, said.bad, said.drained, said.ended);
        told(self) != told(before) || self.failing.len() != before.failing.len()
    }
}

/// A session that used the old version before the trial and keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinnedSession {
    /// The order's place in its topic.
    pub order: Offset,
    /// The session.
    pub session: u64,
}

/// A VM's announcement, as another one passes it on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeAnnouncement {
    /// Who said it.
    pub node: id::Node,
    /// What.
    pub announcement: Announcement,
}
