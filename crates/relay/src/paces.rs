//! How often topics of the log are read, from the bounds that must hold.
//!
//! Every read is paid for, so that a topic is read no more often than its bound asks for. Of a bound,
//! what a VM may believe without a new proof is a fixed part; the rest is for one read that gets no
//! answer and one more.

use std::time::Duration;

use snafu::Snafu;

use crate::config::Bounds;
use crate::follow::Gait;
use crate::follow::Pace;

/// The longest bounds that are made use of. Beyond, callers would learn of new endpoints and of changes
/// later than they need to for calls saved that are few.
const LONGEST_LEAVING: Duration = Duration::from_secs(4);
const LONGEST_CHANGE: Duration = Duration::from_secs(2);

/// The shortest bounds that can be held: an answer of the log takes up to a tenth of a second.
const SHORTEST_LEAVING: Duration = Duration::from_millis(600);
const SHORTEST_CHANGE: Duration = Duration::from_secs(1);

/// The longest that an answer may take to begin, beyond the wait, and to go on.
const PATIENCE: Duration = Duration::from_millis(450);

/// Pause before a read that got no answer is made again.
const RETRY: Duration = Duration::from_millis(50);

/// What part of the bound on revoked keys a VM may take to know of a change: the rest is for proofs that
/// come from other VMs, which are older, and for calling itself unready before it must refuse.
const REVOKED: f64 = 0.4;

/// Parts of the bound on leaving endpoints: how old a proof may be, and the pauses between reads for the
/// zone and alone. A proof may be lost before the last one is too old.
const LEAVING_TRUST: f64 = 0.75;
const LEAVING_LEADING: f64 = 0.25;
const LEAVING_ALONE: f64 = 0.45;

/// Parts of the bound on changes: how old a proof may be, how long reads wait for the zone and alone,
/// and the patience. A proof is as old as the read that proves it, which is up to twice the wait.
const CHANGE_TRUST: f64 = 1.15;
const CHANGE_LEADING: f64 = 0.3;
const CHANGE_ALONE: f64 = 0.5;
const CHANGE_PATIENCE: f64 = 0.225;

/// How the topic of requests under which endpoints ended is read. VMs tell each other of them besides, so
/// that a read that fell silent may go unnoticed for some seconds.
const POISON_WAIT: Gait = Gait {
    wait: Duration::from_secs(5),
    pause: Duration::ZERO,
};
const POISON: Pace = Pace {
    alone: POISON_WAIT,
    leading: POISON_WAIT,
    trust: Duration::from_secs(20),
    patience: PATIENCE,
};

/// How the topics that all VMs read are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Paces {
    /// The operators' topic. Changes are rare, so that a read may wait for one.
    pub operators: Pace,
    /// The endpoints' topic. Each endpoint writes about once a second; a read that waits would be
    /// answered for each.
    pub endpoints: Pace,
    /// The topic of requests under which endpoints ended. Records are rare and come at once to a read
    /// that waits.
    pub poison: Pace,
}

/// A bound that can't be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// On leaving endpoints.
    #[snafu(display(
        "leaving endpoints can't be known within {bound:?}, but within {SHORTEST_LEAVING:?}"
    ))]
    Leaving {
        /// The bound.
        bound: Duration,
    },
    /// On changes of the configuration, or on revoked keys.
    #[snafu(display(
        "a change can't be known within {bound:?}, but within {SHORTEST_CHANGE:?} and {REVOKED} of the bound on revoked keys"
    ))]
    Change {
        /// What the bounds leave.
        bound: Duration,
    },
}

impl TryFrom<&Bounds> for Paces {
    type Error = Error;

    fn try_from(bounds: &Bounds) -> Result<Self, Error> {
        Ok(Self {
            operators: operators(bounds)?,
            endpoints: endpoints(bounds)?,
            poison: POISON,
        })
    }
}

fn operators(bounds: &Bounds) -> Result<Pace, Error> {
    let revoke = bounds.revoke.map(|revoke| revoke.mul_f64(REVOKED));
    let bound = bounds
        .config_apply
        .min(revoke.unwrap_or(bounds.config_apply));
    if bound < SHORTEST_CHANGE {
        return Err(Error::Change { bound });
    }
    let bound = bound.min(LONGEST_CHANGE);
    let waits = |part: f64| Gait {
        wait: bound.mul_f64(part),
        pause: Duration::ZERO,
    };
    Ok(Pace {
        alone: waits(CHANGE_ALONE),
        leading: waits(CHANGE_LEADING),
        trust: bound.mul_f64(CHANGE_TRUST),
        patience: bound.mul_f64(CHANGE_PATIENCE).min(PATIENCE),
    })
}

fn endpoints(bounds: &Bounds) -> Result<Pace, Error> {
    let bound = bounds.drain;
    if bound < SHORTEST_LEAVING {
        return Err(Error::Leaving { bound });
    }
    let bound = bound.min(LONGEST_LEAVING);
    let pauses = |part: f64| Gait {
        wait: Duration::ZERO,
        pause: bound.mul_f64(part),
    };
    let trust = bound.mul_f64(LEAVING_TRUST);
    Ok(Pace {
        alone: pauses(LEAVING_ALONE),
        leading: pauses(LEAVING_LEADING),
        trust,
        patience: bound.saturating_sub(trust + RETRY).min(PATIENCE),
    })
}
