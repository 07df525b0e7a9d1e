//! Hedging: a second attempt at a short request that takes longer than is usual for its class.
//!
//! Latency has a slow tail, such as from an endpoint that hangs. Without hedging, the callers' 95th
//! percentile is that of the slowest endpoint. A repeatable, short request that has no first token
//! after its class's 95th percentile is sent to a second endpoint if the retry budget allows it.
//! The first answer wins, and the other attempt is cancelled.
//!
//! By "The Tail at Scale" (Dean and Barroso, 2013), hedging past the 95th percentile adds about 5%
//! of load. The retry budget bounds it when the whole pool is slow.

use std::time::Duration;

use pimento_units::Moment;

use crate::number;

/// Buckets of a [`LatencyHistogram`]. Their bounds start at a millisecond and grow by a quarter
/// each; the last bucket holds all latencies above about 20 minutes.
const BUCKETS: usize = 64;

/// Ratio of the bounds of neighbouring buckets. A quantile errs by at most this factor, which moves
/// a hedge little.
const BUCKET_RATIO: f64 = 1.25;

/// Upper bound of the first bucket, in seconds.
const MIN_LATENCY: f64 = 0.001;

/// Half-life of the recorded latencies.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Answers needed for a quantile: of twenty answers, one is beyond the 95th percentile.
const MIN_ANSWERS: f64 = 20.0;

/// Multiple of the 95th percentile after which a hedge is sent. At the percentile itself, every
/// second in which the pool is slower than before would cause hedges.
const HEDGE_FACTOR: f64 = 1.25;

/// Multiple of the 95th percentile after which an attempt without a first token counts as failed.
/// It is high enough that a full pool is not taken for a dead one.
const TIMEOUT_FACTOR: f64 = 6.0;

/// The shortest time without a first token that counts as a failure.
const MIN_TIMEOUT: Duration = Duration::from_secs(2);

/// A decaying histogram of latencies.
#[derive(Debug, Clone)]
pub struct LatencyHistogram {
    counts: [f64; BUCKETS],
    total: f64,
    /// When the counts were last updated.
    updated: Moment,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            total: 0.0,
            updated: Moment::ZERO,
        }
    }
}

impl LatencyHistogram {
    /// Records a latency.
    pub fn record(&mut self, latency: Duration, now: Moment) {
        let decay = number::decay(now.since(self.updated), HALF_LIFE);
        self.updated = self.updated.max(now);
        for count in &mut self.counts {
            *count *= decay;
        }
        self.counts[bucket(latency)] += 1.0;
        self.total = self.total * decay + 1.0;
    }

    /// The latency that `share` of the recent ones don't exceed; none until enough were recorded.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        if self.total < MIN_ANSWERS {
            return None;
        }
        let rank = self.total * share;
        let mut seen = 0.0;
        let mut bound = MIN_LATENCY;
        for count in &self.counts {
            seen += count;
            if seen >= rank {
                break;
            }
            bound *= BUCKET_RATIO;
        }
        Some(number::seconds(bound))
    }
}

fn bucket(latency: Duration) -> usize {
    let steps = (latency.as_secs_f64() / MIN_LATENCY)
        .max(1.0)
        .log(BUCKET_RATIO)
        .ceil();
    usize::try_from(number::floor(steps)).map_or(BUCKETS - 1, |index| index.min(BUCKETS - 1))
}

/// An attempt that may be hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Whether the call may run twice.
    pub repeatable: bool,
    /// Whether it is a long job, for which a second attempt costs as much as many short jobs.
    pub long: bool,
    /// Time left until the whole answer must be complete.
    pub time_left: Duration,
}

/// How long to wait for the first token before a second attempt is sent; none if it is not hedged.
#[must_use]
pub fn delay(latencies: &LatencyHistogram, attempt: Attempt) -> Option<Duration> {
    if !attempt.repeatable || attempt.long {
        return None;
    }
    let delay = latencies.quantile(0.95)?.mul_f64(HEDGE_FACTOR);
    (delay < attempt.time_left).then_some(delay)
}

/// How long an attempt may go without a first token before it is abandoned for another one, so that
/// a call at an endpoint that hangs does not wait for the caller's whole timeout. To be applied
/// only if the retry budget allows a retry. A full pool also sends no first tokens for a long time
/// in a burst; an attempt abandoned without a retry then fails a caller who would have been served.
/// None while too few latencies are recorded; then the deadline bounds the attempt.
#[must_use]
pub fn first_token_timeout(latencies: &LatencyHistogram) -> Option<Duration> {
    let percentile = latencies.quantile(0.95)?;
    Some(percentile.mul_f64(TIMEOUT_FACTOR).max(MIN_TIMEOUT))
}
