//! Collects evidence from the entry VMs and proposes the next step of each roll-out.
//!
//! No leader is needed: a step is a change with a base revision, and the first one in the log wins.
//! If an instance dies between two steps, the roll-out stays at its stage and any other instance
//! continues it, since all state is in the log and on the entry VMs. The lease on roll-outs only
//! saves duplicate work; two instances that both believe they hold it do no harm.

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
use crate::leases::RolloutLease;

/// What the controller uses.
#[derive(Debug)]
pub struct Dependencies<PlatformLog, EntryVm, Lease> {
    /// The log.
    pub log: PlatformLog,
    /// The entry VMs.
    pub entry_vms: Vec<EntryVm>,
    /// The lease on roll-outs.
    pub lease: Lease,
}

/// The controller of roll-outs.
#[derive(Debug)]
pub struct Rollouts<PlatformLog, EntryVm, Lease> {
    node: id::Node,
    dependencies: Dependencies<PlatformLog, EntryVm, Lease>,
    state: watch::Receiver<Arc<State>>,
    /// When this instance first saw each roll-out's revision, sorted by version. A stage's dwell
    /// time starts again with each instance, which can only slow a roll-out down.
    first_seen: Vec<(id::Version, Revision, Instant)>,
}

impl<PlatformLog: Log, EntryVm: Operators, Lease: RolloutLease>
    Rollouts<PlatformLog, EntryVm, Lease>
{
    /// A controller that proposes as `node`.
    pub const fn new(
        node: id::Node,
        dependencies: Dependencies<PlatformLog, EntryVm, Lease>,
        state: watch::Receiver<Arc<State>>,
    ) -> Self {
        Self {
            node,
            dependencies,
            state,
            first_seen: Vec::new(),
        }
    }

    async fn collect_evidence(&self) -> Vec<operators::State> {
        let answers = join_all(self.dependencies.entry_vms.iter().map(Operators::state)).await;
        let mut states = Vec::with_capacity(answers.len());
        for answer in answers {
            match answer {
                Ok(state) => states.push(state),
                Err(error) => ::log::debug!("rollout: No evidence from an entry VM: {error}."),
            }
        }
        states
    }

    fn track_revisions(&mut self, state: &State) {
        let current: Vec<(id::Version, Revision)> = state
            .rollouts()
            .map(|rollout| (rollout.to.clone(), revision(state, rollout)))
            .collect();
        self.first_seen.retain(|(to, revision, _)| {
            current
                .binary_search_by(|(other, _)| other.cmp(to))
                .is_ok_and(|at| current[at].1 == *revision)
        });
        for (to, revision) in current {
            if let Err(at) = self
                .first_seen
                .binary_search_by(|(other, _, _)| other.cmp(&to))
            {
                self.first_seen.insert(at, (to, revision, Instant::now()));
            }
        }
    }

    fn time_in_stage(&self, to: &id::Version) -> Duration {
        let position = self
            .first_seen
            .binary_search_by(|(other, _, _)| other.cmp(to));
        position.map_or(Duration::ZERO, |at| self.first_seen[at].2.elapsed())
    }

    async fn propose(&self, proposals: Vec<Proposal>) -> Result<(), log::Error> {
        let records = proposals
            .into_iter()
            .filter_map(|proposal| self.encode(proposal))
            .collect();
        self.dependencies
            .log
            .append(Stream::Configuration, records)
            .await?;
        Ok(())
    }

    fn encode(&self, proposal: Proposal) -> Option<String> {
        let change = Change {
            id: id::Record(Uuid::now_v7()),
            subject: proposal.subject,
            base: proposal.base,
            value: Some(proposal.value),
            by: self.node.as_str().into(),
            at: wall_now(),
        };
        serde_json::to_string(&Entry::Change(change)).ok()
    }
}

impl<PlatformLog: Log, EntryVm: Operators, Lease: RolloutLease> Controller
    for Rollouts<PlatformLog, EntryVm, Lease>
{
    type Error = log::Error;

    const NAME: &'static str = "rollout";

    async fn pass(&mut self) -> Result<Pass, log::Error> {
        let state = Arc::clone(&self.state.borrow());
        self.track_revisions(&state);
        let running =
            |rollout: &&Rollout| rollout.status == pimento_contract::rollout::Status::Running;
        if !self.dependencies.lease.is_held() || state.rollouts().find(running).is_none() {
            return Ok(Pass::Idle);
        }
        let nodes = self.collect_evidence().await;
        let mut pass = Pass::Idle;
        for rollout in state.rollouts().filter(running) {
            let time_in_stage = self.time_in_stage(&rollout.to);
            let Some(step) = decide(&state, rollout, &nodes, time_in_stage) else {
                continue;
            };
            // Another instance or an operator may have changed it while the evidence was collected.
            let current = self.state.borrow().revision(&subject(rollout));
            if current != revision(&state, rollout) {
                continue;
            }
            log_step(rollout, step);
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

fn log_step(rollout: &Rollout, step: Step) {
    let (to, stage) = (&rollout.to, rollout.stage);
    match step {
        Step::Advance => ::log::info!("rollout: {to} passed stage {stage}; proposing the next."),
        Step::Withdraw(cause) => {
            ::log::warn!("rollout: Proposing to withdraw {to} in stage {stage}: {cause:?}.");
        }
        Step::Halt => ::log::warn!("rollout: {to} is withdrawn; proposing to halt its roll-out."),
    }
}

fn wall_now() -> Wall {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Wall::from_millis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
