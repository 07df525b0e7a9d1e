//! Propagation of configuration: it reaches all VMs within seconds and never reverts.

use std::time::Duration;
use std::time::Instant;

use pimento_standin::Handler;
use pimento_standin::fault::Action;
use pimento_standin::fault::Rule;
use pimento_units::Offset;

use crate::fleet::Fleet;
use crate::fleet::contracts;
use crate::fleet::eventually;

/// Publishes the contract with another weight and returns the offset after that change.
fn publish_weight(fleet: &Fleet, weight: u32) -> Offset {
    let text = contracts().replace("weight = 1", &format!("weight = {weight}"));
    let published = fleet.publish(&text);
    assert!(published.status.success(), "{published:?}");
    let records = fleet.log.handler.records("configuration");
    records.last().expect("published").offset.next()
}

/// Waits until each of the VMs has applied the log up to `offset`. Returns how long each took from
/// the call, where a VM is not checked before those listed ahead of it.
async fn wait_until_in_force(fleet: &Fleet, numbers: &[usize], offset: Offset) -> Vec<Duration> {
    let began = Instant::now();
    let mut times = Vec::new();
    for number in numbers {
        let node = &fleet.nodes[*number].name;
        eventually(&format!("{node} has {offset}"), async || {
            fleet
                .state(*number)
                .await
                .is_some_and(|state| state.offset >= offset)
        })
        .await;
        times.push(began.elapsed());
    }
    times
}

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

/// An operator amends a contract ten times. Each change must come into force at all six VMs. The
/// times are printed for docs/MEASUREMENTS.md.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_every_vm() {
    let fleet = Fleet::start().await;
    let mut slowest = Duration::ZERO;
    for weight in 2..12 {
        let offset = publish_weight(&fleet, weight);
        let times = wait_until_in_force(&fleet, &ALL, offset).await;
        slowest = slowest.max(times.into_iter().max().unwrap_or_default());
    }
    println!("slowest of ten changes at six VMs: {slowest:?}");
}

/// A zone has lost the platform but not the other zones. Changes must reach it through them.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_without_the_platform_hears_from_its_neighbours() {
    let fleet = Fleet::start().await;
    fleet.cut(|cuts| cuts.platform[0] = true);
    let offset = publish_weight(&fleet, 2);
    let times = wait_until_in_force(&fleet, &[0, 1], offset).await;
    println!("through neighbours: {times:?}");
    fleet.heal();
}

/// VMs are replaced during an outage of the log. A new VM must get the configuration from its
/// peers, borrow from their grants and serve requests. Throughout the outage, the replacements and
/// the next change, no VM's offset may decrease.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_goes_back_over_an_outage_and_replacements() {
    let mut fleet = Fleet::start().await;
    let before = publish_weight(&fleet, 2);
    wait_until_in_force(&fleet, &ALL, before).await;
    let out = Action::Refuse {
        status: 503,
        retry_after: Some(1),
        run: None,
    };
    fleet.log.faults.set_rules([Rule::new(out)]);
    for number in [0, 3, 4] {
        fleet.nodes[number].kill();
        fleet.nodes[number].start();
        let node = fleet.nodes[number].name.clone();
        eventually(&format!("{node} is ready"), async || {
            fleet.state(number).await.is_some_and(|state| state.ready)
        })
        .await;
        let state = fleet.state(number).await.expect("it is ready");
        assert!(
            state.offset >= before,
            "the offset of {} decreased",
            state.node
        );
        fleet.wait_until_ready(number).await;
    }
    fleet.log.faults.set_rules([]);
    let after = publish_weight(&fleet, 3);
    let mut seen = [before; ALL.len()];
    eventually("all have the next change", async || {
        for number in ALL {
            let Some(state) = fleet.state(number).await else {
                continue;
            };
            assert!(
                state.offset >= seen[number],
                "the offset of {} decreased",
                state.node
            );
            seen[number] = state.offset;
        }
        seen.iter().all(|offset| *offset >= after)
    })
    .await;
}

/// An operator withdraws a version under load. A VM that has the change must send no request to
/// that version, so that engines start no work on it once all VMs have the change. All requests
/// must be served.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_version_gets_no_new_work() {
    let fleet = Fleet::start().await;
    let started = || -> u64 {
        let work = fleet
            .engines
            .iter()
            .flat_map(|e| e.handler.stats().versions);
        work.filter(|w| w.version.as_str() == "pimento-mini@1")
            .map(|w| w.started)
            .sum()
    };
    let load = async {
        let requests = (0..300_u32).map(|number| {
            let fleet = &fleet;
            async move {
                tokio::time::sleep(Duration::from_millis(20) * number).await;
                let node = &fleet.nodes[number as usize % 6];
                let prompt = format!("question {number}");
                fleet
                    .caller
                    .chat(node, &prompt)
                    .await
                    .map(|answer| answer.status)
            }
        });
        futures::future::join_all(requests).await
    };
    let withdraw = async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert!(started() > 0, "the cheaper version is used before");
        let withdrawn = fleet.ctl(&["version", "withdraw", "pimento-mini@1"]);
        assert!(withdrawn.status.success(), "{withdrawn:?}");
        let records = fleet.log.handler.records("configuration");
        let offset = records.last().expect("published").offset.next();
        wait_until_in_force(&fleet, &ALL, offset).await;
        // A request that was sent before the change may reach its engine a moment later.
        tokio::time::sleep(Duration::from_millis(200)).await;
        started()
    };
    let (statuses, at_withdrawal) = tokio::join!(load, withdraw);
    assert_eq!(started(), at_withdrawal, "new work after the withdrawal");
    let served = statuses
        .iter()
        .filter(|status| **status == Some(200))
        .count();
    assert_eq!(served, statuses.len(), "{statuses:?}");
}
