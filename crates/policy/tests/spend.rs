//! Spend near the limit on six nodes, one cut off from the log and one dead: never over, and how
//! much of the limit is stranded.

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

// Six nodes spend one customer's money, each out of its grants. At second 5 node 0 is cut off from
// the log and node 1 dies. Node 0 serves on until its grant is used up and then refuses; node 1's
// grant stays set aside. Together they never spend more than the limit; what is stranded is a
// small part of it, as grants shrink near the limit.
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

// A node whose ask is still on its way to the log asks no second time: two grants would strand twice
// as much, and an answer that was lost may have taken effect.
#[test]
fn one_ask_is_out_at_a_time() {
    let mut node = Grants::new(Config::default());
    let now = Moment::ZERO;
    assert!(node.request(money(1_000_000), NODES, now).is_some());
    assert!(node.request(money(1_000_000), NODES, now).is_none());
    node.request_done();
    assert!(node.request(money(1_000_000), NODES, now).is_some());
}

// A call that costs more than it could have been charged is our loss, not the customer's: the charge
// stops at what was reserved, or the limit would be passed by what was in flight.
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

// What a node gives back is gone before the record is written, so that it can't spend it while
// another node is granted it.
#[test]
fn given_back_is_not_spent() {
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

    /// Whatever is reserved, settled and given back in whatever order: spent and set aside never
    /// exceed what was granted.
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
