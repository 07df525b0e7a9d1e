//! State that a pool keeps of its endpoints while their list changes.

mod common;

use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_policy::eject::SILENCE;
use pimento_policy::engine::Part;
use pimento_policy::engine::Prompt;
use pimento_scheduler::Clock;
use pimento_scheduler::Job;
use pimento_scheduler::Member;
use pimento_scheduler::NoSlot;
use pimento_scheduler::Pool;
use pimento_scheduler::Requirement;
use pimento_scheduler::Scheduler;
use pimento_units::Moment;
use pimento_units::Tokens;
use tokio_util::sync::CancellationToken;

use self::common::member;

const KV_CAPACITY: Tokens = Tokens(600_000);

fn engine(kv_capacity: Option<Tokens>) -> Member {
    Member {
        versions: Some(vec!["v1".parse().unwrap()]),
        kv_capacity,
        ..member(64)
    }
}

fn job() -> Job {
    let part = |hash, tokens| Part {
        hash,
        tokens: Tokens(tokens),
    };
    Job {
        tokens: Tokens(20_000),
        prefix: Some(1),
        prompt: Some(Prompt {
            model: 7,
            parts: vec![part(1, 13_000), part(2, 7_000)],
        }),
        ..common::call(Clock::default(), Duration::from_mins(1))
    }
}

// A starting VM reads the list of endpoints first. The configuration, which says that they are engines and
// sets their memory, arrives a moment later. If the VM kept treating them as a plain service, each prompt
// would seem prefilled at once and the largest model free, and callers would wait for seconds behind what
// the VM sends there.
#[tokio::test]
async fn an_endpoint_becomes_an_engine_once_its_memory_is_known() {
    let scheduler = Scheduler::new(Clock::default());
    let pool = scheduler.pool(&"llm".parse().unwrap());
    pool.update(vec![engine(Some(KV_CAPACITY))]);
    let known = pool.estimate(&job()).unwrap();
    assert!(known.prefill > Duration::from_millis(100), "{known:?}");
    let late = scheduler.pool(&"late".parse().unwrap());
    late.update(vec![engine(None)]);
    late.update(vec![engine(Some(KV_CAPACITY))]);
    assert_eq!(late.estimate(&job()), Some(known));
}

fn plain_member(number: usize, usable: bool) -> Member {
    Member {
        endpoint: format!("i-{number}").parse().unwrap(),
        usable,
        kv_capacity: None,
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

/// Fails calls at an endpoint until it is ejected; `others` are the rest of the pool.
async fn eject(pool: &Pool, name: &str, others: &[&str]) {
    let cancel = CancellationToken::new();
    for _ in 0..3 {
        let job = Job {
            tried: others.iter().map(|other| other.parse().unwrap()).collect(),
            ..call()
        };
        let permit = pool.acquire(job, &cancel).await.unwrap();
        assert_eq!(permit.endpoint().as_str(), name);
        permit.failed(&Fault::Failed { status: 500 });
    }
    assert_eq!(pool.metrics().ejected, 1);
}

// One of three endpoints is ejected when the two others announce that they leave. It is the only one that
// remains and must get calls again. Otherwise each call would wait until its deadline for as long as the
// ejection lasts.
#[tokio::test]
async fn the_only_endpoint_that_is_not_leaving_gets_calls() {
    let scheduler = Scheduler::new(Clock::default());
    let pool = scheduler.pool(&"service".parse().unwrap());
    pool.update((1..=3).map(|number| plain_member(number, true)).collect());
    eject(&pool, "i-1", &["i-2", "i-3"]).await;
    pool.update(
        (1..=3)
            .map(|number| plain_member(number, number == 1))
            .collect(),
    );
    let permit = pool.acquire(call(), &CancellationToken::new()).await;
    assert_eq!(permit.unwrap().endpoint().as_str(), "i-1");
}

// The only endpoint of a version is ejected for longer than the caller can wait; the other endpoint holds
// another version. The call is refused at once, with the time after which to retry.
#[tokio::test]
async fn a_call_that_only_an_ejected_endpoint_could_take_is_refused_at_once() {
    let scheduler = Scheduler::new(Clock::default());
    let pool = scheduler.pool(&"service".parse().unwrap());
    let mut other = plain_member(2, true);
    other.versions = Some(vec!["v2".parse().unwrap()]);
    pool.update(vec![plain_member(1, true), other]);
    eject(&pool, "i-1", &["i-2"]).await;
    let job = Job {
        requirement: Requirement::version(Some("v1".parse().unwrap())),
        deadline: Moment::ZERO + Duration::from_secs(3),
        ..call()
    };
    let refused = pool.acquire(job, &CancellationToken::new()).await;
    let Err(NoSlot::Overloaded { after }) = refused else {
        panic!("{refused:?}");
    };
    assert!(after > Duration::from_secs(3), "{after:?}");
}

// Of two endpoints one is ejected when a call can't reach the other one. The call goes to the ejected
// endpoint rather than again to the one that just failed it: three such attempts in a row would use up the
// caller's time.
#[tokio::test]
async fn a_failed_call_goes_to_an_ejected_endpoint_before_the_one_that_failed_it() {
    let scheduler = Scheduler::new(Clock::default());
    let pool = scheduler.pool(&"service".parse().unwrap());
    pool.update(vec![plain_member(1, true), plain_member(2, true)]);
    eject(&pool, "i-1", &["i-2"]).await;
    let job = Job {
        tried: vec!["i-2".parse().unwrap()],
        ..call()
    };
    let permit = pool.acquire(job, &CancellationToken::new()).await;
    assert_eq!(permit.unwrap().endpoint().as_str(), "i-1");
}

/// Guards against an endpoint that is ejected too early, because silences count when they begin and when their
/// calls fail.
#[tokio::test(start_paused = true)]
async fn a_silence_counts_once() {
    let scheduler = Scheduler::new(Clock::default());
    let pool = scheduler.pool(&"service".parse().unwrap());
    pool.update(vec![plain_member(1, true), plain_member(2, true)]);
    let cancel = CancellationToken::new();
    let job = Job {
        tried: vec!["i-2".parse().unwrap()],
        ..call()
    };
    for (silence, ejected) in [(1, 0), (2, 0), (3, 1)] {
        let mut permit = pool.acquire(job.clone(), &cancel).await.unwrap();
        assert_eq!(permit.endpoint().as_str(), "i-1");
        permit.record_silence();
        assert_eq!(pool.metrics().ejected, ejected, "after silence {silence}");
        // Silences that are closer to each other count as one in any case.
        tokio::time::sleep(SILENCE).await;
        permit.failed(&Fault::Timeout);
        assert_eq!(pool.metrics().ejected, ejected, "after failure {silence}");
        tokio::time::sleep(SILENCE).await;
    }
}

/// Guards against a job that goes to the endpoint which still runs the same request, because no other has a
/// slot.
#[tokio::test]
async fn an_excluded_endpoint_is_no_last_resort() {
    let scheduler = Scheduler::new(Clock::default());
    for (name, call) in [("service", call()), ("llm", job())] {
        let pool = scheduler.pool(&name.parse().unwrap());
        let kv_capacity = call.prompt.as_ref().map(|_| KV_CAPACITY);
        let members = [1, 2].map(|number| Member {
            kv_capacity,
            ..plain_member(number, true)
        });
        let excluding = Job {
            excluded: Some("i-1".parse().unwrap()),
            ..call
        };
        let cancel = CancellationToken::new();
        pool.update(members.to_vec());
        let permit = pool.acquire(excluding.clone(), &cancel).await;
        assert_eq!(permit.unwrap().endpoint().as_str(), "i-2");
        pool.update(members[..1].to_vec());
        let refused = pool.acquire(excluding, &cancel).await;
        assert!(
            matches!(refused, Err(NoSlot::NoEndpoint { .. })),
            "{refused:?}"
        );
    }
}

// The same for prompts: an ejected engine is a better choice than the one that just failed this prompt,
// which gets the prompt only if there is no other engine.
#[tokio::test]
async fn a_failed_prompt_goes_to_an_ejected_engine_before_the_one_that_failed_it() {
    let scheduler = Scheduler::new(Clock::default());
    let pool = scheduler.pool(&"llm".parse().unwrap());
    let other = Member {
        endpoint: "i-2".parse().unwrap(),
        ..engine(Some(KV_CAPACITY))
    };
    pool.update(vec![engine(Some(KV_CAPACITY)), other]);
    eject(&pool, "i-1", &["i-2"]).await;
    for (failed, chosen) in [(&["i-2"][..], "i-1"), (&["i-1", "i-2"], "i-2")] {
        let job = Job {
            tried: failed.iter().map(|name| name.parse().unwrap()).collect(),
            repeatable: false,
            ..job()
        };
        let permit = pool.acquire(job, &CancellationToken::new()).await;
        assert_eq!(permit.unwrap().endpoint().as_str(), chosen, "{failed:?}");
    }
}

// Calls get slower as the whole machine gets busy. The endpoints of other zones have not been called yet,
// and must not be assumed as fast as the local endpoint was one call ago. A call would then leave its
// zone for a difference that does not exist. If it reaches an endpoint that was just cut off, its caller
// waits until its timeout and gets nothing, since a call that is not repeatable can't be sent twice.
#[tokio::test]
async fn unmeasured_endpoints_of_other_zones_do_not_look_fast() {
    let scheduler = Scheduler::new(Clock::default());
    let pool = scheduler.pool(&"service".parse().unwrap());
    let remote = |number| Member {
        extra_delay: Duration::from_millis(10),
        zone: format!("zone-{number}").parse().unwrap(),
        ..plain_member(number, true)
    };
    pool.update(vec![plain_member(1, true), remote(2), remote(3)]);
    for millis in [5, 5, 20, 40, 40, 80, 80, 80] {
        let job = Job {
            tokens: Tokens(100),
            ..call()
        };
        let cancel = CancellationToken::new();
        let permit = pool.acquire(job, &cancel).await.unwrap();
        assert_eq!(permit.endpoint().as_str(), "i-1");
        tokio::time::sleep(Duration::from_millis(millis)).await;
        permit.served(Tokens(100));
    }
}

// The local endpoint is full and those of other zones are not: calls go there, even if they were never
// called.
#[tokio::test]
async fn calls_leave_their_zone_when_its_endpoint_is_full() {
    let scheduler = Scheduler::new(Clock::default());
    let pool = scheduler.pool(&"service".parse().unwrap());
    let remote = Member {
        extra_delay: Duration::from_millis(10),
        zone: "b".parse().unwrap(),
        ..plain_member(2, true)
    };
    pool.update(vec![plain_member(1, true), remote]);
    let cancel = CancellationToken::new();
    let mut held = Vec::new();
    for _ in 0..200 {
        let permit = pool.acquire(call(), &cancel).await.unwrap();
        let left = permit.endpoint().as_str() == "i-2";
        held.push(permit);
        if left {
            return;
        }
    }
    panic!("all of 200 concurrent calls stayed at one endpoint");
}

// Guards against an engine that seems busy with another VM's calls for as long as these were to take,
// although that VM no longer reports a wait there.
#[tokio::test]
async fn waits_that_another_vm_no_longer_reports_are_removed() {
    let scheduler = Scheduler::new(Clock::default());
    let pool = scheduler.pool(&"llm".parse().unwrap());
    pool.update(vec![engine(Some(KV_CAPACITY))]);
    let key = pimento_policy::choice::hash("i-1");
    let wait = || pool.estimate(&job()).unwrap().wait;
    let busy = Duration::from_secs(20);
    pool.merge_waits(1, &[(key, busy)]);
    pool.merge_waits(2, &[(key, busy)]);
    assert!(wait() > busy, "{:?}", wait());
    pool.merge_waits(1, &[]);
    assert!(wait() <= busy && !wait().is_zero(), "{:?}", wait());
    pool.merge_waits(2, &[]);
    assert_eq!(wait(), Duration::ZERO);
}

// Guards against endpoints that lose their state when others join and leave.
#[tokio::test]
async fn an_engine_keeps_its_state_when_others_join_and_leave() {
    let scheduler = Scheduler::new(Clock::default());
    let pool = scheduler.pool(&"llm".parse().unwrap());
    let member = |name: &str| Member {
        endpoint: name.parse().unwrap(),
        ..engine(Some(KV_CAPACITY))
    };
    pool.update(vec![member("i-5"), member("i-3"), member("i-1")]);
    let key = pimento_policy::choice::hash("i-3");
    let busy = Duration::from_secs(20);
    pool.merge_waits(1, &[(key, busy)]);
    for others in [["i-0", "i-4"], ["i-2", "i-9"], ["i-1", "i-5"]] {
        let mut members: Vec<Member> = others.map(member).into();
        members.push(member("i-3"));
        pool.update(members);
    }
    pool.update(vec![member("i-3")]);
    assert!(pool.estimate(&job()).unwrap().wait > Duration::from_secs(10));
}

/// Guards against an endpoint that stays ejected for failures of its previous incarnation.
#[tokio::test]
async fn a_restarted_endpoint_gets_calls() {
    let scheduler = Scheduler::new(Clock::default());
    let pool = scheduler.pool(&"service".parse().unwrap());
    let both = vec![plain_member(1, true), plain_member(2, true)];
    pool.update(both.clone());
    eject(&pool, "i-1", &["i-2"]).await;
    // A list without changes does not undo the ejection.
    pool.update(both);
    assert_eq!(pool.metrics().ejected, 1);
    let restarted = Member {
        incarnation: 2,
        ..plain_member(1, true)
    };
    pool.update(vec![restarted, plain_member(2, true)]);
    assert_eq!(pool.metrics().ejected, 0);
    let cancel = CancellationToken::new();
    let job = Job {
        tried: vec!["i-2".parse().unwrap()],
        ..call()
    };
    let permit = pool.acquire(job, &cancel).await.unwrap();
    assert_eq!(permit.endpoint().as_str(), "i-1");
}
