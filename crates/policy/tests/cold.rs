//! Cold endpoints before many VMs: an empty, idle endpoint is the best choice of each of them.

use std::time::Duration;

use pimento_policy::cold;
use pimento_policy::cold::Bound;
use pimento_policy::throttle::RateLimit;
use pimento_policy::throttle::Throttle;
use pimento_units::Moment;

/// The endpoint's key.
const ENDPOINT: u64 = 77;

/// Time between two steps of the simulation, and the time simulated.
const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(5);

fn bound(rate: f64) -> Bound {
    Bound::new(RateLimit::try_from(rate).unwrap(), 1.5, 5)
}

/// The VMs that each of `count` VMs knows, if they are split into groups that don't hear each other.
fn views(count: u64, groups: u64) -> Vec<Vec<u64>> {
    let group = |own: u64| (0..count).filter(move |vm| vm % groups == own % groups);
    (0..count).map(|own| group(own).collect()).collect()
}

/// When calls arrive if each VM always has one more for the endpoint.
fn arrivals(bound: Bound, views: &[Vec<u64>]) -> Vec<Moment> {
    let start = Moment::ZERO + Duration::from_secs(100);
    let mut throttles: Vec<Throttle> = (0..)
        .zip(views)
        .map(|(own, known)| {
            let mut throttle = Throttle::new(0.0, start);
            throttle.set_rate(cold::share(bound, ENDPOINT, own, known), start);
            throttle
        })
        .collect();
    let mut now = start;
    let mut arrived = Vec::new();
    while now < start + LENGTH {
        for throttle in &mut throttles {
            if throttle.can_send(now) {
                throttle.consume(now);
                arrived.push(now);
            }
        }
        now = now + STEP;
    }
    arrived
}

/// The most calls in any one second.
fn max_in_a_second(arrived: &[Moment]) -> usize {
    let count = |first: &Moment| {
        let end = *first + Duration::from_secs(1);
        arrived
            .iter()
            .filter(|at| (*first..end).contains(*at))
            .count()
    };
    arrived.iter().map(count).max().unwrap_or(0)
}

/// Guards against hundreds of VMs that each send a cold endpoint one call in the same second.
#[test]
fn a_cold_endpoint_gets_no_more_than_its_bound_from_all_vms_together() {
    for count in [1, 2, 5, 26, 79, 300] {
        for rate in [0.0, 1.0, 8.4, 40.0, 250.0] {
            let bound = bound(rate);
            let most = max_in_a_second(&arrivals(bound, &views(count, 1)));
            let allowed = usize::try_from(bound.calls()).unwrap();
            assert!(most <= allowed, "{count} VMs at {rate}: {most} calls");
            assert!(most > 0, "{count} VMs at {rate}: nobody sends");
        }
    }
}

/// Guards against VMs that were cut off or started anew, and find other owners than the rest do.
#[test]
fn the_bound_holds_while_three_groups_of_vms_know_only_themselves() {
    for groups in [2, 3] {
        for count in [6, 26, 79, 300] {
            for rate in [1.0, 8.4, 40.0] {
                let bound = bound(rate);
                let most = max_in_a_second(&arrivals(bound, &views(count, groups)));
                let allowed = usize::try_from(bound.calls()).unwrap();
                assert!(most <= allowed, "{groups} of {count} at {rate}: {most}");
            }
        }
    }
}

/// Guards against a VM of another zone, or one that has left, that sends to a cold endpoint besides its
/// owners.
#[test]
fn a_vm_that_does_not_share_sends_nothing() {
    let share = cold::share(bound(8.4), ENDPOINT, 9, &[1, 2, 3]);
    assert!(share.abs() < f64::EPSILON, "{share}");
}

/// Guards against a zone that can't serve its callers although its endpoints together could: 47 cold
/// endpoints take more than the 150 calls a second that 26 VMs have for them.
#[test]
fn cold_endpoints_of_a_zone_together_take_its_load() {
    let known: Vec<u64> = (0..26).collect();
    let shares = |endpoint| {
        let share = |own| cold::share(bound(8.4), endpoint, own, &known);
        (0..26).map(share).sum::<f64>()
    };
    let all: f64 = (0..47).map(shares).sum();
    assert!(all > 150.0, "{all} calls a second");
}
