//! Endpoints that say that they fall over when they turn many requests away.

mod common;

use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_policy::throttle::RateLimit;
use pimento_scheduler::Clock;
use pimento_scheduler::Member;
use pimento_scheduler::Participants;
use pimento_scheduler::Permit;
use pimento_scheduler::Pool;
use pimento_scheduler::Scheduler;
use pimento_scheduler::endpoint_limit::Kind;
use pimento_units::id;
use tokio_util::sync::CancellationToken;

use self::common::call;
use self::common::member;

/// This VM, and another VM of the endpoint's zone.
const OWN: u64 = 1;
const OTHER: u64 = 2;

/// How long callers wait.
const PATIENCE: Duration = Duration::from_secs(10);

fn zone(name: &str) -> id::Zone {
    name.parse().unwrap()
}

/// A pool of one brittle endpoint with six slots, before these VMs of each zone.
fn pool(zones: Vec<(id::Zone, Vec<u64>)>) -> (Clock, Pool) {
    let clock = Clock::default();
    let scheduler = Scheduler::new(clock);
    scheduler.set_participants(&Participants::new(OWN, zones));
    let pool = scheduler.pool(&"service".parse().unwrap());
    pool.update(vec![member(6)]);
    assert!(announce(clock, &pool, Some(5.0)));
    (clock, pool)
}

fn announce(clock: Clock, pool: &Pool, limit: Option<f64>) -> bool {
    let limit = limit.map(|limit| RateLimit::try_from(limit).unwrap());
    let endpoint = "i-1".parse().unwrap();
    pool.record_limit(&endpoint, Kind::Rejections, limit, clock.now())
}

/// The permits that the pool gives at once.
fn acquire_all(clock: Clock, pool: &Pool) -> Vec<Permit> {
    std::iter::from_fn(|| pool.try_acquire(&call(clock, PATIENCE))).collect()
}

#[tokio::test]
async fn vms_of_a_zone_divide_the_slots_of_a_brittle_endpoint() {
    let (clock, pool) = pool(vec![(zone("a"), vec![OWN, OTHER])]);
    assert_eq!(acquire_all(clock, &pool).len(), 3);
}

#[tokio::test]
async fn vms_of_other_zones_send_nothing_to_a_brittle_endpoint() {
    let (clock, pool) = pool(vec![(zone("a"), vec![OTHER]), (zone("b"), vec![OWN])]);
    // No endpoint of the service is in this VM's zone, so that it shares those of others.
    assert_eq!(acquire_all(clock, &pool).len(), 3);
    let near = Member {
        endpoint: "i-2".parse().unwrap(),
        zone: zone("b"),
        ..member(6)
    };
    pool.update(vec![member(6), near]);
    assert!(announce(clock, &pool, Some(4.0)));
    let endpoints = acquire_all(clock, &pool);
    let far = endpoints.iter().filter(|p| p.endpoint().as_str() == "i-1");
    assert_eq!(far.count(), 0);
    assert!(!endpoints.is_empty());
}

/// Guards against VMs that go on sending to an endpoint which has just turned one away.
#[tokio::test]
async fn nothing_is_sent_for_a_moment_after_a_rejection() {
    let (clock, pool) = pool(vec![(zone("a"), vec![OWN, OTHER])]);
    let permit = pool.try_acquire(&call(clock, PATIENCE)).unwrap();
    permit.failed(&Fault::Refused {
        status: 503,
        retry_after: None,
    });
    assert!(acquire_all(clock, &pool).is_empty());
    let rejected = pool.limit_reports()[0].rejected;
    assert!(rejected.is_some_and(|age| age < Duration::from_secs(1)));
}

#[tokio::test]
async fn a_rejection_of_another_vm_counts_once() {
    let (clock, pool) = pool(vec![(zone("a"), vec![OWN, OTHER])]);
    tokio::time::sleep(Duration::from_millis(5)).await;
    let report = pimento_scheduler::endpoint_limit::Report {
        rejected: Some(Duration::ZERO),
        ..pool.limit_reports()[0]
    };
    pool.merge_limit(report);
    assert!(acquire_all(clock, &pool).is_empty());
    tokio::time::sleep(Duration::from_millis(300)).await;
    let old = pimento_scheduler::endpoint_limit::Report {
        rejected: Some(Duration::from_millis(310)),
        ..report
    };
    pool.merge_limit(old);
    assert!(!acquire_all(clock, &pool).is_empty());
}

/// Guards against a part of the slots that stays small after the endpoint has recovered.
#[tokio::test]
async fn an_endpoint_that_is_no_longer_brittle_gets_all_calls_again() {
    let (clock, pool) = pool(vec![(zone("a"), vec![OWN, OTHER])]);
    tokio::time::sleep(Duration::from_millis(5)).await;
    assert!(announce(clock, &pool, None));
    assert_eq!(acquire_all(clock, &pool).len(), 6);
}

#[tokio::test]
async fn a_call_waits_for_a_slot_of_its_vm() {
    let (clock, pool) = pool(vec![(zone("a"), vec![OWN, OTHER])]);
    let mut running = acquire_all(clock, &pool);
    let never = CancellationToken::new();
    let waiting = pool.acquire(call(clock, PATIENCE), &never);
    let ending = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        drop(running.pop());
    };
    let (permit, ()) = tokio::join!(waiting, ending);
    assert!(permit.is_ok());
}
