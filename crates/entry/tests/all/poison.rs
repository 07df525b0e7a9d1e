//! Requests that crash endpoints.

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
use crate::support::Fixture;
use crate::support::TIMEOUT;

/// Part of the body of requests that crash endpoints.
const MARKER: &str = "crash";
const CRASHING_PROMPT: &str = "crash all: answer in 5 tokens";

/// Downtime of a crashed endpoint, and a bound on the time in which all VMs receive a block.
const DOWNTIME_MS: u64 = 400;
const PROPAGATION: Duration = Duration::from_secs(3);

/// Crashes after which a request is blocked, and the crashes allowed after that.
const CRASHES_UNTIL_BLOCKED: u64 = 3;
const MAX_LATE_CRASHES: u64 = 3;

/// Concurrent prompts, enough that several engines run some.
const CONCURRENT_REQUESTS: usize = 120;

fn crash_rule() -> Rule {
    Rule::new(Action::Crash {
        back_ms: DOWNTIME_MS,
    })
    .containing(MARKER)
}

/// Three entry VMs that know each other; engines and replicas crash on a marked request.
async fn start_fleet() -> (Fixture, Vec<Entry>) {
    let fixture = Fixture::start(6).await;
    for engine in &fixture.engines {
        engine.faults.set_rules([crash_rule()]);
    }
    for desk in &fixture.desks {
        desk.faults.set_rules([crash_rule()]);
    }
    let first = fixture.entry("entry-1").await;
    let seed = first.running.node.mesh.address().to_string();
    let mut entries = vec![first];
    for node in ["entry-2", "entry-3"] {
        entries.push(fixture.entry_with(node, &[("peers", &seed)]).await);
    }
    (fixture, entries)
}

fn crashes(fixture: &Fixture) -> u64 {
    let engines = fixture.engines.iter().map(|e| e.faults.table().affected);
    let desks = fixture.desks.iter().map(|e| e.faults.table().affected);
    engines.sum::<u64>() + desks.sum::<u64>()
}

fn is_blocked(answer: &Answer) -> bool {
    answer.status == StatusCode::SERVICE_UNAVAILABLE
        && answer.error_body().error.code == "poison_request"
}

/// Guards against one prompt that crashes engine after engine because callers repeat it at any VM.
#[tokio::test]
async fn a_prompt_under_which_engines_end_is_sent_no_more() {
    let (fixture, entries) = start_fleet().await;
    let started = Instant::now();
    let mut blocked = None;
    let mut last = None;
    while blocked.is_none_or(|(at, _): (Instant, u64)| at.elapsed() < Duration::from_secs(3)) {
        assert!(started.elapsed() < TIMEOUT, "{} crashes", crashes(&fixture));
        for entry in &entries {
            last = Some(entry.chat(CRASHING_PROMPT, false).send().await);
            let harmless = entry.chat("hello: answer in 3 tokens", true).send();
            let harmless = harmless.await;
            assert!(blocked.is_none() || harmless.whole_stream(), "{harmless:?}");
        }
        if blocked.is_none() && crashes(&fixture) >= CRASHES_UNTIL_BLOCKED {
            tokio::time::sleep(PROPAGATION).await;
            blocked = Some((Instant::now(), crashes(&fixture)));
        }
    }
    let before = blocked.map_or(0, |(_, crashes)| crashes);
    let late = crashes(&fixture) - before;
    assert!(
        late <= MAX_LATE_CRASHES,
        "{late} crashes later, {before} before"
    );
    let last = last.unwrap();
    assert!(is_blocked(&last), "{last:?}");
    assert_eq!(last.error_body().error.run, Run::NotRun);
    let after: u64 = last.header("retry-after").parse().unwrap();
    assert!((60..=600).contains(&after), "after {after} s");
}

/// Guards against a call that crashes one replica of a plain service after another.
#[tokio::test]
async fn a_call_under_which_replicas_end_is_sent_no_more() {
    let (fixture, entries) = start_fleet().await;
    let started = Instant::now();
    let path = "/services/order-desk/drums?kind=crash";
    // Plain services report no incarnation, so that two crashes in one downtime would count as one.
    let rule = Rule::new(Action::Crash { back_ms: 1_200 }).on("GET", "/drums");
    fixture
        .desks
        .iter()
        .for_each(|desk| desk.faults.set_rules([rule.clone()]));
    loop {
        assert!(started.elapsed() < TIMEOUT, "{} crashes", crashes(&fixture));
        let answer = entries[0].request(Method::GET, path).send().await;
        if is_blocked(&answer) {
            break;
        }
    }
    assert_eq!(crashes(&fixture), CRASHES_UNTIL_BLOCKED);
    let order = entries[0].order(&uuid::Uuid::now_v7().to_string()).send();
    assert_eq!(order.await.status, StatusCode::OK);
}

/// Guards against blocking a popular prompt because it ran at engines that crashed for other
/// reasons.
#[tokio::test]
async fn a_popular_prompt_is_served_while_engines_crash() {
    let (fixture, entries) = start_fleet().await;
    let popular = "popular: answer in 100 tokens";
    let send = || entries[0].chat(popular, true).send();
    assert!(send().await.whole_stream());
    let downtime = Duration::from_millis(DOWNTIME_MS);
    for round in 0..2 {
        // Enough concurrent requests that each engine runs some when it crashes.
        let running = join_all((0..CONCURRENT_REQUESTS).map(|_| send()));
        let lose = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            fixture
                .engines
                .iter()
                .skip(1)
                .for_each(|e| e.crash(downtime));
        };
        let (answers, ()) = tokio::join!(running, lose);
        let refused = answers.iter().filter(|answer| is_blocked(answer)).count();
        assert_eq!(refused, 0, "round {round}");
        assert!(!is_blocked(&send().await), "round {round}");
        tokio::time::sleep(2 * downtime).await;
    }
}

/// Guards against blocking prompts for lost answers of engines that did not crash.
#[tokio::test]
async fn a_lost_answer_is_not_a_crash() {
    let (fixture, entries) = start_fleet().await;
    let lose = || Rule::new(Action::LoseAnswer).on("POST", "/v1/chat/completions");
    fixture
        .engines
        .iter()
        .for_each(|e| e.faults.set_rules([lose()]));
    let struck = || {
        fixture
            .engines
            .iter()
            .filter(|e| e.faults.table().affected > 0)
    };
    for _ in 0..20 {
        let answer = entries[0].chat("hello: answer in 3 tokens", false).send();
        let answer = answer.await;
        assert!(!is_blocked(&answer), "{answer:?}");
    }
    assert!(struck().count() >= 3, "{}", struck().count());
}
