//! Endpoints that have just started, and jobs that may not go everywhere.

mod common;

use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_policy::cold::Bound;
use pimento_policy::throttle::RateLimit;
use pimento_scheduler::Clock;
use pimento_scheduler::ColdStart;
use pimento_scheduler::Job;
use pimento_scheduler::Member;
use pimento_scheduler::NoSlot;
use pimento_scheduler::Participants;
use pimento_scheduler::Permit;
use pimento_scheduler::Pool;
use pimento_scheduler::Scheduler;
use pimento_units::Tokens;
use tokio_util::sync::CancellationToken;

use self::common::call;
use self::common::member;

/// This VM, and another VM of the endpoints' zone.
const OWN: u64 = 1;
const OTHER: u64 = 2;

fn endpoint(name: &str, zone: &str, cold: Option<Duration>) -> Member {
    let rate = RateLimit::try_from(8.4).unwrap();
    Member {
        endpoint: name.parse().unwrap(),
        zone: zone.parse().unwrap(),
        cold: cold.map(|remaining| ColdStart {
            remaining,
            bound: Bound::new(rate, 1.5, 5),
        }),
        ..member(6)
    }
}

/// A pool whose endpoints in zone `a` these VMs share.
fn pool(vms: &[u64], members: Vec<Member>) -> (Clock, Scheduler, Pool) {
    let clock = Clock::default();
    let scheduler = Scheduler::new(clock);
    let zone = "a".parse().unwrap();
    scheduler.set_participants(&Participants::new(OWN, vec![(zone, vms.to_vec())]));
    let pool = scheduler.pool(&"service".parse().unwrap());
    pool.update(members);
    (clock, scheduler, pool)
}

async fn acquire(pool: &Pool, job: Job) -> Result<Permit, NoSlot> {
    pool.acquire(job, &CancellationToken::new()).await
}

/// Guards against a cold endpoint that draws all calls because it is idle.
#[tokio::test]
async fn a_cold_endpoint_gets_nothing_while_a_warm_one_has_a_slot() {
    let cold = endpoint("i-1", "a", Some(Duration::from_secs(3)));
    let (clock, _scheduler, pool) = pool(&[OWN], vec![cold, endpoint("i-2", "b", None)]);
    let mut permits = Vec::new();
    for _ in 0..5 {
        let job = call(clock, Duration::from_secs(10));
        let permit = acquire(&pool, job).await.unwrap();
        assert_eq!(permit.endpoint().as_str(), "i-2");
        assert!(!permit.is_cold());
        permits.push(permit);
    }
}

/// Guards against a VM that sends a cold endpoint more than its share, and against calls that wait for it
/// in vain although they could be refused at once.
#[tokio::test]
async fn where_all_endpoints_are_cold_a_vm_sends_its_share_and_refuses_the_rest_at_once() {
    let cold = endpoint("i-1", "a", Some(Duration::from_secs(30)));
    let (clock, _scheduler, pool) = pool(&[OWN], vec![cold]);
    let mut permits = 0;
    let mut refused = 0;
    let began = clock.now();
    for _ in 0..10 {
        match acquire(&pool, call(clock, Duration::from_millis(2_500))).await {
            Ok(permit) => {
                assert!(permit.is_cold());
                permit.served(Tokens(1));
                permits += 1;
            }
            Err(NoSlot::Cold { after }) => {
                assert!(after <= Duration::from_secs(30), "{after:?}");
                refused += 1;
            }
            Err(other) => panic!("{other:?}"),
        }
    }
    let took = clock.now().since(began).as_secs_f64();
    // Five calls in any one second: a third of the bound of seventeen.
    assert!(
        f64::from(permits) <= 5.0 * (took + 1.0),
        "{permits} calls in {took} s"
    );
    assert!(permits > 0 || refused > 0);
}

/// Guards against a VM without a share of a cold endpoint that sends to it, or tells its caller nothing of
/// when it may come back.
#[tokio::test]
async fn a_vm_without_a_share_refuses_until_the_endpoint_is_warm() {
    let cold = endpoint("i-1", "b", Some(Duration::from_secs(4)));
    let (clock, _scheduler, pool) = pool(&[OTHER], vec![cold]);
    let refused = acquire(&pool, call(clock, Duration::from_secs(2))).await;
    let Err(NoSlot::Cold { after }) = refused else {
        panic!("{refused:?}");
    };
    assert!(after > Duration::from_secs(2) && after <= Duration::from_secs(4));
}

/// Guards against a call that is refused although the endpoint will be warm long before its deadline.
#[tokio::test]
async fn a_call_with_enough_time_waits_until_the_endpoint_is_warm() {
    let cold = endpoint("i-1", "b", Some(Duration::from_millis(300)));
    let (clock, _scheduler, pool) = pool(&[OTHER], vec![cold]);
    let permit = acquire(&pool, call(clock, Duration::from_secs(20))).await;
    assert!(!permit.unwrap().is_cold());
}

/// Guards against an endpoint that becomes cold again at a moment when this VM's share is full.
#[tokio::test]
async fn an_endpoint_that_becomes_cold_again_gets_nothing_that_was_saved() {
    let cold = |millis| vec![endpoint("i-1", "a", Some(Duration::from_millis(millis)))];
    let (clock, _scheduler, pool) = pool(&[OWN], cold(50));
    tokio::time::sleep(Duration::from_millis(400)).await;
    pool.update(cold(10_000));
    let began = clock.now();
    let first = acquire(&pool, call(clock, Duration::from_secs(5))).await;
    assert!(first.unwrap().is_cold());
    // Four calls a second, none of which was saved.
    let waited = clock.now().since(began);
    assert!(waited >= Duration::from_millis(200), "{waited:?}");
}

/// Guards against a job that runs outside of its zones, or that waits behind jobs for other zones.
#[tokio::test]
async fn a_job_goes_only_to_the_zones_that_it_allows() {
    let members = vec![endpoint("i-1", "a", None), endpoint("i-2", "b", None)];
    let (clock, _scheduler, pool) = pool(&[OWN], members);
    let job = |zone: &str| {
        let mut job = call(clock, Duration::from_secs(10));
        job.requirement.zones = Some(vec![zone.parse().unwrap()]);
        job
    };
    for _ in 0..5 {
        let permit = acquire(&pool, job("b")).await.unwrap();
        assert_eq!(permit.endpoint().as_str(), "i-2");
        permit.served(Tokens(1));
    }
    let elsewhere = acquire(&pool, job("c")).await;
    assert!(
        matches!(elsewhere, Err(NoSlot::NoEndpoint { .. })),
        "{elsewhere:?}"
    );
}

/// Guards against callers that must stay in a region and are refused for seconds, because its only endpoint
/// is ejected while those of other regions are well.
#[tokio::test]
async fn the_only_endpoint_of_a_region_serves_it_although_it_is_ejected() {
    let members = vec![endpoint("i-1", "a", None), endpoint("i-2", "b", None)];
    let (clock, _scheduler, pool) = pool(&[OWN], members);
    let at_home = || {
        let mut job = call(clock, Duration::from_secs(3));
        job.requirement.zones = Some(vec!["b".parse().unwrap()]);
        job
    };
    for _ in 0..3 {
        let permit = acquire(&pool, at_home()).await.unwrap();
        permit.failed(&Fault::Failed { status: 500 });
    }
    assert_eq!(pool.metrics().ejected, 1);
    let permit = acquire(&pool, at_home()).await.unwrap();
    assert_eq!(permit.endpoint().as_str(), "i-2");
}

/// Guards against a queued call that is sent to a zone which was evacuated while it waited.
#[tokio::test]
async fn a_waiting_call_is_placed_anew_when_its_endpoint_may_get_nothing_more() {
    let (clock, _scheduler, pool) = pool(&[OWN], vec![endpoint("i-1", "a", None)]);
    let mut running = Vec::new();
    while let Some(permit) = pool.try_acquire(&call(clock, Duration::from_secs(10))) {
        running.push(permit);
    }
    let waiting = acquire(&pool, call(clock, Duration::from_secs(10)));
    let evacuate = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let closed = Member {
            usable: false,
            ..endpoint("i-1", "a", None)
        };
        pool.update(vec![closed, endpoint("i-2", "b", None)]);
        running.clear();
    };
    let (permit, ()) = tokio::join!(waiting, evacuate);
    assert_eq!(permit.unwrap().endpoint().as_str(), "i-2");
}
