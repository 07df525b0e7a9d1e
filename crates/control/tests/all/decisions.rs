//! The pure decisions: fencing gate, weight store's bucket, placement.

use std::time::Duration;

use pimento_contract::service::Fencing;
use pimento_control::bucket::Bucket;
use pimento_control::fence::Gate;
use pimento_control::fence::gate;
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

/// Seconds since the lease was taken; whether it was; what the pool's engines do; the gate.
#[test]
fn an_order_is_given_only_while_it_is_safe() {
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let flight = Duration::from_secs(30);
    let held = lease::Fencing {
        number: Offset(7),
        until: at(100),
        since: at(0),
    };
    let (refuses, ignores) = (Fencing::Refuses, Fencing::Ignores);
    let table = [
        (0, Some(held), refuses, Gate::Open(7)),
        (99, Some(held), refuses, Gate::Open(7)),
        (100, Some(held), refuses, Gate::Closed),
        (0, Some(held), ignores, Gate::Settling(at(30))),
        (29, Some(held), ignores, Gate::Settling(at(30))),
        (30, Some(held), ignores, Gate::Open(7)),
        (100, Some(held), ignores, Gate::Closed),
        (0, None, refuses, Gate::Closed),
        (0, None, ignores, Gate::Closed),
    ];
    for (seconds, held, fencing, expected) in table {
        let found = gate(held, fencing, flight, at(seconds));
        assert_eq!(found, expected, "{seconds} s, {fencing:?}");
    }
}

#[test]
fn a_store_that_says_no_is_left_alone_for_as_long_as_it_says() {
    let mut bucket = Bucket::new(Duration::from_secs(10), 2);
    let now = Moment::from_millis(1_000);
    assert_eq!(bucket.take(now), Ok(()));
    bucket.block(now, Duration::from_mins(1));
    assert_eq!(bucket.take(now), Err(Duration::from_mins(1)));
    assert_eq!(bucket.take(now + Duration::from_mins(1)), Ok(()));
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
    /// Whatever comes when, any stretch of time sees at most the burst and one for each interval.
    #[test]
    fn the_bucket_keeps_its_rate(gaps in vec(0_u64..30_000, 1..200), burst in 1_u32..5) {
        let interval = Duration::from_secs(10);
        let mut bucket = Bucket::new(interval, burst);
        let mut now = Moment::from_millis(0);
        let mut taken: Vec<Moment> = Vec::new();
        for gap in gaps {
            now = now + Duration::from_millis(gap);
            match bucket.take(now) {
                Ok(()) => taken.push(now),
                Err(wait) => assert_eq!(bucket.clone().take(now + wait), Ok(()), "the wait is true"),
            }
        }
        for (first, begin) in taken.iter().enumerate() {
            for (last, end) in taken.iter().enumerate().skip(first) {
                let most = u128::from(burst) + end.since(*begin).as_nanos() / interval.as_nanos();
                assert!((last - first + 1) as u128 <= most);
            }
        }
    }

    /// Each version is held somewhere while there is room for all, by as many as its share asks if
    /// there is room; no engine holds more than it can; and an assignment carried out is stable, or
    /// versions would be loaded back and forth for ever.
    #[test]
    fn placement_serves_each_version_and_comes_to_rest(
        held in vec(vec(0_usize..12, 0..8), 1..8),
        shares in vec(any::<u32>(), 1..10),
        room in 1_usize..12,
    ) {
        let shares: Vec<u32> = shares.iter().map(|s| s % 1_000_001).collect();
        let (engines, demands) = (engines(&held), demands(&shares));
        let plans = assign(&engines, &demands, &[], room);
        for plan in &plans {
            assert!(plan.versions.len() <= room);
            assert!(plan.versions.is_sorted());
        }
        for demand in &demands {
            let places = plans.iter().filter(|p| p.versions.contains(&demand.version)).count();
            if engines.len() * room >= demands.len() {
                assert!(places >= 1);
            }
            if room >= demands.len() {
                let parts = u64::from(demand.share.parts()) * engines.len() as u64;
                assert!(places as u64 >= parts.div_ceil(1_000_000));
            }
        }
        let after: Vec<Engine> = plans
            .iter()
            .map(|plan| Engine {
                endpoint: plan.endpoint.clone(),
                held: plan.versions.clone(),
            })
            .collect();
        assert_eq!(assign(&after, &demands, &[], room), plans);
    }
}
