//! Metrics of the controllers, for `/metrics`.

use std::time::Duration;

use prometheus::Encoder;
use prometheus::Error;
use prometheus::Gauge;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// The metrics of one process. Clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    passes: HistogramVec,
    failures: IntCounterVec,
    orders: IntCounterVec,
    fetches: IntCounterVec,
    leases: IntGaugeVec,
    age: Gauge,
}

/// Outcome of an order or a fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was carried out.
    Done,
    /// The engine or the weight store refused it.
    Refused,
    /// There was no response; it may have been carried out.
    Unknown,
}

impl Outcome {
    const fn label(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Refused => "refused",
            Self::Unknown => "lost",
        }
    }
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// If the library refuses a name, which any test of the controllers would detect.
    pub fn new() -> Result<Self, Error> {
        let metrics = Self {
            registry: Registry::new(),
            passes: HistogramVec::new(
                HistogramOpts::new(
                    "pimento_control_pass_seconds",
                    "Time of a controller's pass",
                ),
                &["controller"],
            )?,
            failures: counter(
                "pimento_control_pass_failures_total",
                "Passes that failed",
                "controller",
            )?,
            orders: counter("pimento_control_orders_total", "Orders given", "outcome")?,
            fetches: counter(
                "pimento_control_fetches_total",
                "Calls to the weight store",
                "outcome",
            )?,
            leases: IntGaugeVec::new(
                Opts::new("pimento_control_leases", "Leases held now"),
                &["kind"],
            )?,
            age: Gauge::new(
                "pimento_control_state_age_seconds",
                "Age of the configuration",
            )?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), Error> {
        let registry = &self.registry;
        registry.register(Box::new(self.passes.clone()))?;
        registry.register(Box::new(self.failures.clone()))?;
        registry.register(Box::new(self.orders.clone()))?;
        registry.register(Box::new(self.fetches.clone()))?;
        registry.register(Box::new(self.leases.clone()))?;
        registry.register(Box::new(self.age.clone()))
    }

    /// Records a pass.
    pub fn record_pass(&self, controller: &str, duration: Duration, succeeded: bool) {
        let passes = self.passes.with_label_values(&[controller]);
        passes.observe(duration.as_secs_f64());
        if !succeeded {
            self.failures.with_label_values(&[controller]).inc();
        }
    }

    /// Counts an order.
    pub fn record_order(&self, outcome: Outcome) {
        self.orders.with_label_values(&[outcome.label()]).inc();
    }

    /// Counts a fetch.
    pub fn record_fetch(&self, outcome: Outcome) {
        self.fetches.with_label_values(&[outcome.label()]).inc();
    }

    /// Sets the number of leases held, on orders to pools and on roll-outs.
    pub fn set_leases(&self, orders: usize, rollouts: usize) {
        for (kind, held) in [("orders", orders), ("rollouts", rollouts)] {
            let gauge = self.leases.with_label_values(&[kind]);
            gauge.set(i64::try_from(held).unwrap_or(i64::MAX));
        }
    }

    /// Sets the age of the configuration.
    pub fn set_age(&self, age: Duration) {
        self.age.set(age.as_secs_f64());
    }

    /// Encodes all metrics in the text format.
    ///
    /// # Errors
    ///
    /// If the library can't encode them.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

fn counter(name: &str, help: &str, label: &str) -> Result<IntCounterVec, Error> {
    IntCounterVec::new(Opts::new(name, help), &[label])
}
