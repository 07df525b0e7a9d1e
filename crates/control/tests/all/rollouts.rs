//! Roll-outs by several concurrent instances and operators over one log.

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
use pimento_control::leases::RolloutLease;
use pimento_control::rollout::Dependencies;
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

/// An entry VM whose report the test sets.
#[derive(Debug, Clone)]
struct EntryVm(watch::Receiver<Option<Node>>);

impl Operators for EntryVm {
    async fn state(&self) -> Result<Node, operators::Error> {
        let state = self.0.borrow().clone();
        let reason = "disconnected by the test".into();
        state.ok_or(operators::Error { reason })
    }
}

/// Every instance believes that it holds the lease, which is the worst case for the log.
#[derive(Debug)]
struct AlwaysHeld;

impl RolloutLease for AlwaysHeld {
    fn is_held(&self) -> bool {
        true
    }
}

/// A log, the state that all readers have, one entry VM, and controllers.
struct Fixture {
    log: Memory,
    state: State,
    readers: watch::Sender<Arc<State>>,
    node: watch::Sender<Option<Node>>,
}

impl Fixture {
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
        // The log's offsets continue where the example's state ends.
        for _ in 0..state.offset.0 {
            log.push("{}".into());
        }
        let (readers, _) = watch::channel(Arc::new(state.clone()));
        let (node, _) = watch::channel(None);
        Self {
            log,
            state,
            readers,
            node,
        }
    }

    fn controller(&self, node: &str) -> Rollouts<Memory, EntryVm, AlwaysHeld> {
        let dependencies = Dependencies {
            log: self.log.clone(),
            entry_vms: vec![EntryVm(self.node.subscribe())],
            lease: AlwaysHeld,
        };
        Rollouts::new(name(node), dependencies, self.readers.subscribe())
    }

    /// Sets the entry VM's report of both versions, as of `offset`.
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

    /// Delivers all records of the log to all readers.
    async fn deliver_log(&mut self) {
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
        self.readers.send_replace(Arc::new(self.state.clone()));
    }

    fn rollout(&self) -> &Rollout {
        let mut rollouts = self.state.rollouts();
        rollouts.next().expect("there is a roll-out")
    }

    fn version_status(&self) -> version::Status {
        let version = self.state.version(&name(TO));
        version.expect("the version exists").status
    }

    /// Appends an operator's change of the roll-out, based on the state that all readers have.
    async fn operator_change(&self, edit: impl FnOnce(&mut Rollout)) {
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
        appended.expect("the log accepts the record");
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

/// Each row: the evidence, then the expected stage, status of the roll-out and status of the
/// version.
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
        let mut fixture = Fixture::new();
        fixture.report(fixture.state.offset, new, good(FROM));
        let mut controller = fixture.controller("entry-1");
        controller.pass().await.expect("the log accepts the record");
        fixture.deliver_log().await;
        assert_eq!(fixture.rollout().stage, stage, "{case}");
        assert_eq!(fixture.rollout().status, status, "{case}");
        assert_eq!(fixture.version_status(), version, "{case}");
    }
}

/// An entry VM has too few samples for the old version's latency and reports 0. The new version
/// must not count as slow in comparison.
#[tokio::test(start_paused = true)]
async fn an_unknown_latency_is_no_evidence() {
    let mut fixture = Fixture::new();
    let unknown = Evidence {
        latency_ms: 0,
        ..good(FROM)
    };
    fixture.report(fixture.state.offset, good(TO), unknown);
    let mut controller = fixture.controller("entry-1");
    controller.pass().await.expect("the log accepts the record");
    fixture.deliver_log().await;
    assert_eq!(fixture.version_status(), version::Status::Serving);
    assert_eq!(fixture.rollout().stage, 1);
}

/// Three instances see the same good evidence at the same time. Each proposes the next stage on the
/// same revision; the first one in the log wins and the roll-out advances by one stage only.
#[tokio::test(start_paused = true)]
async fn concurrent_instances_advance_one_stage() {
    let mut fixture = Fixture::new();
    let mut controllers = ["entry-1", "entry-2", "entry-3"].map(|node| fixture.controller(node));
    for stage in [1, 2] {
        fixture.report(fixture.state.offset, good(TO), good(FROM));
        for controller in &mut controllers {
            let pass = controller.pass().await.expect("the log accepts the record");
            assert_eq!(pass, Pass::Acted);
        }
        fixture.deliver_log().await;
        assert_eq!(fixture.rollout().stage, stage);
    }
    fixture.report(fixture.state.offset, good(TO), good(FROM));
    for controller in &mut controllers {
        controller.pass().await.expect("the log accepts the record");
    }
    fixture.deliver_log().await;
    assert_eq!(fixture.rollout().status, Status::Done);
}

/// A stage has just started and the entry VM has not read it yet, so its good evidence is from the
/// previous stage. If that counted again, the roll-out would pass all stages within seconds.
#[tokio::test(start_paused = true)]
async fn evidence_of_an_earlier_stage_does_not_count() {
    let mut fixture = Fixture::new();
    let before = fixture.state.offset;
    fixture.report(before, good(TO), good(FROM));
    let mut controller = fixture.controller("entry-1");
    controller.pass().await.expect("the log accepts the record");
    fixture.deliver_log().await;
    assert_eq!(controller.pass().await, Ok(Pass::Idle));
    fixture.deliver_log().await;
    assert_eq!(fixture.rollout().stage, 1);
}

/// The instance that advanced the roll-out dies, with or without the log's response. The roll-out
/// stays at its stage until another instance continues it.
#[tokio::test(start_paused = true)]
async fn another_instance_continues_after_a_crash() {
    for fault in [
        Fault::None,
        Fault::LoseAnswer,
        Fault::LoseRequest,
        Fault::Refuse,
    ] {
        let mut fixture = Fixture::new();
        fixture.report(fixture.state.offset, good(TO), good(FROM));
        fixture.log.inject(&[fault]);
        let mut first = fixture.controller("entry-1");
        let result = first.pass().await;
        assert_eq!(result.is_ok(), fault == Fault::None, "{fault:?}");
        drop(first);
        fixture.deliver_log().await;
        let mut second = fixture.controller("entry-2");
        while fixture.rollout().status == Status::Running {
            fixture.report(fixture.state.offset, good(TO), good(FROM));
            let pass = second.pass().await.expect("the log accepts the record");
            assert_eq!(pass, Pass::Acted, "{fault:?}");
            fixture.deliver_log().await;
        }
        assert_eq!(fixture.rollout().status, Status::Done, "{fault:?}");
    }
}

/// An operator and a controller halt the roll-out at the same time. Whichever change is first in
/// the log, the roll-out stays halted and the version withdrawn.
#[tokio::test(start_paused = true)]
async fn halted_by_evidence_and_by_an_operator_at_once() {
    for operator_first in [true, false] {
        let mut fixture = Fixture::new();
        fixture.report(fixture.state.offset, bad(TO), good(FROM));
        let mut controller = fixture.controller("entry-1");
        let halt = |rollout: &mut Rollout| rollout.status = Status::Halted;
        if operator_first {
            fixture.operator_change(halt).await;
        }
        controller.pass().await.expect("the log accepts the record");
        if !operator_first {
            fixture.operator_change(halt).await;
        }
        fixture.deliver_log().await;
        assert_eq!(fixture.rollout().status, Status::Halted);
        assert_eq!(fixture.version_status(), version::Status::Withdrawn);
        assert_eq!(controller.pass().await, Ok(Pass::Idle));
    }
}

/// An operator halts while an instance that has not read the halt proposes the next stage. The halt
/// is first in the log, so the proposal is based on an old revision and must not undo it.
#[tokio::test(start_paused = true)]
async fn an_advance_does_not_undo_a_halt() {
    let mut fixture = Fixture::new();
    fixture.report(fixture.state.offset, good(TO), good(FROM));
    let mut controller = fixture.controller("entry-1");
    fixture
        .operator_change(|rollout| rollout.status = Status::Halted)
        .await;
    assert_eq!(controller.pass().await, Ok(Pass::Acted));
    fixture.deliver_log().await;
    assert_eq!(fixture.rollout().status, Status::Halted);
    assert_eq!(fixture.rollout().stage, 0);
}

/// An operator withdraws the version itself; a running roll-out would keep sending sessions to it.
#[tokio::test(start_paused = true)]
async fn a_withdrawn_versions_rollout_is_halted() {
    let mut fixture = Fixture::new();
    withdraw(&mut fixture.state, TO);
    fixture.log.push("{}".into());
    fixture.deliver_log().await;
    let mut controller = fixture.controller("entry-1");
    controller.pass().await.expect("the log accepts the record");
    fixture.deliver_log().await;
    assert_eq!(fixture.rollout().status, Status::Halted);
}

/// No entry VM can be reached, so there is no evidence and the roll-out does not advance.
#[tokio::test(start_paused = true)]
async fn without_evidence_a_rollout_does_not_advance() {
    let mut fixture = Fixture::new();
    let mut controller = fixture.controller("entry-1");
    assert_eq!(controller.pass().await, Ok(Pass::Idle));
    fixture.deliver_log().await;
    assert_eq!(fixture.rollout().stage, 0);
}
