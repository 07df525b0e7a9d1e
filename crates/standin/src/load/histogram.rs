//! Latency histograms and their representation in result files.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

/// Significant decimal digits of a recorded latency.
const DIGITS: u8 = 3;

/// The largest recorded latency, in microseconds: one hour, longer than any call waits.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Latencies in microseconds.
#[derive(Debug, Clone)]
pub struct Latency(Histogram<u64>);

/// A histogram in a result file: each recorded value in microseconds with its count.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Bins(pub Vec<(u64, u64)>);

impl Default for Latency {
    fn default() -> Self {
        Self(new_histogram())
    }
}

/// # Panics
///
/// Never: the library accepts this number of digits.
fn new_histogram() -> Histogram<u64> {
    Histogram::new(DIGITS).expect("digits between 0 and 5")
}

impl Latency {
    /// Records one latency.
    pub fn record(&mut self, latency: Duration) {
        self.add(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX), 1);
    }

    /// Adds the latencies of another histogram.
    pub fn merge(&mut self, other: &Bins) {
        for (micros, count) in &other.0 {
            self.add(*micros, *count);
        }
    }

    /// # Panics
    ///
    /// Never: the histogram resizes itself up to the largest latency.
    fn add(&mut self, micros: u64, count: u64) {
        let micros = micros.clamp(1, MAX_LATENCY_US);
        // `saturating_record_n` would not resize the histogram, and would cap latencies at its
        // initial range.
        self.0
            .record_n(micros, count)
            .expect("a histogram that grows");
    }

    /// The latency in milliseconds below which this share of the records lies; none without
    /// records.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Option<f64> {
        (!self.0.is_empty()).then(|| millis(self.0.value_at_quantile(share)))
    }

    /// Number of recorded latencies.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The representation in result files.
    #[must_use]
    pub fn bins(&self) -> Bins {
        let recorded = self.0.iter_recorded();
        Bins(
            recorded
                .map(|bin| (bin.value_iterated_to(), bin.count_since_last_iteration()))
                .collect(),
        )
    }
}

impl From<&Bins> for Latency {
    fn from(bins: &Bins) -> Self {
        let mut latency = Self::default();
        latency.merge(bins);
        latency
    }
}

// Latencies are far below 2^52 microseconds.
#[expect(clippy::cast_precision_loss)]
fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
