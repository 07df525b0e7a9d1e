//! Moving a service to another version of its software by a deadline, without stages of its own.
//!
//! **Load:** operators order a version in and say by when it must be done or undone; it may fail, be
//! slow, fail on one route only, late, or only under load. **Without it:** all requests meet a bad
//! version at once, or a good one is not done in time. **How:** three phases by the order's age. In
//! the trial a small fixed share of the sessions uses the new version, well below what a bad one may
//! get, and no session that is known changes. After it the share rises to the whole within seconds.
//! Evidence of all nodes is summed for each route: a version that fails or is slow on one of them,
//! at more than one endpoint, is bad, and its share is nothing from then on.
//!
//! **Grounds:** the fixed place of a session and the bounds on evidence are those of
//! [`crate::rollout`]. A route of its own each, since a fault of one class of requests drowns in the
//! sum; more than one endpoint, since a single sick endpoint is [`crate::eject`]'s matter.

use std::time::Duration;

use pimento_contract::rollout::Gate;
use pimento_units::Share;
use pimento_units::Span;

use crate::rollout;
use crate::rollout::Cause;
use crate::rollout::Evidence;

/// Figures of a shift.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Part of the exposure allowed that the trial uses. The rest is for repeats of what failed
    /// there and for the seconds of the ramp until a fault is seen that shows only under load.
    pub trial_exposure: f64,
    /// Part of the time until the deadline that the trial lasts. Sessions may change their version
    /// in the second half only.
    pub trial_time: f64,
    /// Time from the order until the trial begins. Sessions go from node to node, so that each must
    /// know which of them used the old version before; that takes word between zones and within one,
    /// a second at most.
    pub observation: Duration,
    /// How much longer the trial lasts, as nodes read an order at slightly different times.
    pub clock_margin: Duration,
    /// How long the share takes to rise to the whole. Much shorter, and a fault under load is met
    /// by everybody before the first evidence of it is shared; much longer, and calls to the old
    /// version have no time to end.
    pub ramp: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            trial_exposure: 0.6,
            trial_time: 0.5,
            observation: Duration::from_millis(1_500),
            clock_margin: Duration::from_millis(400),
            ramp: Duration::from_millis(2_500),
        }
    }
}

/// Where a shift is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// None but those who used the new version already; nodes learn who is known.
    Observation,
    /// A small share uses the new version; nobody who is known changes.
    Trial(Share),
    /// The share rises; sessions change to the new version, not back.
    Ramp(Share),
    /// All use the new version.
    Moved,
}

impl Config {
    /// The share of sessions that the trial uses.
    #[must_use]
    pub fn trial_share(&self, exposure: f64) -> Share {
        part((exposure * self.trial_exposure).clamp(0.0, 1.0))
    }

    /// Where a shift is whose order is `age` old and must be done after `lasts`.
    #[must_use]
    pub fn phase(&self, age: Duration, lasts: Duration, exposure: f64) -> Phase {
        let trial = lasts.mul_f64(self.trial_time) + self.clock_margin;
        let share = (exposure * self.trial_exposure).clamp(0.0, 1.0);
        if age < self.observation {
            return Phase::Observation;
        }
        if age < trial {
            return Phase::Trial(part(share));
        }
        let risen = age.saturating_sub(trial).as_secs_f64() / self.ramp.as_secs_f64();
        if risen >= 1.0 {
            return Phase::Moved;
        }
        Phase::Ramp(part(share + (1.0 - share) * risen))
    }
}

impl Phase {
    /// Whether a session that is known keeps its version.
    #[must_use]
    pub const fn pins_known_sessions(self) -> bool {
        matches!(self, Self::Observation | Self::Trial(_))
    }

    /// The share of sessions that use the new version.
    #[must_use]
    pub const fn weight(self) -> Share {
        match self {
            Self::Observation => Share::ZERO,
            Self::Trial(share) | Self::Ramp(share) => share,
            Self::Moved => Share::ONE,
        }
    }
}

fn part(share: f64) -> Share {
    Share::try_from(share).unwrap_or(Share::ONE)
}

/// Evidence of one route on both versions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteEvidence {
    /// On the new version.
    pub new: Evidence,
    /// On the old one.
    pub old: Evidence,
}

/// The largest share of failed attempts beyond that of the old version. Versions that are bad fail
/// a third of their requests and more; an endpoint that is sick by itself and fails half of its
/// own adds a twelfth of that.
const ERRORS: f64 = 0.1;

/// The largest ratio of times, in hundredths. Bad versions are several times slower; a new version's
/// endpoints begin without caches, which makes them up to twice as slow.
const LATENCY: u32 = 350;

/// Answers needed before a version is called slow; times are far more spread than failures are.
const SAMPLES: u32 = 8;

/// Endpoints of the new version that must have failed a request, unless it has only one.
const ENDPOINTS: usize = 2;

/// Whether the new version is bad: on one of the routes, or on all together. `failing` is the number
/// of its endpoints that failed a request, `endpoints` how many it has.
#[must_use]
pub fn regression(tallies: &[RouteEvidence], failing: usize, endpoints: usize) -> Option<Cause> {
    let mut all = RouteEvidence {
        new: Evidence::default(),
        old: Evidence::default(),
    };
    for tally in tallies {
        all.new.merge(&tally.new);
        all.old.merge(&tally.old);
    }
    let spread = failing >= ENDPOINTS.min(endpoints.max(1));
    let causes = tallies.iter().filter_map(|tally| fault(tally, true));
    let cause = causes.chain(fault(&all, false)).next()?;
    (spread || cause == Cause::Latency).then_some(cause)
}

/// Times are compared within a route only: routes differ in them.
fn fault(tally: &RouteEvidence, timed: bool) -> Option<Cause> {
    let errors = part((ERRORS + tally.old.error_rate()).min(1.0));
    let gate = Gate {
        samples: SAMPLES,
        quality: Share::ZERO,
        errors,
        latency: if timed { LATENCY } else { u32::MAX },
        dwell: Span::ZERO,
    };
    rollout::regression(&tally.new, &tally.old, &gate)
}
