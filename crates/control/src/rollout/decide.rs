//! Decides on the next step of a roll-out, without a clock or I/O.

use std::time::Duration;

use pimento_contract::Rollout;
use pimento_contract::State;
use pimento_contract::Subject;
use pimento_contract::Value;
use pimento_contract::rollout::Status;
use pimento_contract::version;
use pimento_policy::rollout::Cause;
use pimento_policy::rollout::Counts;
use pimento_policy::rollout::Evidence;
use pimento_policy::rollout::Verdict;
use pimento_policy::rollout::evaluate;
use pimento_units::Revision;
use pimento_units::id;
use pimento_wire::operators;

/// A step of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Moves to the next stage, or to the end after the last one.
    Advance,
    /// Withdraws the version and halts its roll-out, because the evidence is against the version.
    Withdraw(Cause),
    /// Halts the roll-out, because an operator or another instance withdrew the version.
    Halt,
}

/// A new value of one subject, with its base revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The subject.
    pub subject: Subject,
    /// Revision that the decision is based on.
    pub base: Revision,
    /// The new value.
    pub value: Value,
}

/// Decides on one roll-out. Returns `None` if it is not running or there is nothing to do yet.
#[must_use]
pub fn decide(
    state: &State,
    rollout: &Rollout,
    nodes: &[operators::State],
    time_in_stage: Duration,
) -> Option<Step> {
    if rollout.status != Status::Running {
        return None;
    }
    let serving = |id: &id::Version| {
        let version = state.version(id);
        version.is_some_and(|version| version.status == version::Status::Serving)
    };
    if !serving(&rollout.to) {
        return Some(Step::Halt);
    }
    let revision = state.revision(&Subject::Rollout(rollout.to.clone()));
    let new = evidence(nodes, &rollout.to, revision);
    let old = evidence(nodes, &rollout.from, revision);
    log::debug!(
        "rollout: {} in stage {} has {} of {} samples.",
        rollout.to,
        rollout.stage,
        new.ratings(),
        rollout.gate.samples
    );
    match evaluate(&new, &old, &rollout.gate, time_in_stage) {
        Verdict::Wait => None,
        Verdict::Advance => Some(Step::Advance),
        Verdict::Withdraw(cause) => Some(Step::Withdraw(cause)),
    }
}

/// Sums up the nodes' evidence on a version in the current stage. A node that has not read the
/// stage's revision yet still counts the previous stage, so it is left out.
fn evidence(nodes: &[operators::State], version: &id::Version, revision: Revision) -> Evidence {
    let mut sum = Evidence::default();
    let up_to_date = nodes.iter().filter(|node| node.offset.0 >= revision.0);
    let reports =
        up_to_date.flat_map(|node| node.evidence.iter().filter(|e| e.version == *version));
    for evidence in reports {
        sum.merge(&Evidence::from(Counts {
            rated: evidence.rated,
            passed: evidence.passed,
            attempts: evidence.attempts,
            failed: evidence.failed,
            // This is a 95th percentile. `evaluate` averages those of the VMs. An entry VM with too
            // few samples for a percentile reports 0.
            mean_time: (evidence.latency_ms > 0).then(|| f64::from(evidence.latency_ms)),
        }));
    }
    sum
}

/// The changes that apply a step.
#[must_use]
pub fn proposals(state: &State, rollout: &Rollout, step: Step) -> Vec<Proposal> {
    match step {
        Step::Advance => vec![propose(state, Value::Rollout(advanced(rollout)))],
        Step::Halt => vec![propose(state, Value::Rollout(halted(rollout)))],
        Step::Withdraw(_) => {
            let version = state.version(&rollout.to).cloned();
            let withdrawn = version.map(|version| {
                Value::Version(pimento_contract::Version {
                    status: version::Status::Withdrawn,
                    ..version
                })
            });
            let halted = Value::Rollout(halted(rollout));
            let values = withdrawn.into_iter().chain([halted]);
            values.map(|value| propose(state, value)).collect()
        }
    }
}

fn propose(state: &State, value: Value) -> Proposal {
    let subject = value.subject();
    Proposal {
        base: state.revision(&subject),
        subject,
        value,
    }
}

fn advanced(rollout: &Rollout) -> Rollout {
    let mut next = rollout.clone();
    if next.stage + 1 < next.stages.len() {
        next.stage += 1;
    } else {
        next.status = Status::Done;
    }
    next
}

fn halted(rollout: &Rollout) -> Rollout {
    Rollout {
        status: Status::Halted,
        ..rollout.clone()
    }
}
