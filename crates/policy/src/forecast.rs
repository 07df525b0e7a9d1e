//! How far estimates of the time to a first token can be trusted.
//!
//! Under load an estimate may be too short, because of prompts of other nodes that are not reported
//! yet, or too long, because of parts that are cached without this node knowing. A decision that
//! took it for exact would give up prompts that are still likely to be in time, and send others that
//! have little chance. This module records what became of estimates and tells the probability that
//! a first token arrives within a given time.
//!
//! Estimates are grouped into bands by their size, since short and long ones err in different
//! directions. In each band the distribution of the ratio of the actual to the estimated time is
//! recorded, starting from a prior with a median close to one.

use std::time::Duration;

use crate::number;

/// Upper bounds of all bands but the last, in seconds.
const BAND_BOUNDS: [f64; 4] = [0.2, 0.5, 1.0, 2.0];

/// Number of bands.
const BANDS: usize = BAND_BOUNDS.len() + 1;

/// Upper bounds of all ratio buckets but the last, each about 1.4 times the one before.
const RATIO_BOUNDS: [f64; 10] = [0.25, 0.35, 0.5, 0.7, 1.0, 1.4, 2.0, 2.8, 4.0, 5.6];

/// Number of ratio buckets.
const BUCKETS: usize = RATIO_BOUNDS.len() + 1;

/// Share of estimates in each ratio bucket before any was recorded. The median is close to one,
/// three fifths of the actual times are within a factor of two of the estimate, and the others
/// are spread evenly to both sides.
const PRIOR: [f64; BUCKETS] = [
    0.05, 0.05, 0.1, 0.13, 0.19, 0.15, 0.12, 0.08, 0.06, 0.04, 0.03,
];

/// Number of estimates that the prior counts as.
const PRIOR_WEIGHT: f64 = 12.0;

/// Maximum number of estimates remembered in each band, so that the distribution follows a change
/// of load within about this many.
const MAX_RECORDED: f64 = 60.0;

/// Least estimate, in seconds. A shorter one is taken for this long: it is a few steps of an engine,
/// whose ratio says nothing of longer estimates.
const MIN_ESTIMATE: f64 = 0.03;

/// The distribution of actual to estimated times in one band.
#[derive(Debug, Clone, Copy, Default)]
struct Band {
    counts: [f64; BUCKETS],
}

impl Band {
    fn record(&mut self, ratio: f64) {
        let total: f64 = self.counts.iter().sum();
        if total >= MAX_RECORDED {
            let kept = 1.0 - 1.0 / MAX_RECORDED;
            self.counts.iter_mut().for_each(|count| *count *= kept);
        }
        let bucket = RATIO_BOUNDS.partition_point(|bound| *bound < ratio);
        self.counts[bucket] += 1.0;
    }

    /// Probability that the ratio is at most `ratio`, interpolated within its bucket.
    fn share_up_to(&self, ratio: f64) -> f64 {
        let recorded: f64 = self.counts.iter().sum();
        let share = |bucket: usize| {
            (self.counts[bucket] + PRIOR[bucket] * PRIOR_WEIGHT) / (recorded + PRIOR_WEIGHT)
        };
        let bucket = RATIO_BOUNDS.partition_point(|bound| *bound < ratio);
        let below: f64 = (0..bucket).map(share).sum();
        let Some(upper) = RATIO_BOUNDS.get(bucket) else {
            // The last bucket has no end. A time in it is far too long for any use.
            return below;
        };
        let lower = bucket.checked_sub(1).map_or(0.0, |last| RATIO_BOUNDS[last]);
        below + share(bucket) * (ratio - lower) / (upper - lower)
    }
}

/// What became of this node's estimates.
#[derive(Debug, Clone, Copy, Default)]
pub struct Forecast {
    bands: [Band; BANDS],
}

/// The band of an estimate in seconds.
fn band(estimate: f64) -> usize {
    BAND_BOUNDS.partition_point(|bound| *bound < estimate)
}

impl Forecast {
    /// Records that a first token arrived after `took` where `estimate` was expected.
    pub fn record(&mut self, estimate: Duration, took: Duration) {
        let estimate = estimate.as_secs_f64().max(MIN_ESTIMATE);
        self.bands[band(estimate)].record(took.as_secs_f64() / estimate);
    }

    /// Returns the probability that a first token which is expected after `estimate` arrives within
    /// `left`, from 0 to 1.
    #[must_use]
    pub fn probability(&self, estimate: Duration, left: Duration) -> f64 {
        let estimate = estimate.as_secs_f64().max(MIN_ESTIMATE);
        self.bands[band(estimate)]
            .share_up_to(left.as_secs_f64() / estimate)
            .clamp(0.0, 1.0)
    }

    /// Returns the number of estimates recorded, with less weight on older ones.
    #[must_use]
    pub fn recorded(&self) -> u64 {
        let counts = self.bands.iter().flat_map(|band| &band.counts);
        number::floor(counts.sum())
    }
}
