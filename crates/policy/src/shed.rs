//! Load shedding at plain endpoints that many VMs share.
//!
//! A plain endpoint has a few slots and a short queue, and dozens of VMs send to it. No VM has more than one
//! call there at most times, so that no limit on its own concurrent calls keeps that queue short. Under
//! overload the queue is full: each call takes as long as callers want to wait, calls that find it full
//! are refused and come again, and hardly an answer is in time although the endpoint is busy all the while.
//!
//! Each answer tells how long the queue is. From half of the caller's target on, a VM refuses a share of
//! its calls at once, and a larger one the longer calls take. All VMs measure the same queue, so that they
//! refuse about the same share without any communication, and the queue settles where as many calls are
//! sent as the endpoint answers, well within the target.
//!
//! This is random early detection (Floyd and Jacobson, 1993) with the delay in place of the queue's
//! length.

use std::time::Duration;

use pimento_units::Moment;

use crate::number;

/// Weight of a call in the estimate.
const WEIGHT: f64 = 0.3;

/// Time without an answer after which the estimate counts half. An endpoint that gets no calls empties its
/// queue in a fraction of a second.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// How long calls to an endpoint take.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Delay {
    seconds: f64,
    updated: Moment,
}

impl Delay {
    /// Records a call that ended now, `took` after it was sent.
    pub fn record(&mut self, took: Duration, now: Moment) {
        let known = self.expected(now).as_secs_f64();
        self.seconds = known + WEIGHT * (took.as_secs_f64() - known);
        self.updated = now;
    }

    /// Returns how long a call is expected to take; zero if nothing is known.
    #[must_use]
    pub fn expected(&self, now: Moment) -> Duration {
        number::seconds(self.seconds * number::decay(now.since(self.updated), HALF_LIFE))
    }
}

/// Shares of the target between which the share of accepted calls falls from all to the least. An endpoint
/// whose queue is full may answer within the target, so that the least is reached before it.
const ALL_ACCEPTED: f64 = 0.3;
const FEWEST_ACCEPTED: f64 = 0.8;

/// Share of the calls that are sent however long they take. Without any, no VM would learn that the endpoint
/// has recovered.
const MIN_ACCEPTANCE: f64 = 0.1;

/// Weight of a call's target in the usual one.
const TARGET_WEIGHT: f64 = 0.05;

/// The usual target of a pool's calls. Calls with different targets wait in the same queue. If each were
/// judged by its own, all refusals would fall on those in a hurry.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UsualTarget {
    /// In seconds; zero before the first call.
    mean: f64,
}

impl UsualTarget {
    /// Records a call with this target, and returns the usual one.
    pub fn record(&mut self, target: Duration) -> Duration {
        let target = target.as_secs_f64();
        if self.mean <= 0.0 {
            self.mean = target;
        }
        self.mean += TARGET_WEIGHT * (target - self.mean);
        number::seconds(self.mean)
    }
}

/// When a caller wants its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Aim {
    /// The time within which it wants the answer.
    pub target: Duration,
    /// What is left of that time.
    pub left: Duration,
}

/// Returns whether to send a call that is expected to take this long, where calls usually have this target.
/// `random` is a random number.
///
/// Under overload, a call that can no longer be in time takes the place of one that can.
#[must_use]
pub fn accepts(expected: Duration, left: Duration, usual: Duration, random: u64) -> bool {
    let share = expected.as_secs_f64() / usual.as_secs_f64().max(f64::MIN_POSITIVE);
    let excess = (share - ALL_ACCEPTED) / (FEWEST_ACCEPTED - ALL_ACCEPTED);
    if excess <= 0.0 {
        return true;
    }
    let in_time = expected <= left;
    let acceptance = if in_time { 1.0 - excess } else { 0.0 };
    number::unit_interval(random) < acceptance.max(MIN_ACCEPTANCE)
}
