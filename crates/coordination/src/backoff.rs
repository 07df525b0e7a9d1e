//! Growing waits between tries.

use std::time::Duration;

use rand::RngExt;

/// The first wait. A lost answer is often a single broken connection, so the second try is early.
const INITIAL_DELAY: Duration = Duration::from_millis(50);
/// The longest wait. It bounds how long a node stays unaware that the service is back.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Doubling waits with a random part, so that nodes which failed together don't come back together.
#[derive(Debug)]
pub(crate) struct Backoff {
    next: Duration,
}

impl Backoff {
    /// Starts at the shortest wait.
    pub(crate) const fn new() -> Self {
        Self {
            next: INITIAL_DELAY,
        }
    }

    /// Starts over after a success.
    pub(crate) const fn reset(&mut self) {
        self.next = INITIAL_DELAY;
    }

    /// The next wait: between half and the whole of the current bound, but not under `least`.
    pub(crate) fn next_delay(&mut self, least: Duration) -> Duration {
        let factor = rand::rng().random_range(0.5..=1.0);
        let delay = self.next.mul_f64(factor);
        self.next = (self.next * 2).min(MAX_DELAY);
        delay.max(least)
    }
}
