//! Metrics of an entry VM, with a bounded number of series.

use std::time::Duration;

use pimento_endpoint::Fault;
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

use crate::end::End;
use crate::refusal::Code;

/// Bucket bounds of the latency histograms, in seconds. They are finest around 0.41 s, the target
/// for the first token; long requests take minutes.
const LATENCY_BOUNDS: [f64; 16] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.41, 0.6, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0,
];

/// Bucket bounds of the cost histogram, in currency units.
const COST_BOUNDS: [f64; 10] = [
    0.000_01, 0.000_1, 0.000_5, 0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 5.0,
];

/// Labels of the histograms.
const HISTOGRAM_LABELS: [&str; 2] = ["customer", "class"];

/// Class label of requests without a class, which are calls of plain services.
pub const NO_CLASS: &str = "service";

/// Result of an attempt that was given up because this VM ends. Its caller gets an error.
pub const ENDED: &str = "ended";

/// Result of an attempt whose stream was cut because this VM ends.
pub const ABORTED: &str = "aborted";

/// The result of an attempt that failed.
#[must_use]
pub fn result(fault: &Fault, end: &End) -> &'static str {
    match fault {
        Fault::Unreachable { .. } => "unreachable",
        Fault::Refused { .. } => "refused",
        Fault::Failed { .. } => "failed",
        Fault::Interrupted { .. } => "cut",
        Fault::Invalid { .. } => "nonsense",
        Fault::Timeout => "timeout",
        Fault::Cancelled if end.is_aborted() => ABORTED,
        Fault::Cancelled => "cancelled",
    }
}

/// The metrics of an entry VM.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Customers with their own series.
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
    answer_bytes: Gauge,
}

/// Latency and cost of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// Time to the first byte of the answer.
    pub first_byte: Duration,
    /// Time to the last byte of the answer.
    pub last_byte: Duration,
    /// Time in queues.
    pub queue_wait: Duration,
    /// The operator's cost of all attempts.
    pub cost: Money,
}

impl Metrics {
    /// Creates the metrics, with separate series for at most `customers` customers.
    ///
    /// # Panics
    ///
    /// Never: each name is a constant that is registered once.
    #[must_use]
    pub fn new(customers: usize) -> Self {
        let registry = Registry::new();
        let r = &registry;
        Self {
            first_byte: histogram(
                r,
                "pimento_first_byte_seconds",
                "Time to the first byte of an answer",
                &LATENCY_BOUNDS,
                &HISTOGRAM_LABELS,
            ),
            last_byte: histogram(
                r,
                "pimento_last_byte_seconds",
                "Time to the last byte of an answer",
                &LATENCY_BOUNDS,
                &HISTOGRAM_LABELS,
            ),
            queue_wait: histogram(
                r,
                "pimento_queue_wait_seconds",
                "Time in queues",
                &LATENCY_BOUNDS,
                &HISTOGRAM_LABELS,
            ),
            cost: histogram(
                r,
                "pimento_cost",
                "Cost to us of a request, all attempts and steps, in currency units",
                &COST_BOUNDS,
                &HISTOGRAM_LABELS,
            ),
            served: counter(
                r,
                "pimento_served_total",
                "Requests answered in full",
                &["customer", "class", "answered_by"],
            ),
            refusals: counter(
                r,
                "pimento_refusals_total",
                "Requests answered with an error, by its code",
                &["code", "run"],
            ),
            attempts: counter(
                r,
                "pimento_attempts_total",
                "Attempts at endpoints, by pool and result",
                &["pool", "result"],
            ),
            steps: counter(
                r,
                "pimento_cascade_steps_total",
                "Cascade steps, by version and result",
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
                "Time since the configuration was last confirmed to be current",
            ),
            bills_waiting: gauge(
                r,
                "pimento_bills_waiting",
                "Bills not yet read back from the log",
            ),
            spend_granted: gauge_vec(
                r,
                "pimento_spend_granted",
                "Money granted to this node in the current spend period, in currency units",
                &["customer"],
            ),
            answer_bytes: gauge(
                r,
                "pimento_kept_bytes",
                "Memory of cached answers, in bytes",
            ),
            customers: BoundedLabels::new(customers),
            registry,
        }
    }

    /// Records a complete answer.
    pub fn record_served(&self, customer: &id::Customer, class: &str, by: &str, sample: Sample) {
        let customer = self.customers.label(customer.as_str());
        let labels = [customer.as_str(), class];
        let observe = |vec: &HistogramVec, time: Duration| {
            vec.with_label_values(&labels).observe(time.as_secs_f64());
        };
        observe(&self.first_byte, sample.first_byte);
        observe(&self.last_byte, sample.last_byte);
        observe(&self.queue_wait, sample.queue_wait);
        self.cost
            .with_label_values(&labels)
            .observe(currency_units(sample.cost));
        self.served
            .with_label_values(&[customer.as_str(), class, by])
            .inc();
    }

    /// Counts an error.
    pub fn record_refusal(&self, code: Code, run: pimento_wire::api::Run) {
        self.refusals
            .with_label_values(&[code.as_str(), run.as_str()])
            .inc();
    }

    /// Counts an attempt.
    pub fn record_attempt(&self, pool: &id::Pool, result: &str) {
        self.attempts
            .with_label_values(&[pool.as_str(), result])
            .inc();
    }

    /// Counts a cascade step.
    pub fn record_step(&self, version: &id::Version, result: &str) {
        self.steps
            .with_label_values(&[version.as_str(), result])
            .inc();
    }

    /// Sets the amount granted to this node for a customer.
    pub fn set_granted(&self, customer: &id::Customer, granted: Money) {
        let customer = self.customers.label(customer.as_str());
        self.spend_granted
            .with_label_values(&[customer.as_str()])
            .set(currency_units(granted));
    }

    /// Updates the gauges whose values are taken when the metrics are scraped.
    pub fn update_gauges(
        &self,
        age: Duration,
        bills: usize,
        answer_bytes: usize,
        scheduler: &Scheduler,
    ) {
        self.state_age.set(age.as_secs_f64());
        self.bills_waiting.set(to_f64(bills));
        self.answer_bytes.set(to_f64(answer_bytes));
        for (name, pool) in scheduler.pools() {
            for (which, count) in pool.metrics().figures() {
                self.pools
                    .with_label_values(&[name.as_str(), which])
                    .set(to_f64(count));
            }
        }
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        pimento_metrics::text(&self.registry)
    }
}

#[expect(clippy::cast_precision_loss, reason = "a figure for a chart")]
fn currency_units(money: Money) -> f64 {
    money.micros() as f64 / pimento_units::money::MICROS as f64
}
