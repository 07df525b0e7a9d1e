//! Roll-outs and sessions: which session uses which version, and when the gate withdraws a version.

use std::time::Duration;

use pimento_contract::Change;
use pimento_contract::Rollout;
use pimento_contract::State;
use pimento_contract::Subject;
use pimento_contract::Value;
use pimento_contract::Version;
use pimento_contract::contract::Class;
use pimento_contract::rollout::Gate;
use pimento_contract::rollout::Status;
use pimento_contract::version;
use pimento_policy::rollout;
use pimento_policy::rollout::Cause;
use pimento_policy::rollout::Evidence;
use pimento_policy::rollout::Verdict;
use pimento_policy::session;
use pimento_policy::session::View;
use pimento_units::Moment;
use pimento_units::Money;
use pimento_units::Offset;
use pimento_units::Revision;
use pimento_units::Share;
use pimento_units::Span;
use pimento_units::Tokens;
use pimento_units::Wall;
use pimento_units::id;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::Config as Runner;
use proptest::test_runner::RngSeed;
use uuid::Uuid;

fn name(text: &str) -> id::Version {
    text.parse().expect("a name")
}

fn gate() -> Gate {
    Gate {
        samples: 50,
        quality: Share::try_from(0.03).expect("a share"),
        errors: Share::try_from(0.05).expect("a share"),
        latency: 150,
        dwell: Span::from_secs(60),
    }
}

fn rollout(from: &str, to: &str, weight: u32, status: Status) -> Rollout {
    Rollout {
        from: name(from),
        to: name(to),
        stages: vec![Share::from_parts(weight)],
        stage: 0,
        status,
        gate: gate(),
    }
}

fn class(versions: &[&str]) -> Class {
    Class {
        name: "stock".parse().expect("a name"),
        versions: versions.iter().map(|v| name(v)).collect(),
        quality: Share::try_from(0.9).expect("a share"),
        priority: 0,
        timeout: Span::from_secs(10),
        output: Tokens(500),
    }
}

fn put(state: &mut State, subject: Subject, value: Value) {
    let change = Change {
        id: id::Record(Uuid::from_u128(u128::from(state.offset.0) + 1)),
        subject,
        base: Revision(0),
        value: Some(value),
        by: "test".into(),
        at: Wall::default(),
    };
    state.apply(Offset(state.offset.0), &change);
}

fn state(versions: &[(&str, bool)], rollouts: &[Rollout]) -> State {
    let mut state = State::default();
    for (text, serving) in versions {
        let status = if *serving {
            version::Status::Serving
        } else {
            version::Status::Withdrawn
        };
        let value = Version {
            id: name(text),
            pool: "pimento-llm".parse().expect("a name"),
            price: version::Price {
                input: Money::ZERO,
                output: Money::ZERO,
            },
            quality: Share::ONE,
            status,
        };
        put(
            &mut state,
            Subject::Version(name(text)),
            Value::Version(value),
        );
    }
    for rollout in rollouts {
        let subject = Subject::Rollout(rollout.to.clone());
        put(&mut state, subject, Value::Rollout(rollout.clone()));
    }
    state
}

fn view(state: &State) -> View<'_> {
    View {
        state,
        age: Duration::ZERO,
        max_age: Duration::from_secs(30),
        quarantined: &[],
    }
}

fn session(number: u128) -> id::Session {
    id::Session(Uuid::from_u128(number))
}

fn used(session: id::Session, pins: &[id::Version], class: &Class, view: &View<'_>) -> Vec<String> {
    let pins = session::versions(session, pins, class, view);
    pins.into_iter()
        .map(|pin| pin.version.to_string())
        .collect()
}

proptest! {
    #![proptest_config(Runner { cases: 256, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Runner::default() })]

    /// A rising weight moves sessions to the new version and none back.
    #[test]
    fn weights_are_monotone(number in any::<u128>(), low in 0_u32..=1_000_000, more in 0_u32..=1_000_000) {
        let high = low.saturating_add(more).min(1_000_000);
        let moves = |weight| rollout::uses_new_version(session(number), &name("small@2"), Share::from_parts(weight));
        assert!(!moves(low) || moves(high));
        assert!(moves(1_000_000) && !moves(0));
    }

    /// Whatever is pinned, withdrawn, quarantined, stale or in roll-out, only versions that the
    /// class allows are used, and no withdrawn or quarantined version gets new work.
    #[test]
    fn allowed_versions_are_not_left(
        number in any::<u128>(),
        serving in vec(any::<bool>(), 4),
        allowed in vec(any::<bool>(), 4),
        quarantined in vec(any::<bool>(), 4),
        pinned in vec(any::<bool>(), 4),
        weights in vec(0_u32..=1_000_000, 3),
        status in 0_u8..3,
        stale in any::<bool>(),
    ) {
        let texts = ["small@1", "small@2", "small@3", "tall@1"];
        let pick = |flags: &[bool]| -> Vec<id::Version> {
            let marked = texts.iter().zip(flags).filter(|(_, flag)| **flag);
            marked.map(|(text, _)| name(text)).collect()
        };
        let status = [Status::Running, Status::Halted, Status::Done][usize::from(status)];
        let rollouts = [
            rollout("small@1", "small@2", weights[0], Status::Running),
            rollout("small@2", "small@3", weights[1], status),
        ];
        let versions: Vec<(&str, bool)> = texts.into_iter().zip(serving).collect();
        let state = state(&versions, &rollouts);
        let quarantined = pick(&quarantined);
        let mut class = class(&[]);
        class.versions = pick(&allowed);
        let age = Duration::from_secs(if stale { 60 } else { 0 });
        let view = View { age, quarantined: &quarantined, ..view(&state) };
        for pin in session::versions(session(number), &pick(&pinned), &class, &view) {
            assert!(class.allows(&pin.version));
            assert!(state.version(&pin.version).is_some_and(|v| v.status == version::Status::Serving));
            assert!(!quarantined.contains(&pin.version));
            let in_rollout = rollouts.iter().any(|r| r.to == pin.version && r.status != Status::Done);
            assert!(!(stale && in_rollout), "only settled versions are used on an old configuration");
        }
    }
}

// At a weight of a tenth, a tenth of the sessions use the new version.
#[test]
fn weight_is_the_share_of_sessions() {
    let moved = (0..10_000_u128)
        .filter(|n| {
            rollout::uses_new_version(
                session(n * 7_919),
                &name("small@2"),
                Share::from_parts(100_000),
            )
        })
        .count();
    assert!((900..1_100).contains(&moved), "{moved} of 10,000");
}

// A session pinned to the old version keeps it while the roll-out proceeds, at any node. Once the
// version is withdrawn, the session gets another allowed version, and the caller a new token.
#[test]
fn session_keeps_its_version_until_it_is_withdrawn() {
    let rollouts = [rollout("small@1", "small@2", 1_000_000, Status::Running)];
    let class = class(&["small@1", "small@2"]);
    let serving = state(&[("small@1", true), ("small@2", true)], &rollouts);
    let pin = [name("small@1")];
    let kept = session::versions(session(1), &pin, &class, &view(&serving));
    assert_eq!(kept.len(), 1);
    assert!(kept[0].was_pinned && kept[0].version == pin[0]);
    assert_eq!(used(session(1), &[], &class, &view(&serving)), ["small@2"]);
    let withdrawn = state(&[("small@1", false), ("small@2", true)], &rollouts);
    let moved = session::versions(session(1), &pin, &class, &view(&withdrawn));
    assert!(!moved[0].was_pinned && moved[0].version == name("small@2"));
}

// A node at which a version fails stops using it at once by its own evidence, before the log
// withdraws it.
#[test]
fn quarantine_holds_at_once() {
    let rollouts = [rollout("small@1", "small@2", 1_000_000, Status::Running)];
    let class = class(&["small@1", "small@2"]);
    let state = state(&[("small@1", true), ("small@2", true)], &rollouts);
    let quarantined = [name("small@2")];
    let view = View {
        quarantined: &quarantined,
        ..view(&state)
    };
    assert_eq!(
        used(session(1), &[name("small@2")], &class, &view),
        ["small@1"]
    );
}

fn evidence(passed: u32, failed: u32, errors: u32, seconds_per_token: f64) -> Evidence {
    let mut evidence = Evidence::default();
    let now = Moment::ZERO;
    for number in 0..passed + failed {
        evidence.record_rating(number < passed, now);
        evidence.record_answer(seconds_per_token, now);
    }
    for _ in 0..errors {
        evidence.record_failure(now);
    }
    evidence
}

// The gate waits for enough samples and time, advances if the new version is as good, and withdraws
// it as soon as chance hardly explains the evidence.
#[test]
fn gate_waits_advances_and_withdraws() {
    let old = evidence(190, 10, 0, 0.05);
    let long = Duration::from_mins(2);
    let evaluate = |new: &Evidence, time| rollout::evaluate(new, &old, &gate(), time);
    assert_eq!(
        evaluate(&evidence(10, 0, 0, 0.05), long),
        Verdict::Wait,
        "too few samples"
    );
    assert_eq!(
        evaluate(&evidence(57, 3, 0, 0.05), Duration::ZERO),
        Verdict::Wait,
        "too soon"
    );
    assert_eq!(evaluate(&evidence(57, 3, 0, 0.05), long), Verdict::Advance);
    let bad = evaluate(&evidence(2, 8, 0, 0.05), Duration::ZERO);
    assert_eq!(
        bad,
        Verdict::Withdraw(Cause::Quality),
        "ten ratings are enough to withdraw"
    );
    let broken = evaluate(&evidence(0, 0, 12, 0.05), Duration::ZERO);
    assert_eq!(broken, Verdict::Withdraw(Cause::Errors));
    let slow = evaluate(&evidence(57, 3, 0, 0.1), long);
    assert_eq!(slow, Verdict::Withdraw(Cause::Latency));
    assert_eq!(
        evaluate(&evidence(9, 1, 0, 0.05), long),
        Verdict::Wait,
        "one failure may be chance"
    );
}
