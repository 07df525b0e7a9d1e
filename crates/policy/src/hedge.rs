//! Hedging: a second attempt for a short request that takes longer than its class usually does.
//!
//! **Load:** a slow tail, such as an endpoint that hangs. **Without it:** the callers' 95th
//! percentile is that of the slowest endpoint. **How:** a repeatable, short request that has no
//! first token after its class's 95th percentile is sent to a second endpoint if the retry budget
//! pays for it; the first answer wins and the other attempt is cancelled.
//!
//! **Grounds:** "The Tail at Scale" (Dean and Barroso, 2013): hedging past the 95th percentile
//! adds about 5% of load. The budget bounds it when the whole pool is slow.

use std::time::Duration;

use pimento_units::Moment;

use crate::number;

/// Buckets of a [`LatencyHistogram`]: from one millisecond in steps of a quarter, the last one holds all above
/// about 20 minutes.
const BUCKETS: usize = 64;

/// Ratio of neighbouring buckets. A quantile errs by at most this much, which moves a hedge little.
const STEP: f64 = 1.25;

/// The shortest latency told apart, in seconds.
const SHORTEST: f64 = 0.001;

/// Half-life of a [`LatencyHistogram`]'s memory.
const MEMORY: Duration = Duration::from_secs(30);

/// Answers to have seen before a quantile means anything: the 95th percentile of twenty is one.
const ENOUGH: f64 = 20.0;

/// Times the quantile that is waited: at the exact percentile every slow second hedges.
const PATIENCE: f64 = 1.25;

/// Times the 95th percentile after which an attempt without a first token counts as failed. Far
/// enough out that a full pool does not look like a dead one.
const SILENCE: f64 = 6.0;

/// The shortest silence that counts as a failure.
const SHORTEST_SILENCE: Duration = Duration::from_secs(2);

/// A decaying histogram of latencies.
#[derive(Debug, Clone)]
pub struct LatencyHistogram {
    counts: [f64; BUCKETS],
    total: f64,
    at: Moment,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            total: 0.0,
            at: Moment::ZERO,
        }
    }
}

impl LatencyHistogram {
    /// Counts a latency.
    pub fn record(&mut self, latency: Duration, now: Moment) {
        let kept = number::decay(now.since(self.at), MEMORY);
        self.at = self.at.max(now);
        for count in &mut self.counts {
            *count *= kept;
        }
        self.counts[bucket(latency)] += 1.0;
        self.total = self.total * kept + 1.0;
    }

    /// The latency that `share` of the recent ones don't exceed; none before enough were seen.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        if self.total < ENOUGH {
            return None;
        }
        let wanted = self.total * share;
        let mut seen = 0.0;
        let mut bound = SHORTEST;
        for count in &self.counts {
            seen += count;
            if seen >= wanted {
                break;
            }
            bound *= STEP;
        }
        Some(number::seconds(bound))
    }
}

fn bucket(latency: Duration) -> usize {
    let steps = (latency.as_secs_f64() / SHORTEST).max(1.0).log(STEP).ceil();
    usize::try_from(number::floor(steps)).map_or(BUCKETS - 1, |at| at.min(BUCKETS - 1))
}

/// What is known of an attempt that may be hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Whether the call may run twice.
    pub repeatable: bool,
    /// Whether it is a long job, whose repetition costs as much as many short ones.
    pub long: bool,
    /// Time left until the whole answer must be there.
    pub time_left: Duration,
}

/// How long to wait for the first token before a second attempt is sent; none if it never is.
#[must_use]
pub fn delay(tail: &LatencyHistogram, attempt: Attempt) -> Option<Duration> {
    if !attempt.repeatable || attempt.long {
        return None;
    }
    let delay = tail.quantile(0.95)?.mul_f64(PATIENCE);
    (delay < attempt.time_left).then_some(delay)
}

/// How long an attempt may go without a first token before it is given up for another one, so that
/// a call at an endpoint that hangs does not wait for its caller's whole timeout. Only if a retry is
/// paid for: in a burst a full pool is silent, too, and an attempt given up for nothing is an error
/// to a caller who would have been served. None while too little is known; the deadline bounds it.
#[must_use]
pub fn first_token_timeout(tail: &LatencyHistogram) -> Option<Duration> {
    let usual = tail.quantile(0.95)?;
    Some(usual.mul_f64(SILENCE).max(SHORTEST_SILENCE))
}
