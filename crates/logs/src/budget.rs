//! How many lines may be written.

use std::time::Duration;

use pimento_units::Moment;

/// Lines a second. A VM with a quarter of a core serves some tens of requests a second with about four
/// lines each; this is several times as many, and a hundredth of that core at the ten microseconds
/// that a line takes.
const LINES_PER_SECOND: f64 = 400.0;

/// Lines that may be written at once after a quiet time: two seconds' worth, which is how long a
/// burst of requests or a change of the configuration makes many.
const BURST: f64 = 800.0;

/// Part of the burst that lines of single requests leave to warnings, so that what went wrong is reported
/// even where requests alone would use all lines up.
const RESERVED: f64 = 200.0;

/// How much a line matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// Tells of a single request or of ordinary work.
    Normal,
    /// A warning or an error.
    High,
}

/// A token bucket of lines.
#[derive(Debug, Clone)]
pub struct Budget {
    left: f64,
    at: Moment,
}

impl Budget {
    /// A full one.
    #[must_use]
    pub const fn new(now: Moment) -> Self {
        Self {
            left: BURST,
            at: now,
        }
    }

    /// Takes a line out, if there is one.
    #[must_use]
    pub fn try_acquire(&mut self, priority: Priority, now: Moment) -> bool {
        let passed: Duration = now.since(self.at);
        self.left = (self.left + passed.as_secs_f64() * LINES_PER_SECOND).min(BURST);
        self.at = self.at.max(now);
        let kept = match priority {
            Priority::Normal => RESERVED,
            Priority::High => 0.0,
        };
        let allowed = self.left >= kept + 1.0;
        if allowed {
            self.left -= 1.0;
        }
        allowed
    }
}
