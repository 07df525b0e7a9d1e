//! Zones cut off from each other and from the platform.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::caller;
use crate::fleet::eventually;
use crate::fleet::relay::ZONES;

/// Answers that were whole, by kind.
#[derive(Default)]
struct Tally {
    whole: u64,
    keys: Vec<(String, bool)>,
}

/// Each VM of a zone answers model requests and repeatable calls.
async fn serves(fleet: &Fleet, zone: usize, tally: &mut Tally) {
    for node in fleet.nodes.iter().filter(|node| node.zone == zone) {
        eventually(&format!("{} serves what it can", node.name), async || {
            let chat = fleet.caller.chat(node, "still there?").await;
            let whole = chat.is_some_and(|answer| answer.status == 200);
            tally.whole += u64::from(whole);
            whole
        })
        .await;
    }
}

/// Sends an order to each VM of a zone and notes what became of it.
async fn orders(fleet: &Fleet, zone: usize, tally: &mut Tally, expect: bool) {
    for node in fleet.nodes.iter().filter(|node| node.zone == zone) {
        let key = caller::key();
        let answer = fleet.caller.order(node, &key).await.expect("answered");
        if expect {
            assert_eq!(answer.status, 200, "{answer:?}");
            tally.whole += 1;
        } else {
            assert!(answer.not_run(), "{answer:?}");
            assert!(answer.header("retry-after").is_some(), "{answer:?}");
            assert_eq!(fleet.runs(&key), 0);
        }
        tally.keys.push((key, expect));
    }
}

/// After healing nothing is doubled, nothing refused has run, every whole answer has its bill and no
/// configuration went back.
async fn healed(fleet: &Fleet, tally: &Tally, before: u64) {
    for (key, placed) in &tally.keys {
        assert_eq!(fleet.runs(key), u64::from(*placed), "{key}");
    }
    let expected = before + tally.whole;
    eventually("all whole answers are billed", async || {
        fleet.billed() >= expected
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

async fn bills_settled(fleet: &Fleet) -> u64 {
    let mut last = fleet.billed();
    loop {
        tokio::time::sleep(Duration::from_secs(3)).await;
        let now = fleet.billed();
        if now == last {
            return now;
        }
        last = now;
    }
}

/// One zone is cut off from the platform and from the other zones, each zone in turn. It goes on
/// answering model requests at its own engine, refuses orders at once as "not run" with when to come
/// back, and the other zones notice nothing. An order asked for on both sides runs once.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_cut_off_serves_what_it_can() {
    let fleet = Fleet::start().await;
    let before = bills_settled(&fleet).await;
    let mut tally = Tally::default();
    for cut in 0..ZONES {
        fleet.cut(|cuts| cuts.isolate(cut));
        for zone in 0..ZONES {
            serves(&fleet, zone, &mut tally).await;
            orders(&fleet, zone, &mut tally, zone != cut).await;
        }
        both_sides(&fleet, cut, &mut tally).await;
        fleet.heal();
        settle(&fleet).await;
    }
    healed(&fleet, &tally, before).await;
}

/// One order under one key at a VM that is cut off and at one that is not.
async fn both_sides(fleet: &Fleet, cut: usize, tally: &mut Tally) {
    let key = caller::key();
    let inside = &fleet.nodes[cut * 2];
    let outside = &fleet.nodes[(cut * 2 + 2) % fleet.nodes.len()];
    let inner = fleet.caller.order(inside, &key);
    let outer = fleet.caller.order(outside, &key);
    let (inner, outer) = tokio::join!(inner, outer);
    assert!(inner.expect("answered").not_run());
    assert_eq!(outer.expect("answered").status, 200);
    tally.whole += 1;
    tally.keys.push((key, true));
}

/// Waits until all VMs claim again, so that the next cut meets a whole fleet.
async fn settle(fleet: &Fleet) {
    for number in 0..fleet.nodes.len() {
        let node = &fleet.nodes[number];
        eventually(&format!("{} has healed", node.name), async || {
            let state = fleet.state(number).await;
            state.is_some_and(|state| state.ready && state.age_ms < 3_000)
        })
        .await;
    }
}

/// All three zones are cut off at once, each for itself. Each serves model requests on the last
/// contracts, and refuses orders as "not run". After healing nothing has run that was refused.
#[tokio::test(flavor = "multi_thread")]
async fn all_zones_cut_off_at_once() {
    let fleet = Fleet::start().await;
    let before = bills_settled(&fleet).await;
    let mut tally = Tally::default();
    fleet.cut(|cuts| (0..ZONES).for_each(|zone| cuts.isolate(zone)));
    for zone in 0..ZONES {
        serves(&fleet, zone, &mut tally).await;
        orders(&fleet, zone, &mut tally, false).await;
    }
    fleet.heal();
    settle(&fleet).await;
    healed(&fleet, &tally, before).await;
}
