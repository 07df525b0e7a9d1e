//! How often and how patiently a topic is read.

use std::time::Duration;

/// One way of reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gait {
    /// How long a read waits for records at the log.
    pub wait: Duration,
    /// Pause between reads. On a topic on which many write, a read that waits would be answered for
    /// each record.
    pub pause: Duration,
}

/// How a topic is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// By a VM that reads for itself.
    pub alone: Gait,
    /// By a VM that reads for others as well, whose proofs reach them later.
    pub leading: Gait,
    /// A VM that others read for reads by itself once its proof is this old.
    pub trust: Duration,
    /// How long an answer may take to begin, beyond the wait, and to go on.
    pub patience: Duration,
}

/// How a VM reads that knows of something new, or that nobody reads for any more.
pub const AT_ONCE: Gait = Gait {
    wait: Duration::ZERO,
    pause: Duration::ZERO,
};
