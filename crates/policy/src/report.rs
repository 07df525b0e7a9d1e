//! When a node tells its peers about the prompts that it sent to engines.
//!
//! A prompt of a large model keeps its engine busy for longer than the time between two regular
//! reports. Peers that learn of it only then send their own prompts to the same engine, which looked
//! idle, and callers with short prompts wait behind long ones while other engines are free. A prompt
//! with a long prefill is therefore reported at once, and everything else with the next regular
//! report.
//!
//! The load signal of join the shortest queue loses its use as it ages (Mitzenmacher, 2000); here
//! it is kept younger than the work that it describes.

use std::time::Duration;

use pimento_units::Moment;

/// Settings of the reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Shortest prefill that is reported at once. Peers lose less by a shorter one that they don't
    /// know of than a report to each of them costs.
    pub long_prefill: Duration,
    /// Minimum time between two reports, which bounds their number while many prompts are sent.
    pub min_interval: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            long_prefill: Duration::from_millis(100),
            min_interval: Duration::from_millis(20),
        }
    }
}

impl Config {
    /// Returns whether a prompt that was sent with this expected prefill time is reported at once.
    #[must_use]
    pub fn is_urgent(&self, prefill: Duration) -> bool {
        prefill >= self.long_prefill
    }

    /// Returns how long an urgent report has to wait after the last report.
    #[must_use]
    pub fn delay(&self, last_report: Moment, now: Moment) -> Duration {
        self.min_interval.saturating_sub(now.since(last_report))
    }
}
