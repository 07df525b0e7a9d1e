//! Intervals and timeouts of the reads of a topic.

use std::time::Duration;

/// How often a topic is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Polling {
    /// How long the log holds a read open until there are records.
    pub wait: Duration,
    /// Pause between reads. On a topic with many writers, a read that waits at the log would be answered
    /// for each record.
    pub pause: Duration,
}

/// Intervals and timeouts of the reads of a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTiming {
    /// Polling of a VM that reads for itself.
    pub alone: Polling,
    /// Polling of the reader, whose proofs the other VMs of the zone receive later.
    pub reader: Polling,
    /// A served VM reads the log itself once its last proof is this old.
    pub max_proof_age: Duration,
    /// The longest time without data before an answer begins, beyond the wait, and within an answer.
    pub timeout: Duration,
}

/// Polling of a served VM that must read the log itself, because it lacks a change or its proof is too
/// old.
pub const AT_ONCE: Polling = Polling {
    wait: Duration::ZERO,
    pause: Duration::ZERO,
};

/// The role of this VM in reading the log for its zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReadRole {
    /// It reads for itself; no other VM of the zone is alive.
    #[default]
    Alone,
    /// It is the reader of its zone: it reads for the other VMs as well.
    Reader,
    /// It is served: another VM, the reader, reads for it.
    Served,
}

/// The longest wait after failed reads. It bounds how long the recovery of the log goes unnoticed; the
/// bounds on changes of the configuration and on leaving endpoints are two seconds.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// The longest wait of a served VM, whose reader reports as soon as the log is reachable again. All
/// calls are paid for, including refused ones.
pub const SERVED_BACKOFF: Duration = Duration::from_millis(1_200);

/// Number of other VMs in a zone up to which [`SERVED_BACKOFF`] applies unchanged. In larger zones it grows
/// in proportion, up to [`MAX_FACTOR`] times, so that all VMs together call the log no more often. The
/// first that is answered proves the views of the others.
const SMALL_ZONE: u32 = 3;
const MAX_FACTOR: u32 = 4;

/// Time between the attempts of the VMs of a zone, which try one after the other whether the log is
/// reachable again after it refused several of them.
pub const TURN: Duration = Duration::from_millis(400);

/// How often the timeout doubles while the log is busy.
const MAX_DOUBLINGS: u32 = 2;

/// The timeout of the next read, after `unanswered` reads in a row timed out.
///
/// It doubles after each of them, up to four times the normal timeout, if the view `lacks` changes. Many
/// VMs read the same records at once when a large configuration was written or when VMs start together,
/// and the log answers them one after the other. A VM that gives up before its turn asks again, while the
/// log still works on the abandoned answer: the log stays busy with answers that nobody waits for, and no
/// VM gets one. Doubling brings the demand below the capacity of the log. A view that is not known to lack
/// anything keeps the normal timeout, because a longer one would only delay noticing that the log is
/// reachable again.
#[must_use]
pub fn answer_timeout(timing: &ReadTiming, lacks: bool, unanswered: u32) -> Duration {
    if !lacks {
        return timing.timeout;
    }
    timing.timeout * (1 << unanswered.min(MAX_DOUBLINGS))
}

/// The longest wait after failed reads of a VM in this role, which knows `others` other VMs in its zone.
/// It does not grow with the zone if the view `lacks` a change: no other VM's read can replace its own, and
/// it refuses callers once it has lacked the change for too long.
#[must_use]
pub fn max_backoff(role: ReadRole, others: usize, lacks: bool) -> Duration {
    if role != ReadRole::Served {
        return MAX_BACKOFF;
    }
    if lacks {
        return SERVED_BACKOFF;
    }
    let others = u32::try_from(others).unwrap_or(u32::MAX);
    SERVED_BACKOFF * (others / SMALL_ZONE).clamp(1, MAX_FACTOR)
}
