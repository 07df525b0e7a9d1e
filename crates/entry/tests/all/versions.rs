//! Which versions answer: withdrawals during a request, sessions, roll-outs.

use hyper::StatusCode;
use pimento_contract::Value;
use pimento_endpoint::engine::Engine;
use pimento_standin::Handler;
use pimento_wire::api::Run;

use crate::support::Fixture;
use crate::support::LARGE;
use crate::support::SMALL;
use crate::support::contract;
use crate::support::name;
use crate::support::rollout;
use crate::support::wait_until;

fn started(fixture: &Fixture, version: &str) -> u64 {
    let stats = fixture.engines.iter().map(|engine| engine.handler.stats());
    let started = |stats: pimento_standin::engine::Stats| {
        let found = stats
            .versions
            .into_iter()
            .find(|w| w.version == name(version));
        found.map_or(0, |work| work.started)
    };
    stats.map(started).sum()
}

/// Requests fill the only engine, and more wait in the queue, when the version is withdrawn. Those
/// that run may finish. Those that wait are not sent, and each is refused as not run.
#[tokio::test]
async fn work_that_waits_is_not_sent_to_a_version_withdrawn_meanwhile() {
    let fixture = Fixture::start(1).await;
    fixture.engines[0].handler.change(|settings| {
        settings.token_us = 20_000;
        settings.batch = 4;
    });
    let entry = fixture.entry("entry-1").await;
    let send = || {
        let request = entry.chat("answer in 50 tokens", false);
        request.header("request-timeout", "300").send()
    };
    let pending: Vec<_> = (0..16).map(|_| tokio::spawn(send())).collect();
    let pool = entry.running.node.scheduler.pool(&name("pimento-llm"));
    wait_until("some requests run and some wait", || {
        fixture.started() > 0 && pool.metrics().waiting > 0
    })
    .await;
    fixture.withdraw(SMALL);
    wait_until("the withdrawal is in force", || {
        entry.running.node.state.current().offset >= fixture.state().offset
    })
    .await;
    let started = fixture.started();
    let mut refused = 0;
    for pending in pending {
        let answer = pending.await.unwrap();
        if answer.status != StatusCode::OK {
            assert_eq!(answer.error_body().error.code, "no_version", "{answer:?}");
            assert_eq!(answer.error_body().error.run, Run::NotRun);
            refused += 1;
        }
    }
    assert!(refused > 0);
    assert_eq!(fixture.started(), started);
    assert_eq!(started + refused, 16);
}

/// A session is pinned to the new version of a roll-out. After the roll-out is halted, the
/// session's token is presented at another entry VM that does not know the session, and the pin
/// still applies. Once the version is withdrawn, the pin is removed and a new token is issued.
#[tokio::test]
async fn a_session_keeps_its_version_over_entry_vms_until_it_is_withdrawn() {
    let fixture = Fixture::start(1).await;
    fixture.publish(Value::Contract(contract(&[LARGE, SMALL], 0.5)));
    fixture.publish(Value::Rollout(rollout(1.0)));
    let first = fixture.entry("entry-1").await;
    let second = fixture.entry("entry-2").await;
    let answer = first.chat("answer in 5 tokens", false).send().await;
    assert_eq!(answer.header("model-version"), LARGE, "{answer:?}");
    let token = answer.header("session-token").to_owned();
    let mut halted = rollout(1.0);
    halted.status = pimento_contract::rollout::Status::Halted;
    fixture.publish(Value::Rollout(halted));
    let known = || fixture.state().offset;
    let reached = |e: &crate::support::Entry| e.running.node.state.current().offset >= known();
    wait_until("the halt is in force", || {
        reached(&first) && reached(&second)
    })
    .await;
    let fresh = second.chat("answer in 5 tokens", false).send().await;
    assert_eq!(fresh.header("model-version"), SMALL);
    let request = second.chat("answer in 5 tokens", false);
    let returning = request.header("session-token", &token).send().await;
    assert_eq!(returning.header("model-version"), LARGE);
    assert_eq!(returning.header("session-token"), token);
    fixture.withdraw(LARGE);
    wait_until("the withdrawal is in force", || reached(&second)).await;
    let request = second.chat("answer in 5 tokens", false);
    let moved = request.header("session-token", &token).send().await;
    assert_eq!(moved.header("model-version"), SMALL);
    assert_ne!(moved.header("session-token"), token);
    assert_eq!(started(&fixture, LARGE), 2);
}

/// The new version of a roll-out gives bad answers. The node quarantines it on its own evidence,
/// and the withdrawal that the node proposes takes effect through the log.
#[tokio::test]
async fn a_bad_version_in_roll_out_is_quarantined_and_withdrawn() {
    let fixture = Fixture::start(2).await;
    fixture.publish(Value::Contract(contract(&[LARGE, SMALL], 0.99)));
    fixture.publish(Value::Rollout(rollout(0.5)));
    for engine in &fixture.engines {
        engine.handler.change(|settings| {
            settings.quality = vec![
                pimento_standin::engine::Quality {
                    version: name(SMALL),
                    share: pimento_units::Share::ONE,
                },
                pimento_standin::engine::Quality {
                    version: name(LARGE),
                    share: pimento_units::Share::ZERO,
                },
            ];
        });
    }
    let entry = fixture.entry("entry-1").await;
    let withdrawn = || {
        let state = fixture.state();
        let version = state.version(&name(LARGE)).unwrap();
        version.status == pimento_contract::version::Status::Withdrawn
    };
    for number in 0..200 {
        let prompt = format!("question {number}: answer in 3 tokens");
        let answer = entry.chat(&prompt, false).send().await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        if withdrawn() {
            break;
        }
    }
    wait_until("the version is withdrawn", withdrawn).await;
    wait_until("the entry VM knows the withdrawal", || {
        let state = entry.running.node.state.current();
        let version = state.version(&name(LARGE)).unwrap();
        version.status == pimento_contract::version::Status::Withdrawn
    })
    .await;
    let before = started(&fixture, LARGE);
    for _ in 0..5 {
        let answer = entry.chat("answer in 3 tokens", false).send().await;
        assert_eq!(answer.header("model-version"), SMALL);
    }
    assert_eq!(started(&fixture, LARGE), before);
}

/// A successor is allowed and served before its roll-out. Sessions start on the older version and
/// stay there, although the successor is cheaper.
#[tokio::test]
async fn of_two_versions_of_a_model_a_session_sees_one() {
    let fixture = Fixture::start(1).await;
    let successor = "pimento-mini@2";
    fixture.publish(Value::Contract(contract(&[SMALL, successor], 0.5)));
    fixture.publish(Value::Version(crate::support::version(successor, 1, 0.9)));
    let order = pimento_wire::engine::Order::Versions(vec![name(SMALL), name(successor)]);
    let engine = pimento_endpoint::engine::Remote::new(
        pimento_endpoint::Pool::default(),
        fixture.engines[0].address,
    );
    engine.order(order, None).await.unwrap();
    let entry = fixture.entry("entry-1").await;
    let pool = entry.running.node.scheduler.pool(&name("pimento-llm"));
    wait_until("the engine serves the successor", || {
        pool.holds(Some(&name(successor)))
    })
    .await;
    let first = entry.chat("answer in 5 tokens", false).send().await;
    assert_eq!(first.header("model-version"), SMALL);
    let token = first.header("session-token").to_owned();
    for _ in 0..5 {
        let request = entry.chat("answer in 5 tokens", false);
        let answer = request.header("session-token", &token).send().await;
        assert_eq!(answer.header("model-version"), SMALL);
    }
}
