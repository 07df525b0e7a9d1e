//! Counters and histograms of an entry VM, with a bounded number of series.

use std::time::Duration;

use compact_str::CompactString;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use pimento_metrics::Names;
use pimento_metrics::counter;
use pimento_metrics::figure;
use pimento_metrics::gauges;
use pimento_metrics::histogram;
use pimento_scheduler::Scheduler;
use pimento_serve::Reply;
use pimento_serve::Serve;
use pimento_units::id;
use prometheus::GaugeVec;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::Registry;

use crate::codec::Codec;
use crate::follow::Fold;
use crate::follow::Follower;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::refusal::Refusal;
use crate::topic::Log;

/// Bounds of latency histograms in seconds: the targets for a first event and for a whole answer of
/// a plain service are 0.3 to 3 s, around which the steps are finest; streams last up to half a
/// minute.
const LATENCY: [f64; 14] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0, 10.0, 30.0,
];

/// Routes with series of their own. A configuration may have hundreds; a scrape of so many would be
/// half a megabyte.
const ROUTES: usize = 16;

/// Where the text is served.
const PATH: &str = "/metrics";

/// All metrics.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Routes with series of their own.
    routes: Names,
    answers: IntCounterVec,
    refusals: IntCounterVec,
    attempts: IntCounterVec,
    cascade: IntCounterVec,
    first: HistogramVec,
    last: HistogramVec,
    queued: HistogramVec,
    pools: GaugeVec,
    ages: GaugeVec,
    behind: GaugeVec,
    reads: GaugeVec,
    calls: GaugeVec,
    rollouts: GaugeVec,
    poison: GaugeVec,
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
            attempts: counter(
                r,
                "pimento_attempts_total",
                "Attempts at endpoints, by pool and how they ended",
                &["pool", "result"],
            ),
            cascade: counter(
                r,
                "pimento_cascade_total",
                "First answers with a confidence, by model and whether they were dropped for a \
                 larger one",
                &["model", "result"],
            ),
            first: histogram(
                r,
                "pimento_first_byte_seconds",
                "Time from a request's head to its answer's head",
                &LATENCY,
                &["route"],
            ),
            last: histogram(
                r,
                "pimento_last_byte_seconds",
                "Time from a request's head to the end of its answer",
                &LATENCY,
                &["route"],
            ),
            queued: histogram(
                r,
                "pimento_queue_wait_seconds",
                "Time that an attempt waited for a slot",
                &LATENCY,
                &["route"],
            ),
            pools: gauges(
                r,
                "pimento_pool",
                "Jobs waiting, calls in flight, slots, endpoints usable and ejected, repeats left, by \
                 pool",
                &["pool", "figure"],
            ),
            ages: gauges(
                r,
                "pimento_view_age_seconds",
                "Time since a topic's view was last known to be current",
                &["topic"],
            ),
            behind: gauges(
                r,
                "pimento_view_behind_seconds",
                "Time for which a topic's view has lacked a change that another VM knows of",
                &["topic"],
            ),
            reads: gauges(
                r,
                "pimento_log_reads",
                "Reads of a topic since the start by how they ended, and bytes that came",
                &["topic", "figure"],
            ),
            calls: gauges(
                r,
                "pimento_log_calls",
                "Calls of the log since the start, by topic and why they were made",
                &["topic", "reason"],
            ),
            rollouts: gauges(
                r,
                "pimento_rollout_evidence",
                "Answers of the new version in a roll-out as this VM knows them, by pool and outcome",
                &["pool", "outcome"],
            ),
            poison: poison(r),
            log_lines: gauges(
                r,
                "pimento_log_lines_left_out",
                "Log lines left out since the start, by reason",
                &["reason"],
            ),
            routes: Names::new(ROUTES),
            registry,
        }
    }
}

fn poison(registry: &Registry) -> GaugeVec {
    let what = "Requests under which endpoints ended: suspects, and those that are sent no more";
    gauges(registry, "pimento_poison_requests", what, &["state"])
}

impl Metrics {
    /// Counts the head of an answer on its way to a caller.
    pub fn began(&self, route: &CompactString, took: Duration) {
        let label = self.routes.label(route);
        let first = self.first.with_label_values(&[label.as_str()]);
        first.observe(took.as_secs_f64());
    }

    /// Counts the end of an answer.
    pub fn ended(&self, route: &CompactString, end: &str, took: Duration) {
        let label = self.routes.label(route);
        let last = self.last.with_label_values(&[label.as_str()]);
        last.observe(took.as_secs_f64());
        self.answers.with_label_values(&[label.as_str(), end]).inc();
    }

    /// Counts a request that got no answer of an endpoint.
    pub fn refused(&self, refusal: &Refusal) {
        let run = if refusal.ran { "unknown" } else { "not_run" };
        let labels = [refusal.cause.as_str(), run];
        self.refusals.with_label_values(&labels).inc();
    }

    /// Counts an attempt.
    pub fn attempt(&self, pool: &id::Pool, result: &str) {
        let labels = [pool.as_str(), result];
        self.attempts.with_label_values(&labels).inc();
    }

    /// Counts a wait for a slot.
    pub fn queued(&self, route: &CompactString, waited: Duration) {
        let label = self.routes.label(route);
        let queued = self.queued.with_label_values(&[label.as_str()]);
        queued.observe(waited.as_secs_f64());
    }

    /// Counts a decision of the cascade.
    pub fn step(&self, model: &id::Version, dropped: bool) {
        let result = if dropped { "dropped" } else { "kept" };
        let labels = [model.as_str(), result];
        self.cascade.with_label_values(&labels).inc();
    }

    fn depths(&self, scheduler: &Scheduler) {
        for (name, pool) in scheduler.pools() {
            for (which, count) in pool.depth().figures() {
                self.pool(&name, which, figure(count));
            }
        }
    }

    fn pool(&self, name: &id::Pool, figure: &str, value: f64) {
        self.pools
            .with_label_values(&[name.as_str(), figure])
            .set(value);
    }

    fn follower<F: Fold, L: Log>(&self, topic: &str, follower: &Follower<F, L>) {
        self.age(topic, follower.age());
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
                .set(figure(count));
        }
    }

    fn age(&self, topic: &str, age: Option<Duration>) {
        // A view that was never read has no age; an absent series says so.
        if let Some(age) = age {
            self.ages.with_label_values(&[topic]).set(age.as_secs_f64());
        }
    }
}

/// Serves the metrics.
#[derive(Debug)]
pub struct Page<P, L>(pub Node<P, L>);

impl<P: Clone, L: Clone> Clone for Page<P, L> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<P: HeaderCodec + Codec, L: Log> Page<P, L> {
    /// Sets the figures that are read when asked for.
    fn gauges(&self) {
        let node = &self.0;
        let metrics = &node.metrics;
        metrics.depths(&node.scheduler);
        metrics.follower("operators", &node.operators);
        metrics.follower("endpoints", &node.directory);
        for count in node.calls.counts() {
            let labels = [count.topic.as_str(), count.reason.as_str()];
            let gauge = metrics.calls.with_label_values(&labels);
            gauge.set(figure(count.calls));
        }
        for (pool, left) in node.retry_budgets.left(node.now()) {
            metrics.pool(&pool, "repeats_left", left);
        }
        for (pool, sum) in node.rollouts(|rollouts| rollouts.target_counts()) {
            let served = sum.attempts.saturating_sub(sum.failed);
            let outcomes = [("served", served), ("failed", sum.failed)];
            for (outcome, count) in outcomes {
                let labels = [pool.as_str(), outcome];
                let gauge = metrics.rollouts.with_label_values(&labels);
                gauge.set(f64::from(count));
            }
        }
        metrics.follower("poison", &node.blocklist);
        let (suspect, barred) = node.poison.counts();
        for (state, count) in [("suspect", suspect), ("barred", barred)] {
            let count = u64::try_from(count).unwrap_or(u64::MAX);
            let gauge = metrics.poison.with_label_values(&[state]);
            gauge.set(figure(count));
        }
        let left_out = pimento_logs::left_out();
        let reasons = [("budget", left_out.budget), ("unread", left_out.unread)];
        for (reason, count) in reasons {
            let gauge = metrics.log_lines.with_label_values(&[reason]);
            gauge.set(figure(count));
        }
    }
}

impl<P: HeaderCodec + Codec, L: Log> Serve for Page<P, L> {
    async fn serve(&self, request: Request<Incoming>) -> Response<Reply> {
        if request.uri().path() != PATH {
            let mut response = Response::new(Reply::whole("not found\n"));
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
        self.gauges();
        let mut response = Response::new(Reply::whole(pimento_metrics::text(
            &self.0.metrics.registry,
        )));
        let kind = HeaderValue::from_static(pimento_metrics::TYPE);
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }
}
