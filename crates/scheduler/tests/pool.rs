//! What a pool knows of its endpoints as their list changes.

use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_policy::engine::Part;
use pimento_policy::engine::Prompt;
use pimento_policy::limit;
use pimento_scheduler::Clock;
use pimento_scheduler::Job;
use pimento_scheduler::Member;
use pimento_scheduler::Pool;
use pimento_scheduler::Refused;
use pimento_scheduler::Scheduler;
use pimento_units::Moment;
use pimento_units::Tokens;
use tokio_util::sync::CancellationToken;

const MEMORY: Tokens = Tokens(600_000);

fn engine(memory: Option<Tokens>) -> Member {
    let report = limit::Report {
        running: 0,
        waiting: 0,
        batch: 64,
    };
    Member {
        endpoint: "i-1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        usable: true,
        distance: Duration::ZERO,
        versions: Some(vec!["v1".parse().unwrap()]),
        report: Some((report, Moment::ZERO)),
        memory,
        life: 1,
    }
}

fn job() -> Job {
    let part = |hash, tokens| Part {
        hash,
        tokens: Tokens(tokens),
    };
    Job {
        customer: "garage".parse().unwrap(),
        weight: 1,
        priority: 1,
        tokens: Tokens(20_000),
        deadline: Moment::ZERO + Duration::from_mins(1),
        version: None,
        prefix: Some(1),
        prompt: Some(Prompt {
            model: 7,
            parts: vec![part(1, 13_000), part(2, 7_000)],
        }),
        tried: Vec::new(),
        returning: false,
        repeatable: true,
    }
}

// A VM is started anew while everything runs. It reads the list of endpoints first and the
// configuration, which says that they are engines and how much memory they have, a moment later. Its
// estimates were those of a plain service from then on: each prompt seemed read at once, the largest
// model free, and callers waited for seconds behind what the VM sent there.
#[tokio::test]
async fn endpoints_that_turn_out_to_be_engines_are_taken_for_engines() {
    let scheduler = Scheduler::new(Clock::default());
    let pool = scheduler.pool(&"llm".parse().unwrap());
    pool.update(vec![engine(Some(MEMORY))]);
    let known = pool.estimate(&job()).unwrap();
    assert!(known.work > Duration::from_millis(100), "{known:?}");
    let late = scheduler.pool(&"late".parse().unwrap());
    late.update(vec![engine(None)]);
    late.update(vec![engine(Some(MEMORY))]);
    assert_eq!(late.estimate(&job()), Some(known));
}

fn desk(number: usize, usable: bool) -> Member {
    Member {
        endpoint: format!("i-{number}").parse().unwrap(),
        usable,
        memory: None,
        ..engine(None)
    }
}

fn call() -> Job {
    Job {
        tokens: Tokens(1),
        prefix: None,
        prompt: None,
        repeatable: false,
        ..job()
    }
}

/// Fails calls at an endpoint until it is out; `others` are the rest of the pool.
async fn eject(pool: &Pool, name: &str, others: &[&str]) {
    let gone = CancellationToken::new();
    for _ in 0..3 {
        let job = Job {
            tried: others.iter().map(|other| other.parse().unwrap()).collect(),
            ..call()
        };
        let permit = pool.acquire(job, &gone).await.unwrap();
        assert_eq!(permit.endpoint().as_str(), name);
        permit.failed(&Fault::Failed { status: 500 });
    }
    assert_eq!(pool.depth().ejected, 1);
}

// One of three endpoints is out when the two others say that they leave. It is all that is left, and
// gets calls again: before, each call waited for the whole time that its caller had and was told that
// the time was up, for as long as the ejection lasted.
#[tokio::test]
async fn the_only_endpoint_that_does_not_leave_gets_calls() {
    let scheduler = Scheduler::new(Clock::default());
    let pool = scheduler.pool(&"desk".parse().unwrap());
    pool.update((1..=3).map(|number| desk(number, true)).collect());
    eject(&pool, "i-1", &["i-2", "i-3"]).await;
    pool.update((1..=3).map(|number| desk(number, number == 1)).collect());
    let permit = pool.acquire(call(), &CancellationToken::new()).await;
    assert_eq!(permit.unwrap().endpoint().as_str(), "i-1");
}

// The only endpoint of a version is out for longer than the caller waits; the other one holds another
// version. The caller hears at once, and when to come back.
#[tokio::test]
async fn a_call_that_only_an_endpoint_that_is_out_could_take_is_refused_at_once() {
    let scheduler = Scheduler::new(Clock::default());
    let pool = scheduler.pool(&"desk".parse().unwrap());
    let mut other = desk(2, true);
    other.versions = Some(vec!["v2".parse().unwrap()]);
    pool.update(vec![desk(1, true), other]);
    eject(&pool, "i-1", &["i-2"]).await;
    let job = Job {
        version: Some("v1".parse().unwrap()),
        deadline: Moment::ZERO + Duration::from_secs(3),
        ..call()
    };
    let refused = pool.acquire(job, &CancellationToken::new()).await;
    let Err(Refused::Overloaded { after }) = refused else {
        panic!("{refused:?}");
    };
    assert!(after > Duration::from_secs(3), "{after:?}");
}

// Of two endpoints one is out when a call can't reach the other. It goes to the one that is out, rather
// than again to the one that just failed it: three such tries in a row were the caller's whole time.
#[tokio::test]
async fn a_call_that_failed_goes_to_an_endpoint_that_is_out_before_it_is_tried_again() {
    let scheduler = Scheduler::new(Clock::default());
    let pool = scheduler.pool(&"desk".parse().unwrap());
    pool.update(vec![desk(1, true), desk(2, true)]);
    eject(&pool, "i-1", &["i-2"]).await;
    let job = Job {
        tried: vec!["i-2".parse().unwrap()],
        ..call()
    };
    let permit = pool.acquire(job, &CancellationToken::new()).await;
    assert_eq!(permit.unwrap().endpoint().as_str(), "i-1");
}
