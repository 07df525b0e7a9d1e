//! Latency histograms and their form in result files.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

/// Significant digits kept of each latency.
const DIGITS: u8 = 3;

/// The longest latency told apart, in microseconds: an hour. No call waits longer.
const LONGEST: u64 = 3_600_000_000;

/// Latencies in microseconds.
#[derive(Debug, Clone)]
pub struct Latency(Histogram<u64>);

/// A histogram as it stands in a result file: each recorded value in microseconds with its count.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Bins(pub Vec<(u64, u64)>);

impl Default for Latency {
    fn default() -> Self {
        Self(empty())
    }
}

/// # Panics
///
/// Never: the number of digits is one that the library takes.
fn empty() -> Histogram<u64> {
    Histogram::new(DIGITS).expect("digits between 0 and 5")
}

impl Latency {
    /// Records one latency.
    pub fn record(&mut self, latency: Duration) {
        self.add(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX), 1);
    }

    /// Adds another one's latencies.
    pub fn merge(&mut self, other: &Bins) {
        for (micros, count) in &other.0 {
            self.add(*micros, *count);
        }
    }

    /// # Panics
    ///
    /// Never: the histogram grows up to the longest latency.
    fn add(&mut self, micros: u64, count: u64) {
        let micros = micros.clamp(1, LONGEST);
        // The library's saturating way of recording would not grow the histogram and cut
        // latencies off at its first size.
        self.0
            .record_n(micros, count)
            .expect("a histogram that grows");
    }

    /// The latency below which this share lies, in milliseconds; none if there are no records.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Option<f64> {
        (!self.0.is_empty()).then(|| millis(self.0.value_at_quantile(share)))
    }

    /// Records.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The form in result files.
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
