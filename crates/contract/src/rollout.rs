//! Roll-outs: the stages in which a new version replaces an older one.

use pimento_units::Share;
use pimento_units::Span;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

/// A roll-out of `to` in place of `from`. Each `to` has at most one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version that is replaced.
    pub from: id::Version,
    /// The version that is rolled out.
    pub to: id::Version,
    /// Increasing weights of `to`; the last is 1.
    pub stages: Vec<Share>,
    /// Index of the stage in force.
    pub stage: usize,
    /// Whether the roll-out is running.
    pub status: Status,
    /// Conditions for advancing to the next stage.
    pub gate: Gate,
}

/// Whether a roll-out is running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Sessions move to `to` according to the weight of the stage.
    Running,
    /// No new session moves to `to`.
    Halted,
    /// All sessions go to `to`.
    Done,
}

/// Conditions for advancing a roll-out to the next stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gate {
    /// Minimum number of rated answers of `to`.
    pub samples: u32,
    /// Maximum difference by which the fraction of passed answers of `to` may be below that of
    /// `from`.
    pub quality: Share,
    /// Maximum fraction of failed attempts.
    pub errors: Share,
    /// Maximum ratio of the latencies of `to` and `from`, in hundredths (150 means 1.5 times).
    pub latency: u32,
    /// Minimum time in a stage.
    pub dwell: Span,
}

impl Rollout {
    /// The current fraction of sessions that go to `to`.
    #[must_use]
    pub fn weight(&self) -> Share {
        match self.status {
            Status::Done => Share::ONE,
            Status::Halted => Share::ZERO,
            Status::Running => self.stages.get(self.stage).copied().unwrap_or(Share::ZERO),
        }
    }
}
