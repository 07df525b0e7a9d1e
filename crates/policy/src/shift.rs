//! Roll-outs by a deadline: moving a service to another version of its software, without stages of
//! its own. The relay uses these; roll-outs in stages are those of [`crate::rollout`].
//!
//! Operators order a version and set the deadline by which the move must be done or undone. The
//! version may fail or be slow, on one route only, late, or only under load, and some bad versions
//! can't be told from good ones by their answers. Without care, either all requests meet a bad
//! version at once, or a good one is not in place in time.
//!
//! The move has three phases by the age of the order. In the trial, a small share of the sessions
//! uses the new version, well below what a bad version may get, and no known session changes its
//! version. A session is known once it has used one of the versions. Then, so shortly before the
//! deadline that what is left of the bound suffices for all requests, the share rises to all
//! sessions. The evidence of all nodes is summed for each route. A version that is slow on one of
//! them, or fails there at more than one endpoint, is bad, and its share is zero from then on. The
//! bound itself is that of [`crate::exposure`], and holds whatever the evidence.
//!
//! The fixed position of a session and the bounds on evidence are those of [`crate::rollout`].
//! Routes are evaluated separately because a fault in one class of requests is lost in the sum.
//! Failures must affect more than one endpoint because a single failing endpoint is handled by
//! [`crate::eject`].

mod evidence;
mod readiness;
mod schedule;
mod side;

use std::time::Duration;

use pimento_units::Share;

use crate::exposure;

pub use self::evidence::Period;
pub use self::evidence::RouteEvidence;
pub use self::evidence::covers_routes;
pub use self::evidence::is_doubtful;
pub use self::evidence::regression;
pub use self::readiness::Readiness;
pub use self::side::Known;
pub use self::side::Progress;
pub use self::side::Reason;
pub use self::side::Side;

/// Settings of a shift.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Share of the sessions that use the new version in the trial, as a part of the exposure. The exposure is
    /// the share of requests that a bad version may get. All nodes choose the same sessions, so that one that
    /// goes from node to node keeps its version.
    pub trial_exposure: f64,
    /// The same for requests that belong to no session. Each node admits them within a part of its bound.
    pub trial_exposure_of_requests: f64,
    /// Part of the time until the deadline that the trial lasts at least. Sessions may only change
    /// their version after it.
    pub trial_time: f64,
    /// Time from the order until the trial begins. Sessions go from node to node, so that each node
    /// must learn which of them used the old version before. Messages within and between zones take
    /// a second at most.
    pub observation: Duration,
    /// Extension of the trial, because nodes read an order at slightly different times.
    pub clock_margin: Duration,
    /// Part of the bound on requests that the trial may use. Where few requests come, most of the bound is its
    /// slack, and without that the trial would show nothing.
    pub trial_part: exposure::Part,
    /// Part of the bound's share that is used by the deadline. Its slack is for callers that come faster in the
    /// last seconds than before.
    pub usable_part: f64,
    /// How long the share takes to rise to all sessions, as a part of the time before the deadline for which the
    /// new version may get all requests.
    pub ramp: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            trial_exposure: 0.4,
            trial_exposure_of_requests: 0.7,
            trial_time: 0.5,
            observation: Duration::from_millis(1_500),
            clock_margin: Duration::from_millis(400),
            trial_part: exposure::Part {
                share: 0.4,
                slack: 0.5,
            },
            usable_part: 1.0,
            ramp: 0.5,
        }
    }
}

/// Phase of a shift.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// Only sessions that used the new version before use it; nodes learn which sessions are known.
    Observation,
    /// A small share of sessions uses the new version; no known session changes its version.
    Trial(Share),
    /// The share rises; sessions change to the new version and not back.
    Ramp(Share),
    /// All sessions use the new version.
    Moved,
}

impl Config {
    /// The share of sessions that use the new version in the trial.
    #[must_use]
    pub fn trial_share(&self, exposure: f64) -> Share {
        to_share((exposure * self.trial_exposure).clamp(0.0, 1.0))
    }

    /// The share of requests that belong to no session and use the new version in a phase, as far as the bound
    /// allows.
    #[must_use]
    pub fn request_share(&self, phase: Phase, exposure: f64) -> Share {
        match phase {
            Phase::Trial(_) => {
                to_share((exposure * self.trial_exposure_of_requests).clamp(0.0, 1.0))
            }
            Phase::Observation | Phase::Ramp(_) | Phase::Moved => phase.weight(),
        }
    }

    /// The phase of a shift whose order is `age` old and must be done `time_limit` after it was
    /// given.
    #[must_use]
    pub fn phase(&self, age: Duration, time_limit: Duration, exposure: f64) -> Phase {
        let schedule = self.schedule(time_limit, exposure);
        let share = (exposure * self.trial_exposure).clamp(0.0, 1.0);
        if age < self.observation {
            return Phase::Observation;
        }
        if age < schedule.trial_end {
            return Phase::Trial(to_share(share));
        }
        let progress = schedule.ramp_progress(age);
        if progress >= 1.0 {
            return Phase::Moved;
        }
        Phase::Ramp(to_share(share + (1.0 - share) * progress))
    }
}

impl Phase {
    /// Whether known sessions keep their version.
    #[must_use]
    pub const fn pins_known_sessions(self) -> bool {
        matches!(self, Self::Observation | Self::Trial(_))
    }

    /// Its name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Observation => "observation",
            Self::Trial(_) => "trial",
            Self::Ramp(_) => "ramp",
            Self::Moved => "moved",
        }
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

fn to_share(share: f64) -> Share {
    Share::try_from(share).unwrap_or(Share::ONE)
}
