//! Endpoints that have just started, and this VM's share of the calls that they may get.

use std::time::Duration;

use pimento_policy::cold;
use pimento_policy::throttle::Throttle;
use pimento_units::Moment;

/// An endpoint's cold start, as the list of endpoints describes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// How much longer it lasts.
    pub remaining: Duration,
    /// The calls that the endpoint may get from all VMs together meanwhile.
    pub bound: cold::Bound,
}

/// A cold start that has not ended yet, as far as this VM knows.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ColdState {
    /// When it ends.
    until: Moment,
    bound: cold::Bound,
    /// Token bucket for this VM's calls.
    throttle: Throttle,
}

impl ColdState {
    /// Applies what the list of endpoints says. `before` is the state so far, and `share` computes this VM's
    /// calls per second.
    pub fn update(
        before: Option<Self>,
        listed: Option<ColdStart>,
        share: impl Fn(cold::Bound) -> f64,
        now: Moment,
    ) -> Option<Self> {
        let listed = listed.filter(|cold| !cold.remaining.is_zero())?;
        // The bucket of an earlier cold start may have filled since it ended.
        let known = before.filter(|known| known.until > now);
        let mut throttle = known.map_or(Throttle::new(0.0, now), |known| known.throttle);
        throttle.set_rate(share(listed.bound), now);
        Some(Self {
            until: now + listed.remaining,
            bound: listed.bound,
            throttle,
        })
    }

    /// Sets this VM's share after the VMs that share the bound have changed.
    pub fn set_share(&mut self, share: impl Fn(cold::Bound) -> f64, now: Moment) {
        self.throttle.set_rate(share(self.bound), now);
    }

    /// Returns whether the endpoint is still cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Returns the time until it no longer is.
    pub fn remaining(&self, now: Moment) -> Duration {
        self.until.since(now)
    }

    /// Returns the token bucket.
    pub const fn throttle(&self) -> Throttle {
        self.throttle
    }

    /// Returns the calls that the endpoint may get.
    pub const fn bound(&self) -> cold::Bound {
        self.bound
    }

    /// Counts a call that is sent.
    pub fn consume(&mut self, now: Moment) {
        self.throttle.consume(now);
    }
}
