//! Endpoints that name limits for all VMs together.

mod common;

use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_policy::throttle::RateLimit;
use pimento_scheduler::Clock;
use pimento_scheduler::Member;
use pimento_scheduler::NoSlot;
use pimento_scheduler::Participants;
use pimento_scheduler::Pool;
use pimento_scheduler::Scheduler;
use pimento_scheduler::endpoint_limit::Kind;
use pimento_scheduler::endpoint_limit::Report;
use pimento_units::Moment;
use pimento_units::Tokens;
use tokio_util::sync::CancellationToken;

use self::common::call;
use self::common::member;

/// This VM, and another VM of the endpoints' zone.
const OWN: u64 = 1;
const OTHER: u64 = 2;

fn plain_member(incarnation: u64) -> Member {
    Member {
        incarnation,
        ..member(6)
    }
}

/// A pool of one endpoint whose limit these VMs share.
fn pool(vms: &[u64]) -> (Clock, Scheduler, Pool) {
    let clock = Clock::default();
    let scheduler = Scheduler::new(clock);
    let zone = "a".parse().unwrap();
    scheduler.set_participants(&Participants::new(OWN, vec![(zone, vms.to_vec())]));
    let pool = scheduler.pool(&"service".parse().unwrap());
    pool.update(vec![plain_member(1)]);
    (clock, scheduler, pool)
}

fn observe(clock: Clock, pool: &Pool, limit: Option<f64>, sent: Moment) -> bool {
    let limit = limit.map(|limit| RateLimit::try_from(limit).unwrap());
    let endpoint = "i-1".parse().unwrap();
    assert!(clock.now() >= sent);
    pool.record_limit(&endpoint, Kind::Requests, limit, sent)
}

fn limited(pool: &Pool) -> usize {
    pool.metrics().limited
}

/// Guards against an answer that was on its way when the endpoint named its limit, and removes it.
#[tokio::test]
async fn an_answer_to_an_older_call_removes_no_limit() {
    let (clock, _scheduler, pool) = pool(&[OWN]);
    let before = clock.now();
    assert!(observe(clock, &pool, Some(2.0), before));
    assert!(!observe(clock, &pool, Some(2.0), before));
    assert!(!observe(clock, &pool, None, before));
    assert_eq!(limited(&pool), 1);
    tokio::time::sleep(Duration::from_millis(5)).await;
    assert!(observe(clock, &pool, None, clock.now()));
    assert_eq!(limited(&pool), 0);
}

/// Guards against a limit that is applied to the next incarnation of an endpoint.
#[tokio::test]
async fn a_restarted_endpoint_has_no_limit() {
    let (clock, _scheduler, pool) = pool(&[OWN]);
    observe(clock, &pool, Some(2.0), clock.now());
    pool.update(vec![plain_member(1)]);
    assert_eq!(limited(&pool), 1);
    pool.update(vec![plain_member(2)]);
    assert_eq!(limited(&pool), 0);
}

/// Guards against an old report of a peer that replaces a newer one, and against reports that are passed on
/// without end.
#[tokio::test]
async fn the_newest_report_of_a_limit_applies() {
    let (clock, _scheduler, pool) = pool(&[OWN]);
    tokio::time::sleep(Duration::from_millis(20)).await;
    observe(clock, &pool, Some(2.0), clock.now());
    let reports = pool.limit_reports();
    assert_eq!(reports.len(), 1);
    let old = Report {
        limit: None,
        age: Duration::from_millis(15),
        ..reports[0]
    };
    pool.merge_limit(old);
    assert_eq!(limited(&pool), 1);
    tokio::time::sleep(Duration::from_millis(5)).await;
    let newer = Report {
        age: Duration::ZERO,
        limit: Some(RateLimit::try_from(3.0).unwrap()),
        ..reports[0]
    };
    pool.merge_limit(newer);
    assert_eq!(limited(&pool), 1);
    assert_eq!(pool.limit_reports(), []);
}

/// Guards against a call that waits for the limit, and is not sent because nothing else happens in the
/// pool.
#[tokio::test]
async fn a_waiting_call_is_sent_once_the_limit_allows() {
    let (clock, _scheduler, pool) = pool(&[OWN]);
    observe(clock, &pool, Some(10.0), clock.now());
    let cancel = CancellationToken::new();
    for _ in 0..3 {
        let job = call(clock, Duration::from_secs(10));
        let permit = pool.acquire(job, &cancel).await.unwrap();
        permit.served(Tokens(1));
    }
}

/// Guards against a call that waits at a VM which may not send it.
#[tokio::test]
async fn a_call_is_refused_at_once_if_other_vms_own_the_limit() {
    let (clock, scheduler, pool) = pool(&[OTHER]);
    observe(clock, &pool, Some(0.5), clock.now());
    let cancel = CancellationToken::new();
    let job = || call(clock, Duration::from_secs(10));
    let refused = pool.acquire(job(), &cancel).await.unwrap_err();
    let NoSlot::Overloaded { after } = refused else {
        panic!("{refused:?}");
    };
    assert!((0.5..=30.0).contains(&after.as_secs_f64()), "{after:?}");
    // This VM gets the share when the other one leaves.
    let zone = "a".parse().unwrap();
    scheduler.set_participants(&Participants::new(OWN, vec![(zone, vec![OWN])]));
    let permit = pool.acquire(job(), &cancel).await.unwrap();
    permit.served(Tokens(1));
}

/// Guards against a call that waits for its whole time although one endpoint is ejected, and other VMs own
/// the limit of the other one.
#[tokio::test]
async fn a_call_does_not_wait_for_an_ejected_endpoint_beside_one_with_a_limit() {
    let (clock, _scheduler, pool) = pool(&[OTHER]);
    let second = Member {
        endpoint: "i-2".parse().unwrap(),
        ..plain_member(1)
    };
    pool.update(vec![plain_member(1), second]);
    let cancel = CancellationToken::new();
    for _ in 0..3 {
        let mut job = call(clock, Duration::from_secs(3));
        job.tried = vec!["i-1".parse().unwrap()];
        let permit = pool.acquire(job, &cancel).await.unwrap();
        permit.failed(&Fault::Failed { status: 500 });
    }
    observe(clock, &pool, Some(1.0), clock.now());
    let began = clock.now();
    let refused = pool
        .acquire(call(clock, Duration::from_secs(3)), &cancel)
        .await;
    assert!(
        matches!(refused, Err(NoSlot::Overloaded { .. })),
        "{refused:?}"
    );
    assert!(clock.now().since(began) < Duration::from_secs(1));
}
