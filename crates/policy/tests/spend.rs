//! Spend near the limit on six nodes, of which one is cut off from the log and one has crashed. It
//! never exceeds the limit, and little of the limit is stranded.

mod model;

use model::spend::NODES;
use model::spend::money;
use model::spend::spend;
use pimento_policy::budget::Config;
use pimento_policy::budget::Grants;
use pimento_units::Moment;
use pimento_units::Money;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::Config as Runner;
use proptest::test_runner::RngSeed;

// Six nodes spend one customer's money, each out of its grants. At second 5, node 0 is cut off from
// the log and node 1 crashes. Node 0 serves until its grants are used up and then refuses; node 1's
// grants stay unused. Together the nodes never spend more than the limit, and only a small part of
// it is stranded, because grants shrink near the limit.
#[test]
fn near_the_limit_nobody_overspends() {
    let limit = 300_000;
    let run = spend(limit, 5, 60);
    assert!(run.spent <= money(limit), "spent {} of {limit}", run.spent);
    assert!(run.served > 0 && run.refused > 0, "the limit was reached");
    let stranded = run.stranded.micros();
    assert!(stranded * 10 <= limit, "{stranded} of {limit} stranded");
    assert_eq!(
        run.spent + run.stranded,
        money(limit),
        "the rest is in grants"
    );
}

// A node whose request to the log is pending makes no second one. Two grants would strand twice as
// much, and a request whose answer was lost may have taken effect.
#[test]
fn one_request_is_pending_at_a_time() {
    let mut node = Grants::new(Config::default());
    let now = Moment::ZERO;
    assert!(node.request(money(1_000_000), NODES, now).is_some());
    assert!(node.request(money(1_000_000), NODES, now).is_none());
    node.clear_request();
    assert!(node.request(money(1_000_000), NODES, now).is_some());
}

// A call may cost more than was reserved for it. The charge stops at the reservation, or the calls
// in flight could exceed the limit. The service bears the difference, not the customer.
#[test]
fn charge_stops_at_the_reservation() {
    let mut node = Grants::new(Config::default());
    node.add(money(1_000));
    let reservation = node.reserve(money(600)).expect("covered");
    assert!(node.reserve(money(600)).is_none(), "the rest is set aside");
    assert_eq!(
        node.settle(reservation, money(5_000), Moment::ZERO),
        money(600)
    );
    assert_eq!(node.available(), money(400));
}

// Released money is unavailable before the record is written, so that a node can't spend it while
// it is granted to another node.
#[test]
fn released_money_is_not_spent() {
    let mut node = Grants::new(Config::default());
    node.add(money(1_000_000));
    let surplus = node.surplus(Moment::ZERO);
    assert!(surplus > Money::ZERO);
    assert_eq!(node.release(surplus), surplus);
    assert!(node.reserve(surplus).is_none());
}

proptest! {
    #![proptest_config(Runner { cases: 64, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Runner::default() })]

    #[test]
    fn never_over_the_limit(limit in 0_u64..2_000_000, cut in 0_u64..20) {
        let run = spend(limit, cut, 20);
        assert!(run.spent <= money(limit));
    }

    /// In any order of reservations, settlements and releases, the money spent and set aside never
    /// exceeds the grants.
    #[test]
    fn never_over_the_grant(steps in proptest::collection::vec((0_u8..4, 0_u64..5_000), 1..200), late in any::<bool>()) {
        let mut node = Grants::new(Config::default());
        let mut granted = 0;
        let mut open = Vec::new();
        for (step, amount) in steps {
            match step {
                0 => { node.add(money(amount)); granted += amount; }
                1 => open.extend(node.reserve(money(amount))),
                2 => if let Some(reservation) = open.pop() { node.settle(reservation, money(amount), Moment::ZERO); },
                _ => granted -= node.release(money(amount)).micros(),
            }
            let aside: u64 = open.iter().map(|r| r.amount().micros()).sum();
            assert!(node.spent().micros() + aside <= granted);
            assert_eq!(node.spent().micros() + aside + node.available().micros(), granted);
        }
        if late {
            for reservation in open { node.settle(reservation, Money::MAX, Moment::ZERO); }
            assert!(node.spent().micros() <= granted);
        }
    }
}
