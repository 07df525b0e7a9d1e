//! Metrics of an entry VM, with a bounded number of series.

use std::time::Duration;

use pimento_metrics::BoundedLabels;
use pimento_metrics::counter;
use pimento_metrics::gauge;
use pimento_metrics::gauge_vec;
use pimento_metrics::histogram;
use pimento_metrics::to_f64;
use pimento_scheduler::Scheduler;
use pimento_units::Money;
use pimento_units::id;
use prometheus::Gauge;
use prometheus::GaugeVec;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::Registry;

use crate::refusal::Code;

/// Bounds of latency histograms in seconds: the target for a first token is 0.41 s, so that the
/// steps are finest around it; reviews take minutes.
const LATENCY: [f64; 16] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.41, 0.6, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0,
];

/// Bounds of the cost histogram, in currency units.
const COST: [f64; 10] = [
    0.000_01, 0.000_1, 0.000_5, 0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 5.0,
];

/// Labels of the histograms.
const LABELS: [&str; 2] = ["customer", "class"];

/// Label of requests that have no class: plain services.
pub const NO_CLASS: &str = "service";

/// All metrics.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Customers with series of their own.
    customers: BoundedLabels,
    first_byte: HistogramVec,
    last_byte: HistogramVec,
    queue_wait: HistogramVec,
    cost: HistogramVec,
    served: IntCounterVec,
    refusals: IntCounterVec,
    attempts: IntCounterVec,
    steps: IntCounterVec,
    pools: GaugeVec,
    state_age: Gauge,
    bills_waiting: Gauge,
    spend_granted: GaugeVec,
    kept_bytes: Gauge,
}

/// How long a request took and what it cost.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// To the first byte of the answer.
    pub first: Duration,
    /// To the last byte.
    pub last: Duration,
    /// In queues.
    pub waited: Duration,
    /// Cost to us of all attempts.
    pub cost: Money,
}

impl Metrics {
    /// Metrics with series of their own for at most `customers` customers.
    ///
    /// # Panics
    ///
    /// Never: the names are constants that are each registered once.
    #[must_use]
    pub fn new(customers: usize) -> Self {
        let registry = Registry::new();
        let r = &registry;
        Self {
            first_byte: histogram(
                r,
                "pimento_first_byte_seconds",
                "Time to the first byte of an answer",
                &LATENCY,
                &LABELS,
            ),
            last_byte: histogram(
                r,
                "pimento_last_byte_seconds",
                "Time to the last byte of an answer",
                &LATENCY,
                &LABELS,
            ),
            queue_wait: histogram(
                r,
                "pimento_queue_wait_seconds",
                "Time in queues",
                &LATENCY,
                &LABELS,
            ),
            cost: histogram(
                r,
                "pimento_cost",
                "Cost to us of a request, all attempts and steps, in currency units",
                &COST,
                &LABELS,
            ),
            served: counter(
                r,
                "pimento_served_total",
                "Requests answered whole",
                &["customer", "class", "answered_by"],
            ),
            refusals: counter(
                r,
                "pimento_refusals_total",
                "Requests that got an error, by its code",
                &["code", "run"],
            ),
            attempts: counter(
                r,
                "pimento_attempts_total",
                "Attempts at endpoints, by pool and how they ended",
                &["pool", "result"],
            ),
            steps: counter(
                r,
                "pimento_cascade_steps_total",
                "Cascade steps, by version and what became of the answer",
                &["version", "result"],
            ),
            pools: gauge_vec(
                r,
                "pimento_pool",
                "Jobs waiting, calls in flight, slots, endpoints usable and ejected, by pool",
                &["pool", "figure"],
            ),
            state_age: gauge(
                r,
                "pimento_state_age_seconds",
                "Time since the configuration was last known to be current",
            ),
            bills_waiting: gauge(
                r,
                "pimento_bills_waiting",
                "Bills that were not yet read back from the log",
            ),
            spend_granted: gauge_vec(
                r,
                "pimento_spend_granted",
                "Money granted to this node in the present spend period, in currency units",
                &["customer"],
            ),
            kept_bytes: gauge(r, "pimento_kept_bytes", "Memory of kept answers, in bytes"),
            customers: BoundedLabels::new(customers),
            registry,
        }
    }

    /// Counts an answer.
    pub fn served(&self, customer: &id::Customer, class: &str, by: &str, sample: Sample) {
        let customer = self.customers.label(customer.as_str());
        let labels = [customer.as_str(), class];
        let observe = |vec: &HistogramVec, time: Duration| {
            vec.with_label_values(&labels).observe(time.as_secs_f64());
        };
        observe(&self.first_byte, sample.first);
        observe(&self.last_byte, sample.last);
        observe(&self.queue_wait, sample.waited);
        self.cost
            .with_label_values(&labels)
            .observe(amount(sample.cost));
        self.served
            .with_label_values(&[customer.as_str(), class, by])
            .inc();
    }

    /// Counts an error.
    pub fn refused(&self, code: Code, run: pimento_wire::api::Run) {
        self.refusals
            .with_label_values(&[code.as_str(), run.as_str()])
            .inc();
    }

    /// Counts an attempt.
    pub fn attempt(&self, pool: &id::Pool, result: &str) {
        self.attempts
            .with_label_values(&[pool.as_str(), result])
            .inc();
    }

    /// Counts a cascade step.
    pub fn step(&self, version: &id::Version, result: &str) {
        self.steps
            .with_label_values(&[version.as_str(), result])
            .inc();
    }

    /// Sets what was granted to this node for a customer.
    pub fn granted(&self, customer: &id::Customer, granted: Money) {
        let customer = self.customers.label(customer.as_str());
        self.spend_granted
            .with_label_values(&[customer.as_str()])
            .set(amount(granted));
    }

    /// Sets the gauges that are read when asked for.
    pub fn gauge(&self, age: Duration, bills: usize, kept: usize, scheduler: &Scheduler) {
        self.state_age.set(age.as_secs_f64());
        self.bills_waiting.set(to_f64(bills));
        self.kept_bytes.set(to_f64(kept));
        for (name, pool) in scheduler.pools() {
            for (which, count) in pool.depth().figures() {
                self.pools
                    .with_label_values(&[name.as_str(), which])
                    .set(to_f64(count));
            }
        }
    }

    /// All metrics in the text format.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        pimento_metrics::text(&self.registry)
    }
}

#[expect(clippy::cast_precision_loss, reason = "a figure for a chart")]
fn amount(money: Money) -> f64 {
    money.micros() as f64 / pimento_units::money::MICROS as f64
}
