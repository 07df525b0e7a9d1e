//! Roll-outs by several instances at once over one log, with operators among them.

use std::sync::Arc;
use std::time::Duration;

use pimento_contract::Rollout;
use pimento_contract::State;
use pimento_contract::Subject;
use pimento_contract::Value;
use pimento_contract::change::Entry;
use pimento_contract::rollout::Gate;
use pimento_contract::rollout::Status;
use pimento_contract::version;
use pimento_control::controller::Controller;
use pimento_control::controller::Pass;
use pimento_control::leases::Turn;
use pimento_control::rollout::Parts;
use pimento_control::rollout::Rollouts;
use pimento_coordination::log::Log;
use pimento_coordination::operators;
use pimento_coordination::operators::Operators;
use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_units::Share;
use pimento_units::Span;
use pimento_units::Wall;
use pimento_units::id;
use pimento_wire::operators::State as Node;
use pimento_wire::peer::Evidence;
use tokio::sync::watch;
use uuid::Uuid;

use crate::fakes::example;
use crate::fakes::name;
use crate::fakes::put;
use crate::fakes::withdraw;
use crate::memory::Fault;
use crate::memory::Memory;

const TO: &str = "pimento-mini@2";
const FROM: &str = "pimento-mini@1";

/// An entry VM that reports what the test says.
#[derive(Debug, Clone)]
struct Entries(watch::Receiver<Option<Node>>);

impl Operators for Entries {
    async fn state(&self) -> Result<Node, operators::Error> {
        let state = self.0.borrow().clone();
        let reason = "cut off, as the test asked".into();
        state.ok_or(operators::Error { reason })
    }
}

/// Each instance thinks it its turn: the worst case for the log.
#[derive(Debug)]
struct Always;

impl Turn for Always {
    fn mine(&self) -> bool {
        true
    }
}

/// A log, the state that all have read, one entry VM, and instances of the controller.
struct Bench {
    log: Memory,
    state: State,
    spread: watch::Sender<Arc<State>>,
    node: watch::Sender<Option<Node>>,
}

impl Bench {
    fn new() -> Self {
        let mut state = example();
        let rollout = Rollout {
            from: name(FROM),
            to: name(TO),
            stages: [100_000, 500_000, 1_000_000].map(Share::from_parts).into(),
            stage: 0,
            status: Status::Running,
            gate: Gate {
                samples: 50,
                quality: Share::from_parts(30_000),
                errors: Share::from_parts(20_000),
                latency: 150,
                dwell: Span::ZERO,
            },
        };
        put(&mut state, Value::Rollout(rollout));
        let log = Memory::default();
        // The log's offsets go on where the example's state ends.
        for _ in 0..state.offset.0 {
            log.push("{}".into());
        }
        let (spread, _) = watch::channel(Arc::new(state.clone()));
        let (node, _) = watch::channel(None);
        Self {
            log,
            state,
            spread,
            node,
        }
    }

    fn controller(&self, node: &str) -> Rollouts<Memory, Entries, Always> {
        let parts = Parts {
            log: self.log.clone(),
            entries: vec![Entries(self.node.subscribe())],
            turn: Always,
        };
        Rollouts::new(name(node), parts, self.spread.subscribe())
    }

    /// Has the entry VM report counts of both versions, as of `offset`.
    fn report(&self, offset: Offset, new: Evidence, old: Evidence) {
        self.node.send_replace(Some(Node {
            node: name("entry-1"),
            zone: name("kig-remera"),
            ready: true,
            offset,
            age_ms: 0,
            evidence: vec![old, new],
        }));
    }

    /// Has everybody read what is on the log.
    async fn spread(&mut self) {
        let from = self.state.offset;
        let batch = self
            .log
            .read(Stream::Configuration, from, 1_000, Duration::ZERO)
            .await
            .expect("the log can be read");
        for record in batch.records {
            if let Ok(Entry::Change(change)) = serde_json::from_str(&record.record) {
                self.state.apply(record.offset, &change);
            }
        }
        self.spread.send_replace(Arc::new(self.state.clone()));
    }

    fn rollout(&self) -> &Rollout {
        let mut rollouts = self.state.rollouts();
        rollouts.next().expect("there is a roll-out")
    }

    fn version(&self) -> version::Status {
        let version = self.state.version(&name(TO));
        version.expect("the version exists").status
    }

    /// An operator's change of the roll-out, on the state that all have read.
    async fn operate(&self, edit: impl FnOnce(&mut Rollout)) {
        let mut rollout = self.rollout().clone();
        edit(&mut rollout);
        let subject = Subject::Rollout(rollout.to.clone());
        let change = pimento_contract::Change {
            id: id::Record(Uuid::now_v7()),
            base: self.state.revision(&subject),
            subject,
            value: Some(Value::Rollout(rollout)),
            by: "ines".into(),
            at: Wall::from_millis(0),
        };
        let record = serde_json::to_string(&Entry::Change(change)).expect("plain JSON");
        let appended = self.log.append(Stream::Configuration, vec![record]).await;
        appended.expect("the log takes it");
    }
}

fn evidence(version: &str, rated: u32, passed: u32, attempts: u32, failed: u32) -> Evidence {
    Evidence {
        version: name(version),
        rated,
        passed,
        attempts,
        failed,
        quality: Share::ZERO,
        latency_ms: 400,
    }
}

fn good(version: &str) -> Evidence {
    evidence(version, 100, 86, 100, 0)
}

fn bad(version: &str) -> Evidence {
    evidence(version, 100, 30, 100, 0)
}

/// Evidence and what must come of it: stage, status of the roll-out, status of the version.
#[tokio::test(start_paused = true)]
async fn a_step_follows_from_the_evidence() {
    let few = |version: &str| evidence(version, 10, 9, 10, 0);
    let failing = evidence(TO, 100, 86, 100, 40);
    let slow = Evidence {
        latency_ms: 900,
        ..good(TO)
    };
    let (serving, withdrawn) = (version::Status::Serving, version::Status::Withdrawn);
    let table = [
        ("good", good(TO), 1, Status::Running, serving),
        ("too few", few(TO), 0, Status::Running, serving),
        ("poor answers", bad(TO), 0, Status::Halted, withdrawn),
        ("failed attempts", failing, 0, Status::Halted, withdrawn),
        ("slow", slow, 0, Status::Halted, withdrawn),
    ];
    for (case, new, stage, status, version) in table {
        let mut bench = Bench::new();
        bench.report(bench.state.offset, new, good(FROM));
        let mut controller = bench.controller("entry-1");
        controller.pass().await.expect("the log takes it");
        bench.spread().await;
        assert_eq!(bench.rollout().stage, stage, "{case}");
        assert_eq!(bench.rollout().status, status, "{case}");
        assert_eq!(bench.version(), version, "{case}");
    }
}

/// An entry VM has too few samples to tell the old version's latency and says 0. The new version must
/// not seem slow beside that.
#[tokio::test(start_paused = true)]
async fn an_unknown_latency_is_no_evidence() {
    let mut bench = Bench::new();
    let unknown = Evidence {
        latency_ms: 0,
        ..good(FROM)
    };
    bench.report(bench.state.offset, good(TO), unknown);
    let mut controller = bench.controller("entry-1");
    controller.pass().await.expect("the log takes it");
    bench.spread().await;
    assert_eq!(bench.version(), version::Status::Serving);
    assert_eq!(bench.rollout().stage, 1);
}

/// Three instances see the same good evidence at once. Each proposes the next stage on the same
/// revision; the first in the log wins and the roll-out moves by one stage only.
#[tokio::test(start_paused = true)]
async fn instances_at_once_move_one_stage() {
    let mut bench = Bench::new();
    let mut controllers = ["entry-1", "entry-2", "entry-3"].map(|node| bench.controller(node));
    for stage in [1, 2] {
        bench.report(bench.state.offset, good(TO), good(FROM));
        for controller in &mut controllers {
            let pass = controller.pass().await.expect("the log takes it");
            assert_eq!(pass, Pass::Acted);
        }
        bench.spread().await;
        assert_eq!(bench.rollout().stage, stage);
    }
    bench.report(bench.state.offset, good(TO), good(FROM));
    for controller in &mut controllers {
        controller.pass().await.expect("the log takes it");
    }
    bench.spread().await;
    assert_eq!(bench.rollout().status, Status::Done);
}

/// A stage was just begun and the entry VM has not read it yet: its good evidence is of the stage
/// before. Counted again, it would carry the roll-out through all stages in seconds.
#[tokio::test(start_paused = true)]
async fn evidence_of_an_earlier_stage_does_not_count() {
    let mut bench = Bench::new();
    let before = bench.state.offset;
    bench.report(before, good(TO), good(FROM));
    let mut controller = bench.controller("entry-1");
    controller.pass().await.expect("the log takes it");
    bench.spread().await;
    assert_eq!(controller.pass().await, Ok(Pass::Idle));
    bench.spread().await;
    assert_eq!(bench.rollout().stage, 1);
}

/// The instance that moved the roll-out dies, also with its answer lost. It stands at its stage
/// until another one goes on from there.
#[tokio::test(start_paused = true)]
async fn another_instance_goes_on_where_one_died() {
    for fault in [
        Fault::None,
        Fault::LoseAnswer,
        Fault::LoseRequest,
        Fault::Refuse,
    ] {
        let mut bench = Bench::new();
        bench.report(bench.state.offset, good(TO), good(FROM));
        bench.log.inject(&[fault]);
        let mut first = bench.controller("entry-1");
        let result = first.pass().await;
        assert_eq!(result.is_ok(), fault == Fault::None, "{fault:?}");
        drop(first);
        bench.spread().await;
        let mut second = bench.controller("entry-2");
        while bench.rollout().status == Status::Running {
            bench.report(bench.state.offset, good(TO), good(FROM));
            let pass = second.pass().await.expect("the log takes it");
            assert_eq!(pass, Pass::Acted, "{fault:?}");
            bench.spread().await;
        }
        assert_eq!(bench.rollout().status, Status::Done, "{fault:?}");
    }
}

/// An operator halts the roll-out in the same moment as the evidence does. Whoever is first in the
/// log, the roll-out ends halted and the version withdrawn, and stays so.
#[tokio::test(start_paused = true)]
async fn halted_by_evidence_and_by_an_operator_at_once() {
    for operator_first in [true, false] {
        let mut bench = Bench::new();
        bench.report(bench.state.offset, bad(TO), good(FROM));
        let mut controller = bench.controller("entry-1");
        let halt = |rollout: &mut Rollout| rollout.status = Status::Halted;
        if operator_first {
            bench.operate(halt).await;
        }
        controller.pass().await.expect("the log takes it");
        if !operator_first {
            bench.operate(halt).await;
        }
        bench.spread().await;
        assert_eq!(bench.rollout().status, Status::Halted);
        assert_eq!(bench.version(), version::Status::Withdrawn);
        assert_eq!(controller.pass().await, Ok(Pass::Idle));
    }
}

/// An operator halts while an instance that has not read it proposes the next stage. The halt is
/// first in the log, so that the proposal stands on an old revision and must not undo it.
#[tokio::test(start_paused = true)]
async fn an_advance_does_not_undo_a_halt() {
    let mut bench = Bench::new();
    bench.report(bench.state.offset, good(TO), good(FROM));
    let mut controller = bench.controller("entry-1");
    bench
        .operate(|rollout| rollout.status = Status::Halted)
        .await;
    assert_eq!(controller.pass().await, Ok(Pass::Acted));
    bench.spread().await;
    assert_eq!(bench.rollout().status, Status::Halted);
    assert_eq!(bench.rollout().stage, 0);
}

/// An operator withdraws the version itself; its roll-out would go on sending sessions to it.
#[tokio::test(start_paused = true)]
async fn a_withdrawn_versions_rollout_is_halted() {
    let mut bench = Bench::new();
    withdraw(&mut bench.state, TO);
    bench.log.push("{}".into());
    bench.spread().await;
    let mut controller = bench.controller("entry-1");
    controller.pass().await.expect("the log takes it");
    bench.spread().await;
    assert_eq!(bench.rollout().status, Status::Halted);
}

/// No entry VM can be reached: nothing is known, so nothing moves.
#[tokio::test(start_paused = true)]
async fn without_evidence_a_rollout_stands_still() {
    let mut bench = Bench::new();
    let mut controller = bench.controller("entry-1");
    assert_eq!(controller.pass().await, Ok(Pass::Idle));
    bench.spread().await;
    assert_eq!(bench.rollout().stage, 0);
}
