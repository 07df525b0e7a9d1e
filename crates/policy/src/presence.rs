//! Whether a listed endpoint is assumed to be at its address.
//!
//! An endpoint that crashed stays listed for some seconds. If another one starts at its address meanwhile,
//! that one declines what is addressed to the first. The VM that was declined, and those that it tells, then
//! send nothing to the listed endpoint. Any process that listens at the address can give this response by
//! mistake, so that it holds only until the endpoint writes its record again, for a bounded time without
//! that, and for a part of a pool.

use std::time::Duration;

use pimento_units::Moment;

/// The longest time for which an endpoint is avoided if its record is not written again. An endpoint that is
/// gone leaves the list within six seconds, after three missed heartbeats.
pub const MAX_AVOIDED: Duration = Duration::from_secs(8);

/// One in so many endpoints of a pool may be avoided at a time. If more are gone, each request finds the
/// others out for itself; a fault that makes all endpoints decline leaves half of them in use.
const AVOIDED_DIVISOR: usize = 2;

/// The endpoints of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pool {
    /// Those that take work by the list, including the avoided ones.
    pub listed: usize,
    /// Those that are avoided.
    pub avoided: usize,
}

impl Pool {
    /// Whether one more endpoint may be avoided. The only endpoint of a pool may not.
    #[must_use]
    pub const fn allows_another(self) -> bool {
        self.avoided < self.listed / AVOIDED_DIVISOR
    }
}

/// Effect of a response that another endpoint has the address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The endpoint is avoided from now on.
    Avoided,
    /// It is avoided already.
    Known,
    /// It wrote its record since, or the response is too old.
    Outdated,
    /// Too many endpoints of its pool are avoided.
    TooMany,
}

/// What is known of one incarnation of a listed endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Presence {
    /// When its last record arrived.
    confirmed: Moment,
    /// When another endpoint declined in its place.
    misdirected: Option<Moment>,
}

impl Presence {
    /// An endpoint whose first record arrived.
    #[must_use]
    pub const fn new(now: Moment) -> Self {
        Self {
            confirmed: now,
            misdirected: None,
        }
    }

    /// Records that the endpoint wrote its record again. Returns whether it was avoided.
    pub fn confirm(&mut self, now: Moment) -> bool {
        let avoided = self.is_avoided(now);
        *self = Self::new(now);
        avoided
    }

    /// Records that another endpoint declined in its place at `at`.
    pub fn misdirect(&mut self, at: Moment, pool: Pool, now: Moment) -> Verdict {
        if at <= self.confirmed || now.since(at) >= MAX_AVOIDED {
            return Verdict::Outdated;
        }
        if self.is_avoided(now) {
            return Verdict::Known;
        }
        if !pool.allows_another() {
            return Verdict::TooMany;
        }
        self.misdirected = Some(at);
        Verdict::Avoided
    }

    /// Whether the endpoint is avoided.
    #[must_use]
    pub fn is_avoided(&self, now: Moment) -> bool {
        self.misdirected
            .is_some_and(|at| now.since(at) < MAX_AVOIDED)
    }

    /// When it is used again although its record is not written again; none if it is not avoided.
    #[must_use]
    pub fn avoided_until(&self) -> Option<Moment> {
        self.misdirected.map(|at| at + MAX_AVOIDED)
    }

    /// Ends the avoidance once its time is over. Returns whether it did.
    pub fn expire(&mut self, now: Moment) -> bool {
        let over = self.misdirected.is_some() && !self.is_avoided(now);
        if over {
            self.misdirected = None;
        }
        over
    }
}
