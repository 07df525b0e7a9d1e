//! Which versions answer: withdrawals while a request is under way, sessions, roll-outs.

use hyper::StatusCode;
use pimento_contract::Value;
use pimento_endpoint::engine::Engine;
use pimento_standin::Site;
use pimento_wire::api::Run;

use crate::support::LARGE;
use crate::support::SMALL;
use crate::support::World;
use crate::support::contract;
use crate::support::name;
use crate::support::rollout;
use crate::support::until;

fn started(world: &World, version: &str) -> u64 {
    let stats = world.engines.iter().map(|engine| engine.site.stats());
    let of = |stats: pimento_standin::engine::Stats| {
        let found = stats
            .versions
            .into_iter()
            .find(|w| w.version == name(version));
        found.map_or(0, |work| work.started)
    };
    stats.map(of).sum()
}

/// Requests fill the only engine and more wait in the queue. The version is withdrawn: what runs
/// may finish, but none of those that waited is sent, and each is refused as not run.
#[tokio::test]
async fn work_that_waits_is_not_sent_to_a_version_withdrawn_meanwhile() {
    let world = World::start(1).await;
    world.engines[0].site.change(|settings| {
        settings.token_us = 20_000;
        settings.batch = 4;
    });
    let entry = world.entry("entry-1").await;
    let ask = || {
        let ask = entry.chat("answer in 50 tokens", false);
        ask.header("request-timeout", "300").send()
    };
    let asked: Vec<_> = (0..16).map(|_| tokio::spawn(ask())).collect();
    let pool = entry.running.node.scheduler.pool(&name("pimento-llm"));
    until("some run and some wait", || {
        world.started() > 0 && pool.depth().waiting > 0
    })
    .await;
    world.withdraw(SMALL);
    until("the withdrawal is in force", || {
        entry.running.node.state.current().offset >= world.state().offset
    })
    .await;
    let begun = world.started();
    let mut refused = 0;
    for asked in asked {
        let answer = asked.await.unwrap();
        if answer.status != StatusCode::OK {
            assert_eq!(answer.failure().error.code, "no_version", "{answer:?}");
            assert_eq!(answer.failure().error.run, Run::NotRun);
            refused += 1;
        }
    }
    assert!(refused > 0);
    assert_eq!(world.started(), begun);
    assert_eq!(begun + refused, 16);
}

/// A session is pinned to the new version of a roll-out and comes back with its token, at another
/// entry VM that never saw it, after the roll-out's weight fell to zero: it stays. Then the version
/// is withdrawn: the pin ends and the token is issued anew.
#[tokio::test]
async fn a_session_keeps_its_version_over_entry_vms_until_it_is_withdrawn() {
    let world = World::start(1).await;
    world.publish(Value::Contract(contract(&[LARGE, SMALL], 0.5)));
    world.publish(Value::Rollout(rollout(1.0)));
    let first = world.entry("entry-1").await;
    let second = world.entry("entry-2").await;
    let answer = first.chat("answer in 5 tokens", false).send().await;
    assert_eq!(answer.header("model-version"), LARGE, "{answer:?}");
    let token = answer.header("session-token").to_owned();
    let mut halted = rollout(1.0);
    halted.status = pimento_contract::rollout::Status::Halted;
    world.publish(Value::Rollout(halted));
    let known = || world.state().offset;
    let reached = |e: &crate::support::Entry| e.running.node.state.current().offset >= known();
    until("the halt is in force", || {
        reached(&first) && reached(&second)
    })
    .await;
    let fresh = second.chat("answer in 5 tokens", false).send().await;
    assert_eq!(fresh.header("model-version"), SMALL);
    let ask = second.chat("answer in 5 tokens", false);
    let kept = ask.header("session-token", &token).send().await;
    assert_eq!(kept.header("model-version"), LARGE);
    assert_eq!(kept.header("session-token"), token);
    world.withdraw(LARGE);
    until("the withdrawal is in force", || reached(&second)).await;
    let ask = second.chat("answer in 5 tokens", false);
    let moved = ask.header("session-token", &token).send().await;
    assert_eq!(moved.header("model-version"), SMALL);
    assert_ne!(moved.header("session-token"), token);
    assert_eq!(started(&world, LARGE), 2);
}

/// The version that is brought in answers badly. The node's own evidence quarantines it at once,
/// and the withdrawal that it proposes comes into force through the log.
#[tokio::test]
async fn a_bad_version_in_roll_out_is_quarantined_and_withdrawn() {
    let world = World::start(2).await;
    world.publish(Value::Contract(contract(&[LARGE, SMALL], 0.99)));
    world.publish(Value::Rollout(rollout(0.5)));
    for engine in &world.engines {
        engine.site.change(|settings| {
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
    let entry = world.entry("entry-1").await;
    let withdrawn = || {
        let state = world.state();
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
    until("the version is withdrawn", withdrawn).await;
    until("no more work goes to it here", || {
        let state = entry.running.node.state.current();
        let version = state.version(&name(LARGE)).unwrap();
        version.status == pimento_contract::version::Status::Withdrawn
    })
    .await;
    let before = started(&world, LARGE);
    for _ in 0..5 {
        let answer = entry.chat("answer in 3 tokens", false).send().await;
        assert_eq!(answer.header("model-version"), SMALL);
    }
    assert_eq!(started(&world, LARGE), before);
}

/// A successor is allowed and serves before it is rolled in. Sessions begin on the older version and
/// stay there, whichever of the two is cheaper.
#[tokio::test]
async fn of_two_versions_of_a_model_a_session_sees_one() {
    let world = World::start(1).await;
    let successor = "pimento-mini@2";
    world.publish(Value::Contract(contract(&[SMALL, successor], 0.5)));
    world.publish(Value::Version(crate::support::version(successor, 1, 0.9)));
    let order = pimento_wire::engine::Order::Versions(vec![name(SMALL), name(successor)]);
    let engine = pimento_endpoint::engine::Remote::new(
        pimento_endpoint::Pool::default(),
        world.engines[0].address,
    );
    engine.order(order, None).await.unwrap();
    let entry = world.entry("entry-1").await;
    let pool = entry.running.node.scheduler.pool(&name("pimento-llm"));
    until("the successor is held", || {
        pool.holds(Some(&name(successor)))
    })
    .await;
    let first = entry.chat("answer in 5 tokens", false).send().await;
    assert_eq!(first.header("model-version"), SMALL);
    let token = first.header("session-token").to_owned();
    for _ in 0..5 {
        let ask = entry.chat("answer in 5 tokens", false);
        let answer = ask.header("session-token", &token).send().await;
        assert_eq!(answer.header("model-version"), SMALL);
    }
}
