//! Requests under which endpoints end.

use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use hyper::Method;
use hyper::StatusCode;
use pimento_standin::fault::Action;
use pimento_standin::fault::Rule;
use pimento_wire::api::Run;

use crate::support::Answer;
use crate::support::Entry;
use crate::support::PATIENCE;
use crate::support::World;

/// In the body of a request under which endpoints end.
const MARK: &str = "crash";
const BAD: &str = "crash all: answer in 5 tokens";

/// How long an endpoint is gone, and how long word takes to all VMs.
const BACK_MS: u64 = 400;
const HEARD: Duration = Duration::from_secs(3);

/// Ends of endpoints after which a request is known for what it is, and times that it may reach one later.
const ENDS: u64 = 3;
const SENT: u64 = 3;

/// Prompts at once that several engines run.
const RUNS: usize = 120;

fn crash() -> Rule {
    Rule::new(Action::Crash { back_ms: BACK_MS }).holding(MARK)
}

/// Three VMs that know each other, before engines and desks that end under a marked request.
async fn fleet() -> (World, Vec<Entry>) {
    let world = World::start(6).await;
    for engine in &world.engines {
        engine.faults.rules([crash()]);
    }
    for desk in &world.desks {
        desk.faults.rules([crash()]);
    }
    let first = world.entry("entry-1").await;
    let seed = first.running.node.mesh.address().to_string();
    let mut entries = vec![first];
    for node in ["entry-2", "entry-3"] {
        entries.push(world.entry_with(node, &[("peers", &seed)]).await);
    }
    (world, entries)
}

fn ends(world: &World) -> u64 {
    let engines = world.engines.iter().map(|e| e.faults.table().struck);
    let desks = world.desks.iter().map(|e| e.faults.table().struck);
    engines.sum::<u64>() + desks.sum::<u64>()
}

fn barred(answer: &Answer) -> bool {
    answer.status == StatusCode::SERVICE_UNAVAILABLE
        && answer.failure().error.code == "poison_request"
}

/// Guards against engines that end one after the other under one prompt, which comes again at any VM.
#[tokio::test]
async fn a_prompt_under_which_engines_end_is_sent_no_more() {
    let (world, entries) = fleet().await;
    let began = Instant::now();
    let mut known = None;
    let mut last = None;
    while known.is_none_or(|(at, _): (Instant, u64)| at.elapsed() < Duration::from_secs(3)) {
        assert!(began.elapsed() < PATIENCE, "{} ends", ends(&world));
        for entry in &entries {
            last = Some(entry.chat(BAD, false).send().await);
            let honest = entry.chat("hello: answer in 3 tokens", true).send();
            let honest = honest.await;
            assert!(known.is_none() || honest.whole_stream(), "{honest:?}");
        }
        if known.is_none() && ends(&world) >= ENDS {
            tokio::time::sleep(HEARD).await;
            known = Some((Instant::now(), ends(&world)));
        }
    }
    let before = known.map_or(0, |(_, ends)| ends);
    let late = ends(&world) - before;
    assert!(late <= SENT, "{late} engines ended later, {before} before");
    let last = last.unwrap();
    assert!(barred(&last), "{last:?}");
    assert_eq!(last.failure().error.run, Run::NotRun);
    let after: u64 = last.header("retry-after").parse().unwrap();
    assert!((60..=600).contains(&after), "after {after} s");
}

/// Guards against the same at a plain service.
#[tokio::test]
async fn a_call_under_which_replicas_end_is_sent_no_more() {
    let (world, entries) = fleet().await;
    let began = Instant::now();
    let look = "/services/order-desk/drums?kind=crash";
    // Plain services don't tell their lives apart, so that two ends at once would count as one.
    let rule = Rule::new(Action::Crash { back_ms: 1_200 }).on("GET", "/drums");
    world
        .desks
        .iter()
        .for_each(|desk| desk.faults.rules([rule.clone()]));
    loop {
        assert!(began.elapsed() < PATIENCE, "{} ends", ends(&world));
        let answer = entries[0].ask(Method::GET, look).send().await;
        if barred(&answer) {
            break;
        }
    }
    assert_eq!(ends(&world), ENDS);
    let order = entries[0].order(&uuid::Uuid::now_v7().to_string()).send();
    assert_eq!(order.await.status, StatusCode::OK);
}

/// Guards against a popular prompt that is barred for having run at engines that were lost.
#[tokio::test]
async fn a_popular_prompt_is_served_through_losses_of_engines() {
    let (world, entries) = fleet().await;
    let popular = "popular: answer in 100 tokens";
    let ask = || entries[0].chat(popular, true).send();
    assert!(ask().await.whole_stream());
    let back = Duration::from_millis(BACK_MS);
    for round in 0..2 {
        // Enough at once that each engine runs some when it is lost.
        let running = join_all((0..RUNS).map(|_| ask()));
        let lose = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            world.engines.iter().skip(1).for_each(|e| e.crash(back));
        };
        let (answers, ()) = tokio::join!(running, lose);
        let refused = answers.iter().filter(|answer| barred(answer)).count();
        assert_eq!(refused, 0, "round {round}");
        assert!(!barred(&ask().await), "round {round}");
        tokio::time::sleep(2 * back).await;
    }
}

/// Guards against prompts barred for answers that were lost though their engines are still there.
#[tokio::test]
async fn a_lost_answer_is_no_end_of_an_engine() {
    let (world, entries) = fleet().await;
    let lose = || Rule::new(Action::LoseAnswer).on("POST", "/v1/chat/completions");
    world.engines.iter().for_each(|e| e.faults.rules([lose()]));
    let struck = || world.engines.iter().filter(|e| e.faults.table().struck > 0);
    for _ in 0..20 {
        let answer = entries[0].chat("hello: answer in 3 tokens", false).send();
        let answer = answer.await;
        assert!(!barred(&answer), "{answer:?}");
    }
    assert!(struck().count() >= 3, "{}", struck().count());
}
