//! A limit on the rate of log lines.

use std::time::Duration;

use pimento_units::Moment;

/// Sustained rate. A VM with a quarter of a core serves some tens of requests a second, with about
/// four lines each. The limit is several times higher; at ten microseconds per line it costs about
/// a hundredth of that core.
const LINES_PER_SECOND: f64 = 400.0;

/// Lines that may be written in a burst: those of two seconds, which is as long as a burst of
/// requests or a configuration change produces many lines.
const BURST: f64 = 800.0;

/// Lines of the burst that are reserved for warnings and errors, so that failures are logged even when
/// the lines of requests alone would use up the budget.
const RESERVED: f64 = 200.0;

/// The priority of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// A line about a single request or routine work.
    Normal,
    /// A warning or an error.
    High,
}

/// A token bucket of lines.
#[derive(Debug, Clone)]
pub struct Budget {
    available: f64,
    updated_at: Moment,
}

impl Budget {
    /// A full bucket.
    #[must_use]
    pub const fn new(now: Moment) -> Self {
        Self {
            available: BURST,
            updated_at: now,
        }
    }

    /// Takes a line from the budget; false if none is available for this priority.
    #[must_use]
    pub fn try_acquire(&mut self, priority: Priority, now: Moment) -> bool {
        let elapsed: Duration = now.since(self.updated_at);
        self.available = (self.available + elapsed.as_secs_f64() * LINES_PER_SECOND).min(BURST);
        self.updated_at = self.updated_at.max(now);
        let reserved = match priority {
            Priority::Normal => RESERVED,
            Priority::High => 0.0,
        };
        let allowed = self.available >= reserved + 1.0;
        if allowed {
            self.available -= 1.0;
        }
        allowed
    }
}
