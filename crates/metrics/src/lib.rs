//! Registration of Prometheus metrics, their export as text, and bounds on the number of series.
//!
//! Names and labels are constants of the programs. An invalid one, or one that is registered twice,
//! is a programming error and causes a panic at startup.

use std::sync::Mutex;
use std::sync::PoisonError;

use compact_str::CompactString;
use prometheus::Encoder;
use prometheus::Gauge;
use prometheus::GaugeVec;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Content type of [`text`].
pub const CONTENT_TYPE: &str = prometheus::TEXT_FORMAT;

/// Registers a histogram with `labels` and the upper `bounds` of its buckets.
///
/// # Panics
///
/// If the name or a label is invalid, or the name is already registered.
#[must_use]
pub fn histogram(
    registry: &Registry,
    name: &str,
    help: &str,
    bounds: &[f64],
    labels: &[&str],
) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
    let vec = HistogramVec::new(options, labels);
    let vec = vec.expect("the name and labels are constants that prometheus takes");
    register(registry, &vec);
    vec
}

/// Registers a counter with `labels`.
///
/// # Panics
///
/// If the name or a label is invalid, or the name is already registered.
#[must_use]
pub fn counter(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let vec = IntCounterVec::new(Opts::new(name, help), labels);
    let vec = vec.expect("the name and labels are constants that prometheus takes");
    register(registry, &vec);
    vec
}

/// Registers a gauge with `labels`.
///
/// # Panics
///
/// If the name or a label is invalid, or the name is already registered.
#[must_use]
pub fn gauge_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> GaugeVec {
    let vec = GaugeVec::new(Opts::new(name, help), labels);
    let vec = vec.expect("the name and labels are constants that prometheus takes");
    register(registry, &vec);
    vec
}

/// Registers a gauge without labels.
///
/// # Panics
///
/// If the name is invalid or already registered.
#[must_use]
pub fn gauge(registry: &Registry, name: &str, help: &str) -> Gauge {
    let gauge = Gauge::new(name, help).expect("the name is a constant that prometheus takes");
    register(registry, &gauge);
    gauge
}

fn register(registry: &Registry, metric: &(impl prometheus::core::Collector + Clone + 'static)) {
    let registered = registry.register(Box::new(metric.clone()));
    registered.expect("each name is registered once");
}

/// All metrics of a registry in the text format.
#[must_use]
pub fn text(registry: &Registry) -> Vec<u8> {
    let mut text = Vec::new();
    let encoded = TextEncoder::new().encode(&registry.gather(), &mut text);
    if let Err(error) = encoded {
        log::error!("metrics: Encoding failed: {error}.");
    }
    text
}

/// Converts a count to the value of a gauge. Counts above 2^53 lose precision.
#[expect(clippy::cast_precision_loss, reason = "a gauge needs no exact value")]
#[must_use]
pub fn to_f64(count: impl TryInto<u64>) -> f64 {
    count.try_into().unwrap_or(u64::MAX) as f64
}

/// The label shared by all names beyond the bound.
const OTHER: &str = "other";

/// Labels for names that operators choose, with a bound on their number.
///
/// Each label is a separate series in every metric that uses it. The first names get labels of their
/// own; all further names share one.
#[derive(Debug)]
pub struct BoundedLabels {
    max: usize,
    /// Sorted.
    known: Mutex<Vec<CompactString>>,
}

impl BoundedLabels {
    /// No labels yet, and at most `max` names with a label of their own.
    #[must_use]
    pub const fn new(max: usize) -> Self {
        Self {
            max,
            known: Mutex::new(Vec::new()),
        }
    }

    /// The label of a name.
    #[must_use]
    pub fn label(&self, name: &str) -> CompactString {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        match known.binary_search_by(|known| known.as_str().cmp(name)) {
            Ok(position) => known[position].clone(),
            Err(position) if known.len() < self.max => {
                known.insert(position, name.into());
                name.into()
            }
            Err(_) => OTHER.into(),
        }
    }
}
