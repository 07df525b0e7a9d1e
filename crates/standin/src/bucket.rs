//! A token bucket, as the platform's services use it to limit their rate.

use std::time::Duration;
use std::time::Instant;

/// A token bucket that starts full.
#[derive(Debug)]
pub struct Bucket {
    rate: f64,
    size: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    /// A bucket that lets `rate` calls a second through, and `burst` at once.
    #[must_use]
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate,
            size: burst,
            level: burst,
            at: now,
        }
    }

    /// Takes one call.
    ///
    /// # Errors
    ///
    /// How long until the next call would pass.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.level = (self.level + passed * self.rate).min(self.size);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let seconds = (1.0 - self.level) / self.rate;
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}
