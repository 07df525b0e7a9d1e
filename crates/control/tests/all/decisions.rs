//! The pure decisions: fencing, the weight store's token bucket and placement.

use std::time::Duration;

use pimento_contract::service::Fencing;
use pimento_control::bucket::Bucket;
use pimento_control::fence::Decision;
use pimento_control::fence::decide;
use pimento_control::placement::Demand;
use pimento_control::placement::Engine;
use pimento_control::placement::assign;
use pimento_coordination::lease;
use pimento_units::Moment;
use pimento_units::Offset;
use pimento_units::Share;
use pimento_units::id;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use tokio::time::Instant;

use crate::fakes::name;

/// Each row: seconds since the lease was acquired, the lease, the engines' fencing, the expected
/// decision.
#[test]
fn an_order_is_sent_only_while_it_is_safe() {
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let order_timeout = Duration::from_secs(30);
    let held = lease::Held {
        number: Offset(7),
        until: at(100),
        since: at(0),
    };
    let (refuses, ignores) = (Fencing::Refuses, Fencing::Ignores);
    let table = [
        (0, Some(held), refuses, Decision::Allowed(7)),
        (99, Some(held), refuses, Decision::Allowed(7)),
        (100, Some(held), refuses, Decision::Denied),
        (0, Some(held), ignores, Decision::WaitUntil(at(30))),
        (29, Some(held), ignores, Decision::WaitUntil(at(30))),
        (30, Some(held), ignores, Decision::Allowed(7)),
        (100, Some(held), ignores, Decision::Denied),
        (0, None, refuses, Decision::Denied),
        (0, None, ignores, Decision::Denied),
    ];
    for (seconds, held, fencing, expected) in table {
        let found = decide(held, fencing, order_timeout, at(seconds));
        assert_eq!(found, expected, "{seconds} s, {fencing:?}");
    }
}

#[test]
fn a_refusal_blocks_the_bucket_for_its_duration() {
    let mut bucket = Bucket::new(Duration::from_secs(10), 2);
    let now = Moment::from_millis(1_000);
    assert_eq!(bucket.try_acquire(now), Ok(()));
    bucket.block(now, Duration::from_mins(1));
    assert_eq!(bucket.try_acquire(now), Err(Duration::from_mins(1)));
    assert_eq!(bucket.try_acquire(now + Duration::from_mins(1)), Ok(()));
}

fn engines(held: &[Vec<usize>]) -> Vec<Engine> {
    let engine = |(number, held): (usize, &Vec<usize>)| {
        let mut held: Vec<id::Version> = held.iter().map(|number| version(*number)).collect();
        held.sort();
        held.dedup();
        Engine {
            endpoint: name(&format!("engine-{number}")),
            held,
        }
    };
    held.iter().enumerate().map(engine).collect()
}

fn version(number: usize) -> id::Version {
    name(&format!("model@{number}"))
}

fn demands(shares: &[u32]) -> Vec<Demand> {
    let demand = |(number, parts): (usize, &u32)| Demand {
        version: version(number),
        share: Share::from_parts(*parts),
    };
    shares.iter().enumerate().map(demand).collect()
}

proptest! {
    /// Any period grants at most the burst plus one permit per interval, whenever calls come.
    #[test]
    fn the_bucket_never_exceeds_its_rate(gaps in vec(0_u64..30_000, 1..200), burst in 1_u32..5) {
        let interval = Duration::from_secs(10);
        let mut bucket = Bucket::new(interval, burst);
        let mut now = Moment::from_millis(0);
        let mut acquired: Vec<Moment> = Vec::new();
        for gap in gaps {
            now = now + Duration::from_millis(gap);
            match bucket.try_acquire(now) {
                Ok(()) => acquired.push(now),
                Err(wait) => assert_eq!(bucket.clone().try_acquire(now + wait), Ok(()), "the wait is long enough"),
            }
        }
        for (first, begin) in acquired.iter().enumerate() {
            for (last, end) in acquired.iter().enumerate().skip(first) {
                let max = u128::from(burst) + end.since(*begin).as_nanos() / interval.as_nanos();
                assert!((last - first + 1) as u128 <= max);
            }
        }
    }

    /// If the pool has capacity for all versions, each one is on some engine. If every engine has,
    /// each one is on as many engines as its share demands. No engine exceeds its capacity. An
    /// applied assignment is stable; otherwise versions would be loaded and unloaded endlessly.
    #[test]
    fn placement_serves_each_version_and_converges(
        held in vec(vec(0_usize..12, 0..8), 1..8),
        shares in vec(any::<u32>(), 1..10),
        capacity in 1_usize..12,
    ) {
        let shares: Vec<u32> = shares.iter().map(|s| s % 1_000_001).collect();
        let (engines, demands) = (engines(&held), demands(&shares));
        let plans = assign(&engines, &demands, &[], capacity);
        for plan in &plans {
            assert!(plan.versions.len() <= capacity);
            assert!(plan.versions.is_sorted());
        }
        for demand in &demands {
            let replicas = plans.iter().filter(|p| p.versions.contains(&demand.version)).count();
            if engines.len() * capacity >= demands.len() {
                assert!(replicas >= 1);
            }
            if capacity >= demands.len() {
                let parts = u64::from(demand.share.parts()) * engines.len() as u64;
                assert!(replicas as u64 >= parts.div_ceil(1_000_000));
            }
        }
        let after: Vec<Engine> = plans
            .iter()
            .map(|plan| Engine {
                endpoint: plan.endpoint.clone(),
                held: plan.versions.clone(),
            })
            .collect();
        assert_eq!(assign(&after, &demands, &[], capacity), plans);
    }
}
