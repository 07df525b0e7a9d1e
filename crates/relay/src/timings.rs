//! Intervals and timeouts of the reads of the log, derived from the bounds that must hold.
//!
//! Every read is paid for, so that a topic is read no more often than its bound requires. A fixed share of a
//! bound is the age that a proof may have. The rest is for one read that gets no answer and its retry.

use std::time::Duration;

use snafu::Snafu;

use crate::config::Bounds;
use crate::follow::Polling;
use crate::follow::ReadTiming;

/// Bounds above these count as these: a longer interval would save few calls, and callers would see new
/// endpoints and changes later than necessary.
const MAX_LEAVING_BOUND: Duration = Duration::from_secs(4);
const MAX_CHANGE_BOUND: Duration = Duration::from_secs(2);

/// The shortest bounds that can be held: an answer of the log takes up to a tenth of a second.
const MIN_LEAVING_BOUND: Duration = Duration::from_millis(600);
const MIN_CHANGE_BOUND: Duration = Duration::from_secs(1);

/// The longest timeout of an answer.
const MAX_TIMEOUT: Duration = Duration::from_millis(450);

/// Pause before the retry of a read that got no answer.
const RETRY: Duration = Duration::from_millis(50);

/// Share of the bound on revoked keys within which a VM must know of a change. The rest is for proofs from
/// other VMs, which are older, and for reporting itself unready before it must refuse callers.
const REVOKE_SHARE: f64 = 0.4;

/// Share of the bound on evacuations within which a VM must know of one. The rest is for proofs from other
/// VMs, and for what was sent before.
const EVACUATION_SHARE: f64 = 0.5;

/// Shares of the bound on leaving endpoints: the highest age of a proof, and the pauses between the reads of
/// the reader and of a VM that is alone. One proof may be lost before the last one is too old.
const LEAVING_PROOF_AGE: f64 = 0.75;
const LEAVING_READER_PAUSE: f64 = 0.25;
const LEAVING_ALONE_PAUSE: f64 = 0.45;

/// Shares of the bound on changes: the highest age of a proof, the waits at the log of the reader and of a
/// VM that is alone, and the timeout. A proof is as old as the read behind it, up to twice the wait.
const CHANGE_PROOF_AGE: f64 = 1.15;
const CHANGE_READER_WAIT: f64 = 0.3;
const CHANGE_ALONE_WAIT: f64 = 0.5;
const CHANGE_TIMEOUT: f64 = 0.225;

/// Timing of the topic of requests during which endpoints crashed. VMs also send them to each other in
/// datagrams, so that a silent connection may go unnoticed for some seconds.
const POISON_WAIT: Polling = Polling {
    wait: Duration::from_secs(5),
    pause: Duration::ZERO,
};
const POISON: ReadTiming = ReadTiming {
    alone: POISON_WAIT,
    reader: POISON_WAIT,
    max_proof_age: Duration::from_secs(20),
    timeout: MAX_TIMEOUT,
};

/// Timings of the topics that all VMs read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timings {
    /// The operators' topic. Changes are rare, so that a read can wait at the log for one.
    pub operators: ReadTiming,
    /// The endpoints' topic. Each endpoint writes about once a second. A read that waits at the log would
    /// be answered for each of their records.
    pub endpoints: ReadTiming,
    /// The topic of requests during which endpoints crashed. Records are rare, and a read that waits at the
    /// log returns them at once.
    pub poison: ReadTiming,
}

/// A bound that can't be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The bound on leaving endpoints.
    #[snafu(display(
        "leaving endpoints can't be known within {bound:?}; the shortest possible bound is {MIN_LEAVING_BOUND:?}"
    ))]
    Leaving {
        /// The bound.
        bound: Duration,
    },
    /// The bound on changes of the configuration, or on revoked keys.
    #[snafu(display(
        "a change can't be known within {bound:?}; the bound on changes and {REVOKE_SHARE} of the bound on revoked keys must be at least {MIN_CHANGE_BOUND:?}"
    ))]
    Change {
        /// The bound on changes, or the share of the bound on revoked keys if that is shorter.
        bound: Duration,
    },
}

impl TryFrom<&Bounds> for Timings {
    type Error = Error;

    fn try_from(bounds: &Bounds) -> Result<Self, Error> {
        Ok(Self {
            operators: operators(bounds)?,
            endpoints: endpoints(bounds)?,
            poison: POISON,
        })
    }
}

fn operators(bounds: &Bounds) -> Result<ReadTiming, Error> {
    let revoke = bounds.revoke.map(|revoke| revoke.mul_f64(REVOKE_SHARE));
    let evacuation = bounds.evacuation.map(|time| time.mul_f64(EVACUATION_SHARE));
    let bound = [revoke, evacuation]
        .into_iter()
        .flatten()
        .fold(bounds.config_apply, Duration::min);
    if bound < MIN_CHANGE_BOUND {
        return Err(Error::Change { bound });
    }
    let bound = bound.min(MAX_CHANGE_BOUND);
    let waiting = |share: f64| Polling {
        wait: bound.mul_f64(share),
        pause: Duration::ZERO,
    };
    Ok(ReadTiming {
        alone: waiting(CHANGE_ALONE_WAIT),
        reader: waiting(CHANGE_READER_WAIT),
        max_proof_age: bound.mul_f64(CHANGE_PROOF_AGE),
        timeout: bound.mul_f64(CHANGE_TIMEOUT).min(MAX_TIMEOUT),
    })
}

fn endpoints(bounds: &Bounds) -> Result<ReadTiming, Error> {
    let bound = bounds.drain;
    if bound < MIN_LEAVING_BOUND {
        return Err(Error::Leaving { bound });
    }
    let bound = bound.min(MAX_LEAVING_BOUND);
    let pausing = |share: f64| Polling {
        wait: Duration::ZERO,
        pause: bound.mul_f64(share),
    };
    let max_proof_age = bound.mul_f64(LEAVING_PROOF_AGE);
    Ok(ReadTiming {
        alone: pausing(LEAVING_ALONE_PAUSE),
        reader: pausing(LEAVING_READER_PAUSE),
        max_proof_age,
        timeout: bound.saturating_sub(max_proof_age + RETRY).min(MAX_TIMEOUT),
    })
}
