//! Timeout for making a connection, after which another endpoint is tried.
//!
//! Endpoints may be cut off or without power, or their accept queue may be full. A fixed timeout
//! has to allow for the farthest zone, so that after a cut the first attempts take longer than
//! callers of short calls wait for an answer. Here the timeout follows the time that earlier
//! connections took. Nothing was sent when it expires, so that another endpoint may be tried.
//!
//! The estimator is that of TCP's retransmission timeout (RFC 6298) with a clock in milliseconds:
//! the mean plus four times the mean deviation.

use std::time::Duration;

use crate::number;

/// Weights of a new connection in the mean and in the deviation (RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;

/// Deviations added to the mean (RFC 6298).
const DEVIATIONS: f64 = 4.0;

/// Factor from the estimate to the timeout. Connections go to the local and to remote zones in
/// turn, and the estimate may rest on local ones when the first remote one is made: a round trip
/// between the zones of a region takes as long as ten within a zone.
const MARGIN: f64 = 10.0;

/// The shortest timeout. A VM with a fraction of a core may be busy for tens of milliseconds before
/// it handles the endpoint's reply.
pub const MIN_TIMEOUT: Duration = Duration::from_millis(100);

/// The longest timeout, which also applies before the first connection. It is shorter than the
/// second after which a lost packet is sent again, so that another endpoint is tried before.
pub const MAX_TIMEOUT: Duration = Duration::from_millis(350);

/// Timeout derived from the time that connections took.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectTimeout {
    /// Mean and mean deviation, in seconds; none before the first connection.
    estimate: Option<(f64, f64)>,
}

impl ConnectTimeout {
    /// Records a connection that was made in `took`.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.estimate = Some(match self.estimate {
            None => (took, took / 2.0),
            Some((mean, deviation)) => {
                let off = (took - mean).abs();
                let deviation = deviation + DEVIATION_WEIGHT * (off - deviation);
                (mean + MEAN_WEIGHT * (took - mean), deviation)
            }
        });
    }

    /// The timeout for the next connection.
    #[must_use]
    pub fn current(&self) -> Duration {
        let Some((mean, deviation)) = self.estimate else {
            return MAX_TIMEOUT;
        };
        let estimate = mean + DEVIATIONS * deviation;
        number::seconds(estimate * MARGIN).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}
