//! How long to wait for a connection before another endpoint is asked.
//!
//! **Load:** endpoints behind a cut, without power, or whose queue of new connections is full. **Without
//! it:** a fixed bound has to allow for the farthest zone, and the first tries after a cut take longer
//! than the callers of short calls wait for an answer. **How:** connections that were made tell what is
//! usual; one that takes far longer is not being made. Nothing was sent, so that another endpoint may be
//! asked.
//!
//! **Grounds:** the estimator is that of the retransmission time-out of TCP (RFC 6298), a mean and four
//! times the mean deviation, as its clock runs in milliseconds.

use std::time::Duration;

use crate::number;

/// Weight of a new connection in the mean, and in the deviation (RFC 6298).
const MEAN: f64 = 0.125;
const DEVIATION: f64 = 0.25;

/// Deviations beyond the mean (RFC 6298).
const DEVIATIONS: f64 = 4.0;

/// Times the estimate that is waited. Connections go to near and far zones in turn, and the estimate
/// may rest on near ones when the first far one is made: ten round trips within a zone are one between
/// zones of a region.
const MARGIN: f64 = 10.0;

/// The shortest bound. A VM with a part of a core may be at other work for tens of milliseconds when the
/// answer comes.
pub const MIN_TIMEOUT: Duration = Duration::from_millis(100);

/// The longest bound, and the one before any connection was made. A lost packet is sent again after a
/// second; another endpoint is asked before.
pub const MAX_TIMEOUT: Duration = Duration::from_millis(350);

/// What connections usually take.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectTimeout {
    /// Mean and mean deviation, in seconds; none before the first connection.
    usual: Option<(f64, f64)>,
}

impl ConnectTimeout {
    /// A connection was made in `took`.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.usual = Some(match self.usual {
            None => (took, took / 2.0),
            Some((mean, deviation)) => {
                let off = (took - mean).abs();
                let deviation = deviation + DEVIATION * (off - deviation);
                (mean + MEAN * (took - mean), deviation)
            }
        });
    }

    /// How long to wait for the next one.
    #[must_use]
    pub fn current(&self) -> Duration {
        let Some((mean, deviation)) = self.usual else {
            return MAX_TIMEOUT;
        };
        let estimate = mean + DEVIATIONS * deviation;
        number::seconds(estimate * MARGIN).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}
