//! A token bucket, sans-IO: the weight store's rate limit, kept by the one holder of a zone.

use std::time::Duration;

use pimento_units::Moment;

/// Permits that come back at a steady rate up to a bound.
#[derive(Debug, Clone)]
pub struct Bucket {
    interval: Duration,
    burst: u32,
    /// When the bucket was, or will be, full but for what was taken.
    level: Moment,
    blocked: Moment,
}

impl Bucket {
    /// A full bucket of `burst` permits (at least one), with one coming back each `interval`.
    #[must_use]
    pub const fn new(interval: Duration, burst: u32) -> Self {
        Self {
            interval,
            burst: if burst == 0 { 1 } else { burst },
            level: Moment::ZERO,
            blocked: Moment::ZERO,
        }
    }

    /// Takes a permit.
    ///
    /// # Errors
    ///
    /// How long to wait for the next one.
    pub fn take(&mut self, now: Moment) -> Result<(), Duration> {
        if now < self.blocked {
            return Err(self.blocked.since(now));
        }
        let level = self.level.max(now);
        let ahead = level.since(now);
        let most = self.interval * (self.burst - 1);
        if ahead > most {
            return Err(ahead.saturating_sub(most));
        }
        self.level = level + self.interval;
        Ok(())
    }

    /// The store itself said to come back after `after`: its word goes before our count, since
    /// another zone or an earlier holder may have used the rate.
    pub fn block(&mut self, now: Moment, after: Duration) {
        self.blocked = self.blocked.max(now + after);
    }
}
