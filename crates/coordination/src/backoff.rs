//! Growing waits between tries.

use std::time::Duration;

use rand::RngExt;

/// The first wait. A lost answer is often a single broken connection, so the second try is early.
const FIRST: Duration = Duration::from_millis(50);
/// The longest wait. It bounds how long a node stays unaware that the service is back.
const LAST: Duration = Duration::from_secs(1);

/// Doubling waits with a random part, so that nodes which failed together don't come back together.
#[derive(Debug)]
pub(crate) struct Backoff {
    next: Duration,
}

impl Backoff {
    /// Starts at the shortest wait.
    pub(crate) const fn new() -> Self {
        Self { next: FIRST }
    }

    /// Starts over after a success.
    pub(crate) const fn reset(&mut self) {
        self.next = FIRST;
    }

    /// The next wait: between half and the whole of the current bound, but not under `least`.
    pub(crate) fn wait(&mut self, least: Duration) -> Duration {
        let share = rand::rng().random_range(0.5..=1.0);
        let wait = self.next.mul_f64(share);
        self.next = (self.next * 2).min(LAST);
        wait.max(least)
    }
}
