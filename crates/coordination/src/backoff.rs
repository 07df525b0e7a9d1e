//! Exponential backoff with jitter.

use std::time::Duration;

use rand::RngExt;

/// The first delay. A lost response is often a single broken connection, so the first retry is
/// early.
const INITIAL_DELAY: Duration = Duration::from_millis(50);
/// The longest delay. It bounds how long a node takes to notice that the service is back.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Doubling delays with jitter, so that nodes which failed together do not retry together.
#[derive(Debug)]
pub(crate) struct Backoff {
    next: Duration,
}

impl Backoff {
    /// Starts at the initial delay.
    pub(crate) const fn new() -> Self {
        Self {
            next: INITIAL_DELAY,
        }
    }

    /// Returns to the initial delay after a success.
    pub(crate) const fn reset(&mut self) {
        self.next = INITIAL_DELAY;
    }

    /// The next delay: between half and the whole of the current bound, but at least `least`.
    pub(crate) fn next_delay(&mut self, least: Duration) -> Duration {
        let factor = rand::rng().random_range(0.5..=1.0);
        let delay = self.next.mul_f64(factor);
        self.next = (self.next * 2).min(MAX_DELAY);
        delay.max(least)
    }
}
