//! Series of metrics: registered once, bounded by who uses them, and written as text.
//!
//! BoundedLabels and labels are constants of the programs. One that `prometheus` does not take, or that is
//! registered twice, is a fault of the program and ends it at its start.

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

/// A histogram by `labels`, with these upper bounds.
///
/// # Panics
///
/// If the name or a label can't be used, or the name is registered already.
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

/// A counter by `labels`.
///
/// # Panics
///
/// If the name or a label can't be used, or the name is registered already.
#[must_use]
pub fn counter(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let vec = IntCounterVec::new(Opts::new(name, help), labels);
    let vec = vec.expect("the name and labels are constants that prometheus takes");
    register(registry, &vec);
    vec
}

/// A gauge by `labels`.
///
/// # Panics
///
/// If the name or a label can't be used, or the name is registered already.
#[must_use]
pub fn gauge_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> GaugeVec {
    let vec = GaugeVec::new(Opts::new(name, help), labels);
    let vec = vec.expect("the name and labels are constants that prometheus takes");
    register(registry, &vec);
    vec
}

/// A single gauge.
///
/// # Panics
///
/// If the name can't be used or is registered already.
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

/// All metrics of a registry as text.
#[must_use]
pub fn text(registry: &Registry) -> Vec<u8> {
    let mut text = Vec::new();
    let encoded = TextEncoder::new().encode(&registry.gather(), &mut text);
    if let Err(error) = encoded {
        log::error!("metrics: Not encoded: {error}.");
    }
    text
}

/// A count as a figure for a chart.
#[expect(clippy::cast_precision_loss, reason = "a figure for a chart")]
#[must_use]
pub fn to_f64(count: impl TryInto<u64>) -> f64 {
    count.try_into().unwrap_or(u64::MAX) as f64
}

/// The label of all names past the bound.
const OTHERS: &str = "other";

/// BoundedLabels that have series of their own: the first so many that were seen. BoundedLabels come from operators,
/// and each one more is a series of every metric that bears it.
#[derive(Debug)]
pub struct BoundedLabels {
    most: usize,
    /// Sorted.
    known: Mutex<Vec<CompactString>>,
}

impl BoundedLabels {
    /// None seen yet, of at most so many.
    #[must_use]
    pub const fn new(most: usize) -> Self {
        Self {
            most,
            known: Mutex::new(Vec::new()),
        }
    }

    /// The label of a name.
    #[must_use]
    pub fn label(&self, name: &str) -> CompactString {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        match known.binary_search_by(|known| known.as_str().cmp(name)) {
            Ok(place) => known[place].clone(),
            Err(place) if known.len() < self.most => {
                known.insert(place, name.into());
                name.into()
            }
            Err(_) => OTHERS.into(),
        }
    }
}
