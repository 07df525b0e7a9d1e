//! A token bucket, with which stand-ins of the platform's services limit their rate.

use std::time::Duration;
use std::time::Instant;

/// A token bucket. It starts full.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    size: f64,
    level: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// A bucket that allows `rate` calls per second and bursts of `burst` calls.
    #[must_use]
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate,
            size: burst,
            level: burst,
            updated_at: now,
        }
    }

    /// Acquires the token for one call.
    ///
    /// # Errors
    ///
    /// The time until a token is available.
    pub fn try_acquire(&mut self, now: Instant) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.level = (self.level + passed * self.rate).min(self.size);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let seconds = (1.0 - self.level) / self.rate;
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}
