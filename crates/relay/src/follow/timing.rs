//! How often and how patiently a topic is read.

use std::time::Duration;

/// One way of reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Polling {
    /// How long a read waits for records at the log.
    pub wait: Duration,
    /// Pause between reads. On a topic on which many write, a read that waits would be answered for
    /// each record.
    pub pause: Duration,
}

/// How a topic is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// By a VM that reads for itself.
    pub alone: Polling,
    /// By a VM that reads for others as well, whose proofs reach them later.
    pub leading: Polling,
    /// A VM that others read for reads by itself once its proof is this old.
    pub max_proof_age: Duration,
    /// How long an answer may take to begin, beyond the wait, and to go on.
    pub timeout: Duration,
}

/// How a VM reads that knows of something new, or that nobody reads for any more.
pub const AT_ONCE: Polling = Polling {
    wait: Duration::ZERO,
    pause: Duration::ZERO,
};

/// Who reads for whom among the VMs of a zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Lead {
    /// Nobody else is there.
    #[default]
    Alone,
    /// This VM reads for the others.
    Leading,
    /// Another VM reads for this one.
    Led,
}

/// The longest pause after failed reads. It bounds how long a log that is back goes unnoticed, and
/// the bounds on configuration and on leaving endpoints are two seconds.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// The same for a VM that another one reads for, which tells it as soon as the log is back. All calls
/// are paid for, also those that are refused.
pub const LED_PAUSE: Duration = Duration::from_millis(1_200);

/// VMs of a zone up to which that pause stands. In larger zones it grows with their number, up to four
/// times, so that all of them together ask no more often: the first that is answered vouches for the
/// others.
const FEW: u32 = 3;
const MANY: u32 = 4;

/// Time between the VMs of a zone that try whether the log is back, one after the other, when it
/// turned several of them away.
pub const SUCCESSION: Duration = Duration::from_millis(400);

/// Doublings of the patience with a log that is known to be busy.
const DOUBLINGS: u32 = 2;

/// How long an answer may take to begin, beyond its wait, and to go on, after so many reads in a row of
/// which nothing came.
///
/// A view that lacks something that is on the log is one of many that ask for it at once, when a large
/// configuration was written or VMs start together, and the log answers one after the other. Each that
/// gives up before its turn asks anew, while the log works on for those that gave up: it stays busy with
/// answers for nobody, and no VM gets its own. With twice the time after each the demand falls below what
/// the log can do. Where nothing is known to be missing, a longer patience would only let the return of a
/// log that was out go unnoticed for longer.
#[must_use]
pub fn answer_timeout(timing: &Timing, lacks: bool, silent: u32) -> Duration {
    if !lacks {
        return timing.timeout;
    }
    timing.timeout * (1 << silent.min(DOUBLINGS))
}

/// The longest pause after failed reads of a VM in this role, where it knows of this many others in its
/// zone. A view that lacks a change is read for sooner: nobody else's read can make up for its own, and
/// its callers are refused once it has lacked the change for too long.
#[must_use]
pub fn max_backoff(role: Lead, others: usize, lacks: bool) -> Duration {
    if role != Lead::Led {
        return LONGEST_PAUSE;
    }
    if lacks {
        return LED_PAUSE;
    }
    let others = u32::try_from(others).unwrap_or(u32::MAX);
    LED_PAUSE * (others / FEW).clamp(1, MANY)
}
