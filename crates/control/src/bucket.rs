//! A token bucket without a clock or I/O. The holder of a pool's lease in a zone applies the weight
//! store's rate limit with it.

use std::time::Duration;

use pimento_units::Moment;

/// Permits that are replenished at a constant rate up to a bound.
#[derive(Debug, Clone)]
pub struct Bucket {
    interval: Duration,
    burst: u32,
    /// When the bucket is full again if no more permits are acquired. May be in the past.
    full_at: Moment,
    blocked_until: Moment,
}

impl Bucket {
    /// A full bucket of `burst` permits (at least one), of which one is replenished every
    /// `interval`.
    #[must_use]
    pub const fn new(interval: Duration, burst: u32) -> Self {
        Self {
            interval,
            burst: if burst == 0 { 1 } else { burst },
            full_at: Moment::ZERO,
            blocked_until: Moment::ZERO,
        }
    }

    /// Acquires a permit.
    ///
    /// # Errors
    ///
    /// The time until the next permit is available.
    pub fn try_acquire(&mut self, now: Moment) -> Result<(), Duration> {
        if now < self.blocked_until {
            return Err(self.blocked_until.since(now));
        }
        let full_at = self.full_at.max(now);
        let backlog = full_at.since(now);
        let max_backlog = self.interval * (self.burst - 1);
        if backlog > max_backlog {
            return Err(backlog.saturating_sub(max_backlog));
        }
        self.full_at = full_at + self.interval;
        Ok(())
    }

    /// Blocks the bucket for `retry_after`, as the store asked. This overrides the local count,
    /// since another zone or an earlier holder may have used up the rate.
    pub fn block(&mut self, now: Moment, retry_after: Duration) {
        self.blocked_until = self.blocked_until.max(now + retry_after);
    }
}
