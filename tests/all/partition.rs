//! Network partitions between zones, and between zones and the platform.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::caller;
use crate::fleet::eventually;
use crate::fleet::relay::ZONES;

/// Results of the requests of a test.
#[derive(Default)]
struct Tally {
    /// Number of successful responses.
    answered: u64,
    /// Keys of orders, each with whether it was placed.
    orders: Vec<(String, bool)>,
}

/// Waits until each VM of a zone serves a model request.
async fn check_models(fleet: &Fleet, zone: usize, tally: &mut Tally) {
    for node in fleet.nodes.iter().filter(|node| node.zone == zone) {
        eventually(
            &format!("{} serves a model request", node.name),
            async || {
                let chat = fleet.caller.chat(node, "still there?").await;
                let answered = chat.is_some_and(|answer| answer.status == 200);
                tally.answered += u64::from(answered);
                answered
            },
        )
        .await;
    }
}

/// Sends an order to each VM of a zone. The order must be placed if `placed` is set, and otherwise be
/// refused as not run with a `retry-after`.
async fn check_orders(fleet: &Fleet, zone: usize, tally: &mut Tally, placed: bool) {
    for node in fleet.nodes.iter().filter(|node| node.zone == zone) {
        let key = caller::key();
        let answer = fleet.caller.order(node, &key).await.expect("answered");
        if placed {
            assert_eq!(answer.status, 200, "{answer:?}");
            tally.answered += 1;
        } else {
            assert!(answer.not_run(), "{answer:?}");
            assert!(answer.header("retry-after").is_some(), "{answer:?}");
            assert_eq!(fleet.runs(&key), 0);
        }
        tally.orders.push((key, placed));
    }
}

/// Checks that after the partition each placed order has run once and no refused order has run,
/// that each successful response has a bill, and that all VMs place orders again.
async fn check_after_healing(fleet: &Fleet, tally: &Tally, before: u64) {
    for (key, placed) in &tally.orders {
        assert_eq!(fleet.runs(key), u64::from(*placed), "{key}");
    }
    let expected = before + tally.answered;
    eventually("all successful responses are billed", async || {
        fleet.counted_bills() >= expected
    })
    .await;
    for number in 0..fleet.nodes.len() {
        let node = &fleet.nodes[number];
        eventually(&format!("{} places orders again", node.name), async || {
            let key = caller::key();
            let answer = fleet.caller.order(node, &key).await;
            answer.is_some_and(|answer| answer.status == 200)
        })
        .await;
    }
}

async fn wait_for_stable_bills(fleet: &Fleet) -> u64 {
    let mut last = fleet.counted_bills();
    loop {
        tokio::time::sleep(Duration::from_secs(3)).await;
        let now = fleet.counted_bills();
        if now == last {
            return now;
        }
        last = now;
    }
}

/// Each zone in turn is cut off from the platform and from the other zones. It must go on serving
/// model requests at its own engine, and refuse orders at once as "not run" with a `retry-after`;
/// the other zones must serve both. An order that is sent to both sides of the cut must run once.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_cut_off_serves_what_it_can() {
    let fleet = Fleet::start().await;
    let before = wait_for_stable_bills(&fleet).await;
    let mut tally = Tally::default();
    for cut in 0..ZONES {
        fleet.cut(|cuts| cuts.isolate(cut));
        for zone in 0..ZONES {
            check_models(&fleet, zone, &mut tally).await;
            check_orders(&fleet, zone, &mut tally, zone != cut).await;
        }
        check_order_on_both_sides(&fleet, cut, &mut tally).await;
        fleet.heal();
        wait_until_current(&fleet).await;
    }
    check_after_healing(&fleet, &tally, before).await;
}

/// Sends one order under the same key to a VM that is cut off and to one that is not.
async fn check_order_on_both_sides(fleet: &Fleet, cut: usize, tally: &mut Tally) {
    let key = caller::key();
    let inside = &fleet.nodes[cut * 2];
    let outside = &fleet.nodes[(cut * 2 + 2) % fleet.nodes.len()];
    let inner = fleet.caller.order(inside, &key);
    let outer = fleet.caller.order(outside, &key);
    let (inner, outer) = tokio::join!(inner, outer);
    assert!(inner.expect("answered").not_run());
    assert_eq!(outer.expect("answered").status, 200);
    tally.answered += 1;
    tally.orders.push((key, true));
}

/// Waits until all VMs are ready and their state is less than 3 s old, so that the next cut starts
/// with a healthy fleet.
async fn wait_until_current(fleet: &Fleet) {
    for number in 0..fleet.nodes.len() {
        let node = &fleet.nodes[number];
        eventually(&format!("{} is current again", node.name), async || {
            let state = fleet.state(number).await;
            state.is_some_and(|state| state.ready && state.age_ms < 3_000)
        })
        .await;
    }
}

/// All three zones are isolated at once. Each must serve model requests by the last known contracts
/// and refuse orders as "not run". After the partition no refused order may have run.
#[tokio::test(flavor = "multi_thread")]
async fn all_zones_cut_off_at_once() {
    let fleet = Fleet::start().await;
    let before = wait_for_stable_bills(&fleet).await;
    let mut tally = Tally::default();
    fleet.cut(|cuts| (0..ZONES).for_each(|zone| cuts.isolate(zone)));
    for zone in 0..ZONES {
        check_models(&fleet, zone, &mut tally).await;
        check_orders(&fleet, zone, &mut tally, false).await;
    }
    fleet.heal();
    wait_until_current(&fleet).await;
    check_after_healing(&fleet, &tally, before).await;
}
