//! The metrics of roll-outs.

use pimento_metrics::gauge_vec;
use prometheus::GaugeVec;
use prometheus::Registry;

use crate::rollouts::Rollouts;

/// What is known of each service's last roll-out.
#[derive(Debug)]
pub(super) struct Gauges {
    evidence: GaugeVec,
    sent: GaugeVec,
    bad: GaugeVec,
    reasons: GaugeVec,
    session_changes: GaugeVec,
}

impl Gauges {
    pub fn new(registry: &Registry) -> Self {
        let gauges = |name, what, labels: [&str; 2]| gauge_vec(registry, name, what, &labels);
        Self {
            evidence: gauges(
                "pimento_rollout_evidence",
                "Answers of the new version in a roll-out as this VM knows them, by pool and outcome",
                ["pool", "outcome"],
            ),
            sent: gauges(
                "pimento_rollout_sent",
                "Requests that this VM sent since the last roll-out's order, by pool, to the new version and to all",
                ["pool", "version"],
            ),
            bad: gauges(
                "pimento_rollout_bad",
                "1 if the new version of the last roll-out was found to be bad, by pool, in time or once in place",
                ["pool", "when"],
            ),
            reasons: gauges(
                "pimento_rollout_reasons",
                "Requests that this VM sent since the last roll-out's order, by pool and the reason for their version",
                ["pool", "reason"],
            ),
            session_changes: gauges(
                "pimento_rollout_session_changes",
                "Sessions that changed their version at this VM since the last roll-out's order, by pool, to new or old",
                ["pool", "to"],
            ),
        }
    }

    /// Sets all values.
    pub fn update(&self, rollouts: &Rollouts) {
        for (pool, sum) in rollouts.target_counts() {
            let served = sum.attempts.saturating_sub(sum.failed);
            set(&self.evidence, [pool.as_str(), "served"], served);
            set(&self.evidence, [pool.as_str(), "failed"], sum.failed);
        }
        self.bad.reset();
        for (pool, in_place) in rollouts.bad_versions() {
            let when = if in_place { "in_place" } else { "in_time" };
            set(&self.bad, [pool.as_str(), when], 1);
        }
        for (pool, sent) in rollouts.sent_counts() {
            set(&self.sent, [pool.as_str(), "new"], sent.new);
            set(&self.sent, [pool.as_str(), "all"], sent.all);
        }
        for (pool, reason, count) in rollouts.reason_counts() {
            set(&self.reasons, [pool.as_str(), reason.name()], count);
        }
        for (pool, changes) in rollouts.session_changes() {
            set(
                &self.session_changes,
                [pool.as_str(), "new"],
                changes.to_new,
            );
            set(
                &self.session_changes,
                [pool.as_str(), "old"],
                changes.to_old,
            );
        }
    }
}

fn set(gauge: &GaugeVec, labels: [&str; 2], value: u32) {
    gauge.with_label_values(&labels).set(f64::from(value));
}
