//! Counters, gauges and histograms of an entry VM, with a bounded number of series.

mod rollouts;
mod series;

use std::time::Duration;

use compact_str::CompactString;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use pimento_metrics::BoundedLabels;
use pimento_metrics::counter;
use pimento_metrics::gauge_vec;
use pimento_metrics::histogram;
use pimento_metrics::to_f64;
use pimento_policy::link::Load;
use pimento_scheduler::Scheduler;
use pimento_serve::ReplyBody;
use pimento_serve::Serve;
use pimento_units::id;
use prometheus::GaugeVec;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Registry;

use crate::boot;
use crate::codec::Codec;
use crate::follow::Fold;
use crate::follow::Follower;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::refusal::Refusal;
use crate::stage::DroppedBy;
use crate::stage::Step;
use crate::topic::Log;

/// Bucket bounds of the latency histograms, in seconds. Buckets are narrowest around the latency targets
/// of 0.3 to 3 s for the first event of a stream and for the response of a plain service. Streams last
/// up to half a minute.
const LATENCY_BUCKETS: [f64; 14] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0, 10.0, 30.0,
];

/// Maximum number of routes with their own series. A configuration may have hundreds of routes, whose
/// series would make a scrape half a megabyte.
const MAX_ROUTES: usize = 16;

/// Path at which the metrics are served.
const PATH: &str = "/metrics";

/// The metrics of an entry VM.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Routes that have their own series.
    routes: BoundedLabels,
    answers: IntCounterVec,
    refusals: IntCounterVec,
    dropped: IntCounterVec,
    attempts: IntCounterVec,
    cascade: IntCounterVec,
    estimates: IntCounterVec,
    urgent_reports: IntCounter,
    first: HistogramVec,
    last: HistogramVec,
    queued: HistogramVec,
    pools: GaugeVec,
    ages: GaugeVec,
    behind: GaugeVec,
    reads: GaugeVec,
    calls: GaugeVec,
    rollouts: rollouts::Gauges,
    poison: GaugeVec,
    connects: GaugeVec,
    links: GaugeVec,
    own_link: GaugeVec,
    held_bytes: GaugeVec,
    log_lines: GaugeVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let r = &registry;
        Self {
            answers: counter(
                r,
                "pimento_answers_total",
                "Answers of endpoints that were passed on, by route and how they ended",
                &["route", "end"],
            ),
            refusals: counter(
                r,
                "pimento_refusals_total",
                "Requests that got no answer of an endpoint, by cause and whether they may have run",
                &["cause", "run"],
            ),
            dropped: series::dropped(r),
            attempts: counter(
                r,
                "pimento_attempts_total",
                "Attempts at endpoints, by pool and how they ended",
                &["pool", "result"],
            ),
            cascade: series::cascade(r),
            estimates: series::estimates(r),
            urgent_reports: series::urgent_reports(r),
            first: histogram(
                r,
                "pimento_first_byte_seconds",
                "Time from a request's head to its answer's head",
                &LATENCY_BUCKETS,
                &["route"],
            ),
            last: histogram(
                r,
                "pimento_last_byte_seconds",
                "Time from a request's head to the end of its answer",
                &LATENCY_BUCKETS,
                &["route"],
            ),
            queued: histogram(
                r,
                "pimento_queue_wait_seconds",
                "Time that an attempt waited for a slot",
                &LATENCY_BUCKETS,
                &["route"],
            ),
            pools: gauge_vec(
                r,
                "pimento_pool",
                "Jobs waiting, calls in flight, slots, endpoints usable and ejected, engines of known speed \
                 and their spread, repeats left, by pool",
                &["pool", "figure"],
            ),
            ages: gauge_vec(
                r,
                "pimento_view_age_seconds",
                "Time since a topic's view was last known to be current",
                &["topic"],
            ),
            behind: gauge_vec(
                r,
                "pimento_view_behind_seconds",
                "Time for which a topic's view has lacked a change that another VM knows of",
                &["topic"],
            ),
            reads: gauge_vec(
                r,
                "pimento_log_reads",
                "Reads of a topic since the start by how they ended, and bytes that came",
                &["topic", "figure"],
            ),
            calls: gauge_vec(
                r,
                "pimento_log_calls",
                "Calls of the log since the start, by topic and why they were made",
                &["topic", "reason"],
            ),
            rollouts: rollouts::Gauges::new(r),
            poison: series::poison(r),
            connects: series::connects(r),
            links: series::links(r),
            own_link: series::own_link(r),
            held_bytes: series::held_bytes(r),
            log_lines: gauge_vec(
                r,
                "pimento_log_lines_left_out",
                "Log lines left out since the start, by reason",
                &["reason"],
            ),
            routes: BoundedLabels::new(MAX_ROUTES),
            registry,
        }
    }
}

impl Metrics {
    /// Records the time until a response's head was sent to the caller.
    pub fn observe_first_byte(&self, route: &CompactString, took: Duration) {
        let label = self.routes.label(route);
        let first = self.first.with_label_values(&[label.as_str()]);
        first.observe(took.as_secs_f64());
    }

    /// Records the time until the end of a response, and how it ended.
    pub fn observe_end(&self, route: &CompactString, end: &str, took: Duration) {
        let label = self.routes.label(route);
        let last = self.last.with_label_values(&[label.as_str()]);
        last.observe(took.as_secs_f64());
        self.answers.with_label_values(&[label.as_str(), end]).inc();
    }

    /// Counts a request that got no response from an endpoint.
    pub fn count_refusal(&self, refusal: &Refusal) {
        let run = if refusal.may_have_run {
            "unknown"
        } else {
            "not_run"
        };
        let labels = [refusal.cause.as_str(), run];
        self.refusals.with_label_values(&labels).inc();
    }

    /// Counts a request whose handling ended before a response.
    pub fn count_dropped(&self, by: DroppedBy, step: Step) {
        let labels = [by.as_str(), step.as_str()];
        self.dropped.with_label_values(&labels).inc();
    }

    /// Counts an attempt by its result.
    pub fn count_attempt(&self, pool: &id::Pool, result: &str) {
        let labels = [pool.as_str(), result];
        self.attempts.with_label_values(&labels).inc();
    }

    /// Records the time that an attempt waited for a slot.
    pub fn observe_queue_wait(&self, route: &CompactString, waited: Duration) {
        let label = self.routes.label(route);
        let queued = self.queued.with_label_values(&[label.as_str()]);
        queued.observe(waited.as_secs_f64());
    }

    /// Counts whether the cascade dropped a first answer for a larger model.
    pub fn count_cascade_decision(&self, model: &id::Version, dropped: bool) {
        let result = if dropped { "dropped" } else { "kept" };
        let labels = [model.as_str(), result];
        self.cascade.with_label_values(&labels).inc();
    }

    /// Records when the first token of a larger model arrived.
    pub fn count_estimate(&self, estimate: Duration, took: Duration) {
        let arrived = if took <= estimate / 2 {
            "within_half"
        } else if took <= estimate {
            "within"
        } else if took <= estimate * 2 {
            "within_twice"
        } else {
            "later"
        };
        self.estimates.with_label_values(&[arrived]).inc();
    }

    /// Counts a report to the VMs of the group that was sent at once for a long prompt.
    pub fn count_urgent_report(&self) {
        self.urgent_reports.inc();
    }

    fn set_pool_depths(&self, scheduler: &Scheduler) {
        for (name, pool) in scheduler.pools() {
            for (which, count) in pool.metrics().figures() {
                self.set_pool_figure(&name, which, to_f64(count));
            }
        }
    }

    fn set_pool_figure(&self, name: &id::Pool, figure: &str, value: f64) {
        self.pools
            .with_label_values(&[name.as_str(), figure])
            .set(value);
    }

    fn set_topic_figures<F: Fold, L: Log>(&self, topic: &str, follower: &Follower<F, L>) {
        self.set_age(topic, follower.age());
        let behind = follower.behind().unwrap_or_default();
        self.behind
            .with_label_values(&[topic])
            .set(behind.as_secs_f64());
        let reads = follower.read_counts();
        let figures = [
            ("answered", reads.answered),
            ("failed", reads.failed),
            ("given_up", reads.given_up),
            ("bytes", reads.bytes),
        ];
        for (name, count) in figures {
            self.reads
                .with_label_values(&[topic, name])
                .set(to_f64(count));
        }
    }

    fn set_own_link(&self, load: Load) {
        let figures = [
            ("received_share", load.received),
            ("sent_share", load.sent),
            ("send_delay_seconds", load.send_delay.as_secs_f64()),
        ];
        for (figure, value) in figures {
            self.own_link.with_label_values(&[figure]).set(value);
        }
    }

    fn set_age(&self, topic: &str, age: Option<Duration>) {
        // A view that was never read has no age, hence no series.
        if let Some(age) = age {
            self.ages.with_label_values(&[topic]).set(age.as_secs_f64());
        }
    }
}

/// Serves the metrics over HTTP.
#[derive(Debug)]
pub struct MetricsService<P, L>(pub Node<P, L>);

impl<P: Clone, L: Clone> Clone for MetricsService<P, L> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<P: HeaderCodec + Codec, L: Log> MetricsService<P, L> {
    /// Updates the gauges, whose values are only read on a scrape.
    fn update_gauges(&self) {
        let node = &self.0;
        let metrics = &node.metrics;
        metrics.set_pool_depths(&node.scheduler);
        metrics.set_topic_figures("operators", &node.operators);
        metrics.set_topic_figures("endpoints", &node.directory);
        for count in node.calls.counts() {
            let labels = [count.topic.as_str(), count.reason.as_str()];
            let gauge = metrics.calls.with_label_values(&labels);
            gauge.set(to_f64(count.calls));
        }
        for (pool, left) in node.retry_budgets.remaining(node.now()) {
            metrics.set_pool_figure(&pool, "repeats_left", left);
        }
        for (pool, count) in node.directory.view(|view| view.avoided(boot::now())) {
            let count = u64::try_from(count).unwrap_or(u64::MAX);
            metrics.set_pool_figure(&pool, "avoided", to_f64(count));
        }
        node.rollouts(|rollouts| metrics.rollouts.update(rollouts));
        metrics.set_topic_figures("poison", &node.blocklist);
        let (suspect, blocked) = node.poison.counts();
        let parts = node.poison.blocked_parts();
        for (state, count) in [("suspect", suspect), ("barred", blocked), ("parts", parts)] {
            let count = u64::try_from(count).unwrap_or(u64::MAX);
            let gauge = metrics.poison.with_label_values(&[state]);
            gauge.set(to_f64(count));
        }
        for (result, count) in node.links.counts() {
            let gauge = metrics.connects.with_label_values(&[result]);
            gauge.set(to_f64(count));
        }
        for (figure, count) in node.links.figures() {
            let gauge = metrics.links.with_label_values(&[figure]);
            gauge.set(to_f64(count));
        }
        metrics.set_own_link(node.own_link.load().unwrap_or_default());
        let held = metrics.held_bytes.with_label_values(&["bodies"]);
        held.set(to_f64(node.bodies.held_bytes()));
        let dropped = pimento_logs::dropped();
        let reasons = [
            ("budget", dropped.over_budget),
            ("unread", dropped.unwritten),
        ];
        for (reason, count) in reasons {
            let gauge = metrics.log_lines.with_label_values(&[reason]);
            gauge.set(to_f64(count));
        }
    }
}

impl<P: HeaderCodec + Codec, L: Log> Serve for MetricsService<P, L> {
    async fn serve(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        if request.uri().path() != PATH {
            let mut response = Response::new(ReplyBody::whole("not found\n"));
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
        self.update_gauges();
        let mut response = Response::new(ReplyBody::whole(pimento_metrics::text(
            &self.0.metrics.registry,
        )));
        let kind = HeaderValue::from_static(pimento_metrics::CONTENT_TYPE);
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }
}
