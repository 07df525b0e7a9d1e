//! A roll-out: the stages by which a new version takes over from an older one.

use pimento_units::Share;
use pimento_units::Span;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

/// A roll-out of `to` in place of `from`. There is one for each `to`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version that is replaced.
    pub from: id::Version,
    /// The version that comes in.
    pub to: id::Version,
    /// Rising weights of `to`; the last is 1.
    pub stages: Vec<Share>,
    /// Index of the stage in force.
    pub stage: usize,
    /// Whether the roll-out goes on.
    pub status: Status,
    /// What must hold before the next stage.
    pub gate: Gate,
}

/// Whether a roll-out goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Sessions move to `to` by the weight of the stage.
    Running,
    /// No new session moves to `to`.
    Halted,
    /// All sessions go to `to`.
    Done,
}

/// Evidence that a stage needs before the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gate {
    /// Rated answers of `to` needed.
    pub samples: u32,
    /// How far below `from` the share of passed answers of `to` may lie.
    pub quality: Share,
    /// The largest share of failed attempts.
    pub errors: Share,
    /// The largest ratio of latencies, `to` over `from`, in hundredths (150 is 1.5 times).
    pub latency: u32,
    /// The shortest time in a stage.
    pub dwell: Span,
}

impl Rollout {
    /// The share of sessions that go to `to` now.
    #[must_use]
    pub fn weight(&self) -> Share {
        match self.status {
            Status::Done => Share::ONE,
            Status::Halted => Share::ZERO,
            Status::Running => self.stages.get(self.stage).copied().unwrap_or(Share::ZERO),
        }
    }
}
