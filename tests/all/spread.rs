//! Configuration: in force everywhere in seconds, and never going back.

use std::time::Duration;
use std::time::Instant;

use pimento_standin::Handler;
use pimento_standin::fault::Action;
use pimento_standin::fault::Rule;
use pimento_units::Offset;

use crate::fleet::Fleet;
use crate::fleet::contracts;
use crate::fleet::eventually;

/// Publishes a contract that differs in its weight, and gives the offset after it.
fn amend(fleet: &Fleet, weight: u32) -> Offset {
    let text = contracts().replace("weight = 1", &format!("weight = {weight}"));
    let published = fleet.publish(&text);
    assert!(published.status.success(), "{published:?}");
    let records = fleet.log.handler.records("configuration");
    records.last().expect("published").offset.next()
}

/// Waits until VMs have an offset, and gives how long each took.
async fn in_force(fleet: &Fleet, numbers: &[usize], offset: Offset) -> Vec<Duration> {
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

/// An operator amends a contract ten times. Each change is in force at all six VMs; the times are
/// printed for docs/MEASUREMENTS.md.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_every_vm() {
    let fleet = Fleet::start().await;
    let mut slowest = Duration::ZERO;
    for weight in 2..12 {
        let offset = amend(&fleet, weight);
        let times = in_force(&fleet, &ALL, offset).await;
        slowest = slowest.max(times.into_iter().max().unwrap_or_default());
    }
    println!("slowest of ten changes at six VMs: {slowest:?}");
}

/// A zone has lost the platform but not its neighbours. Changes reach it through them.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_without_the_platform_hears_from_its_neighbours() {
    let fleet = Fleet::start().await;
    fleet.cut(|cuts| cuts.platform[0] = true);
    let offset = amend(&fleet, 2);
    let times = in_force(&fleet, &[0, 1], offset).await;
    println!("through neighbours: {times:?}");
    fleet.heal();
}

/// The log is out. VMs are replaced meanwhile: a new one takes the configuration from its peers,
/// borrows of their grants and serves. Over the outage, the replacements and the next change, no VM's
/// offset ever falls.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_goes_back_over_an_outage_and_replacements() {
    let mut fleet = Fleet::start().await;
    let before = amend(&fleet, 2);
    in_force(&fleet, &ALL, before).await;
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
        assert!(state.offset >= before, "{} went back", state.node);
        fleet.ready(number).await;
    }
    fleet.log.faults.set_rules([]);
    let after = amend(&fleet, 3);
    let mut seen = [before; ALL.len()];
    eventually("all have the next change", async || {
        for number in ALL {
            let Some(state) = fleet.state(number).await else {
                continue;
            };
            assert!(state.offset >= seen[number], "{} went back", state.node);
            seen[number] = state.offset;
        }
        seen.iter().all(|offset| *offset >= after)
    })
    .await;
}

/// An operator withdraws a version under load. Once a VM has the change, no call of its goes to that
/// version: after the last VM has it, the engines start no more work on it.
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
        let asks = (0..300_u32).map(|number| {
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
        futures::future::join_all(asks).await
    };
    let withdraw = async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert!(started() > 0, "the cheaper version is used before");
        let withdrawn = fleet.ctl(&["version", "withdraw", "pimento-mini@1"]);
        assert!(withdrawn.status.success(), "{withdrawn:?}");
        let records = fleet.log.handler.records("configuration");
        let offset = records.last().expect("published").offset.next();
        in_force(&fleet, &ALL, offset).await;
        // A call that was sent before may reach its engine a moment later.
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
