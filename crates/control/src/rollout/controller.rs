//! Gathers evidence from the entry VMs and proposes the next step of each roll-out.
//!
//! No leader is needed: a step is a change with a base revision, and the first in the log wins. An
//! instance that dies between two steps leaves the roll-out at its stage, where any other takes it
//! up, since all that matters stands in the log and with the entry VMs. The turn that one instance
//! has at a time only saves the others' work; two that both think it theirs do no harm.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use futures::future::join_all;
use pimento_contract::Change;
use pimento_contract::Rollout;
use pimento_contract::State;
use pimento_contract::Subject;
use pimento_contract::change::Entry;
use pimento_coordination::log;
use pimento_coordination::log::Log;
use pimento_coordination::operators::Operators;
use pimento_ledger::Stream;
use pimento_units::Revision;
use pimento_units::Wall;
use pimento_units::id;
use pimento_wire::operators;
use tokio::sync::watch;
use tokio::time::Instant;
use uuid::Uuid;

use super::decide::Proposal;
use super::decide::Step;
use super::decide::decide;
use super::decide::proposals;
use crate::controller::Controller;
use crate::controller::Pass;
use crate::leases::Turn;

/// What the controller talks to.
#[derive(Debug)]
pub struct Parts<L, O, T> {
    /// The log.
    pub log: L,
    /// The entry VMs.
    pub entries: Vec<O>,
    /// Whose turn it is.
    pub turn: T,
}

/// The controller of roll-outs.
#[derive(Debug)]
pub struct Rollouts<L, O, T> {
    node: id::Node,
    parts: Parts<L, O, T>,
    state: watch::Receiver<Arc<State>>,
    /// When this instance first saw each running roll-out's revision, sorted by version. A stage's
    /// dwell begins anew with each instance, which errs on the slow side.
    seen: Vec<(id::Version, Revision, Instant)>,
}

impl<L: Log, O: Operators, T: Turn> Rollouts<L, O, T> {
    /// A controller that proposes as `node`.
    pub const fn new(
        node: id::Node,
        parts: Parts<L, O, T>,
        state: watch::Receiver<Arc<State>>,
    ) -> Self {
        Self {
            node,
            parts,
            state,
            seen: Vec::new(),
        }
    }

    async fn gather(&self) -> Vec<operators::State> {
        let answers = join_all(self.parts.entries.iter().map(Operators::state)).await;
        let mut states = Vec::with_capacity(answers.len());
        for answer in answers {
            match answer {
                Ok(state) => states.push(state),
                Err(error) => ::log::debug!("rollout: no evidence from an entry VM: {error}"),
            }
        }
        states
    }

    fn note(&mut self, state: &State) {
        let running: Vec<(id::Version, Revision)> = state
            .rollouts()
            .map(|rollout| (rollout.to.clone(), revision(state, rollout)))
            .collect();
        self.seen.retain(|(to, revision, _)| {
            running
                .binary_search_by(|(other, _)| other.cmp(to))
                .is_ok_and(|at| running[at].1 == *revision)
        });
        for (to, revision) in running {
            if let Err(at) = self.seen.binary_search_by(|(other, _, _)| other.cmp(&to)) {
                self.seen.insert(at, (to, revision, Instant::now()));
            }
        }
    }

    fn in_stage(&self, to: &id::Version) -> Duration {
        let place = self.seen.binary_search_by(|(other, _, _)| other.cmp(to));
        place.map_or(Duration::ZERO, |at| self.seen[at].2.elapsed())
    }

    async fn propose(&self, proposals: Vec<Proposal>) -> Result<(), log::Error> {
        let records = proposals
            .into_iter()
            .filter_map(|proposal| self.record(proposal))
            .collect();
        self.parts
            .log
            .append(Stream::Configuration, records)
            .await?;
        Ok(())
    }

    fn record(&self, proposal: Proposal) -> Option<String> {
        let change = Change {
            id: id::Record(Uuid::now_v7()),
            subject: proposal.subject,
            base: proposal.base,
            value: Some(proposal.value),
            by: self.node.as_str().into(),
            at: now(),
        };
        serde_json::to_string(&Entry::Change(change)).ok()
    }
}

impl<L: Log, O: Operators, T: Turn> Controller for Rollouts<L, O, T> {
    type Error = log::Error;

    const NAME: &'static str = "rollout";

    async fn pass(&mut self) -> Result<Pass, log::Error> {
        let state = Arc::clone(&self.state.borrow());
        self.note(&state);
        let running =
            |rollout: &&Rollout| rollout.status == pimento_contract::rollout::Status::Running;
        if !self.parts.turn.mine() || state.rollouts().find(running).is_none() {
            return Ok(Pass::Idle);
        }
        let nodes = self.gather().await;
        let mut pass = Pass::Idle;
        for rollout in state.rollouts().filter(running) {
            let in_stage = self.in_stage(&rollout.to);
            let Some(step) = decide(&state, rollout, &nodes, in_stage) else {
                continue;
            };
            // Someone else may have been first while this instance was asking.
            let current = self.state.borrow().revision(&subject(rollout));
            if current != revision(&state, rollout) {
                continue;
            }
            report(rollout, step);
            self.propose(proposals(&state, rollout, step)).await?;
            pass = Pass::Acted;
        }
        Ok(pass)
    }
}

fn subject(rollout: &Rollout) -> Subject {
    Subject::Rollout(rollout.to.clone())
}

fn revision(state: &State, rollout: &Rollout) -> Revision {
    state.revision(&subject(rollout))
}

fn report(rollout: &Rollout, step: Step) {
    let (to, stage) = (&rollout.to, rollout.stage);
    match step {
        Step::Advance => ::log::info!("rollout: {to} passes stage {stage}, next one proposed"),
        Step::Withdraw(cause) => {
            ::log::warn!("rollout: {to} withdrawn in stage {stage}: {cause:?}");
        }
        Step::Halt => ::log::warn!("rollout: {to} is withdrawn, halt of its roll-out proposed"),
    }
}

fn now() -> Wall {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Wall::from_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
