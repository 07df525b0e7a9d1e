//! Series of the metrics that need more than a line to declare.

use pimento_metrics::counter;
use pimento_metrics::gauge_vec;
use prometheus::GaugeVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Registry;

pub(super) fn poison(registry: &Registry) -> GaugeVec {
    let what = "Requests under which endpoints ended: suspects, and those that are sent no more";
    gauge_vec(registry, "pimento_poison_requests", what, &["state"])
}

pub(super) fn connects(registry: &Registry) -> GaugeVec {
    let what = "Connects to endpoints since the start, by how they ended";
    gauge_vec(registry, "pimento_endpoint_connects", what, &["result"])
}

pub(super) fn links(registry: &Registry) -> GaugeVec {
    let what = "Whether this VM's own links to endpoints are suspect or down, endpoints reached through other VMs, \
                and VMs that reach endpoints";
    gauge_vec(registry, "pimento_links", what, &["figure"])
}

pub(super) fn own_link(registry: &Registry) -> GaugeVec {
    let what = "Load of this VM's own link: shares of its bandwidth that are received and sent, and the time that \
                written bytes wait for it";
    gauge_vec(registry, "pimento_own_link", what, &["figure"])
}

pub(super) fn held_bytes(registry: &Registry) -> GaugeVec {
    let what = "Bytes of memory that are held for callers, by what holds them";
    gauge_vec(registry, "pimento_held_bytes", what, &["by"])
}

pub(super) fn dropped(registry: &Registry) -> IntCounterVec {
    counter(
        registry,
        "pimento_dropped_total",
        "Requests whose handling ended before a response, by who ended it and what they waited for",
        &["by", "step"],
    )
}

pub(super) fn urgent_reports(registry: &Registry) -> IntCounter {
    let reports = counter(
        registry,
        "pimento_urgent_reports_total",
        "Reports to the VMs of the group that were sent at once for a prompt with a long prefill",
        &[],
    );
    reports.with_label_values::<&str>(&[])
}

pub(super) fn estimates(registry: &Registry) -> IntCounterVec {
    counter(
        registry,
        "pimento_cascade_estimates_total",
        "First tokens of larger models, by whether they arrived within half of the estimated time, within it, \
         within twice that or later",
        &["arrived"],
    )
}

pub(super) fn cascade(registry: &Registry) -> IntCounterVec {
    counter(
        registry,
        "pimento_cascade_total",
        "First answers with a confidence, by model and whether they were dropped for a larger one",
        &["model", "result"],
    )
}
