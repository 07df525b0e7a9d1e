//! Entry VMs that are killed or frozen while they serve.

use std::time::Duration;

use pimento_ledger::usage;
use pimento_standin::fault::Action;
use pimento_standin::fault::Rule;
use pimento_units::Share;
use uuid::Uuid;

use crate::fleet::Fleet;
use crate::fleet::Node;
use crate::fleet::caller;
use crate::fleet::caller::Answer;
use crate::fleet::eventually;

/// Orders in the run with kills; enough that each kill strikes some.
const ORDERS: usize = 150;
/// Time between two orders.
const PACE: Duration = Duration::from_millis(60);
/// How long an order waits before or after it takes effect, so that kills strike there.
const WORK: u64 = 120;
/// Tries of an order by its caller.
const TRIES: usize = 6;

/// What a caller learned of its order.
#[derive(Debug, Default)]
struct Outcome {
    key: String,
    placed: bool,
    all_not_run: bool,
}

/// Sends one order until it is placed, or no VM will run it any more. The caller keeps its key.
async fn order(fleet: &Fleet, first: usize) -> Outcome {
    let mut outcome = Outcome {
        key: caller::key(),
        placed: false,
        all_not_run: true,
    };
    for attempt in 0..TRIES {
        let node = &fleet.nodes[(first + attempt) % fleet.nodes.len()];
        match fleet.caller.order(node, &outcome.key).await {
            Some(answer) if answer.status == 200 => {
                outcome.placed = true;
                return outcome;
            }
            Some(answer) if answer.not_run() => {}
            // Also where the connection did not stand, or broke: the caller can't tell.
            _ => outcome.all_not_run = false,
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    outcome
}

/// Callers send drum orders all the time and repeat them under the same key at other VMs when one
/// breaks off, while three VMs are killed one after the other and come back. Whatever was claimed,
/// dispatched or answered at that moment, no order runs twice, each one that was placed ran, each
/// that was "not run" did not, and every placed order has one bill.
#[tokio::test(flavor = "multi_thread")]
async fn kills_double_no_order_and_lose_no_bill() {
    let mut fleet = Fleet::start().await;
    for desk in &fleet.desks {
        let half = Share::from_parts(500_000);
        let before = Rule::new(Action::Delay { ms: WORK }).share(half);
        let after = Rule::new(Action::Late { ms: WORK }).share(half);
        desk.faults.set_rules([before, after]);
    }
    let outcomes = run_with_kills(&mut fleet).await;
    let placed = outcomes.iter().filter(|outcome| outcome.placed).count();
    println!("{placed} of {ORDERS} orders were placed over three kills");
    assert!(
        placed * 10 >= ORDERS * 8,
        "only {placed} of {ORDERS} were placed"
    );
    for outcome in &outcomes {
        let runs = fleet.runs(&outcome.key);
        assert!(runs <= 1, "{} ran {runs} times", outcome.key);
        assert!(
            !outcome.placed || runs == 1,
            "{} was placed and did not run",
            outcome.key
        );
        assert!(
            !outcome.all_not_run || outcome.placed || runs == 0,
            "{} ran",
            outcome.key
        );
    }
    let placed: Vec<&Outcome> = outcomes.iter().filter(|outcome| outcome.placed).collect();
    eventually("each placed order is billed", async || {
        let fold = folded(&fleet);
        let customer = "garage".parse().expect("a name");
        placed.iter().all(|outcome| {
            let request = outcome.key.parse().expect("a UUID");
            fold.billed(request, &customer)
        })
    })
    .await;
}

async fn run_with_kills(fleet: &mut Fleet) -> Vec<Outcome> {
    // The fleet is lent to the orders, so kills go by process id through a second handle.
    let victims = [0, 2, 4];
    let mut outcomes = Vec::new();
    for part in 0..=victims.len() {
        let orders = ORDERS / (victims.len() + 1) + usize::from(part == 0) * 2;
        let kill = victims.get(part).copied();
        outcomes.extend(burst(fleet, orders, kill).await);
        if let Some(victim) = kill {
            fleet.nodes[victim].start();
            fleet.ready(victim).await;
        }
    }
    outcomes
}

/// Sends orders at a steady pace and kills a VM in the middle of them.
async fn burst(fleet: &mut Fleet, orders: usize, kill: Option<usize>) -> Vec<Outcome> {
    let id = kill.map(|victim| fleet.nodes[victim].id());
    let shared: &Fleet = fleet;
    let send = futures::future::join_all((0..orders).map(|number| async move {
        tokio::time::sleep(PACE * u32::try_from(number).expect("few")).await;
        order(shared, number).await
    }));
    let strike = async {
        tokio::time::sleep(PACE * u32::try_from(orders / 2).expect("few")).await;
        if let Some(id) = id {
            Node::kill_process(id);
        }
    };
    let (outcomes, ()) = tokio::join!(send, strike);
    if let Some(victim) = kill {
        fleet.nodes[victim].kill();
    }
    outcomes
}

fn folded(fleet: &Fleet) -> usage::Fold {
    let mut fold = usage::Fold::default();
    for bill in fleet.bills() {
        fold.apply(&bill);
    }
    fold
}

/// A claimer is frozen while its claim is on the way to the log, and wakes up long after its caller
/// has gone. Its claim stands in the log by then and it owns the order; it must not run it any
/// more. The caller, told nothing, asks elsewhere under the same key: the order runs at most once.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_claimer_wakes_up_too_late() {
    let fleet = Fleet::start().await;
    let key = caller::key();
    // The claim takes effect at once; its answer, and the reading of it, come after the freeze.
    fleet
        .log
        .faults
        .set_rules([Rule::new(Action::Late { ms: 1_500 })]);
    // Reads that were waiting before the fault was set still answer at once; they end in a second.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let frozen = &fleet.nodes[0];
    let claimed = async {
        eventually("the claim is on the log", async || claims(&fleet, &key)).await;
        frozen.signal("STOP");
        fleet.log.faults.set_rules([]);
        tokio::time::sleep(Duration::from_secs(4)).await;
        let elsewhere = fleet.caller.order(&fleet.nodes[2], &key).await;
        frozen.signal("CONT");
        elsewhere
    };
    let first = fleet
        .caller
        .order_within(frozen, &key, Duration::from_secs(3));
    let (first, elsewhere) = tokio::join!(first, claimed);
    let elsewhere = elsewhere.expect("answered");
    assert_ne!(
        elsewhere.status, 200,
        "the claim of another VM stood: {elsewhere:?}"
    );
    assert!(first.is_none_or(|answer| answer.status != 200), "too late");
    eventually("the order can be placed again", async || {
        let again = fleet.caller.order(&fleet.nodes[3], &key).await;
        assert!(fleet.runs(&key) <= 1, "ran twice");
        again.is_some_and(|answer| answer.status == 200)
    })
    .await;
    assert_eq!(fleet.runs(&key), 1);
}

fn claims(fleet: &Fleet, key: &str) -> bool {
    let id: Uuid = key.parse().expect("a UUID");
    let name = id.to_string();
    let records = fleet.log.handler.records("claims");
    records.iter().any(|entry| entry.record.contains(&name))
}

/// The same order at two VMs at the very same moment, many times. Each runs once, and both callers
/// hear of it: one gets the answer, the other the kept answer or a refusal that is not "not run".
#[tokio::test(flavor = "multi_thread")]
async fn one_order_at_two_vms_at_once() {
    let fleet = Fleet::start().await;
    for round in 0..20 {
        let key = caller::key();
        let one = fleet.caller.order(&fleet.nodes[round % 6], &key);
        let two = fleet.caller.order(&fleet.nodes[(round + 3) % 6], &key);
        let (one, two) = tokio::join!(one, two);
        assert_eq!(fleet.runs(&key), 1);
        let answers = [one.expect("answered"), two.expect("answered")];
        let placed = answers.iter().filter(|answer| answer.status == 200).count();
        assert!(placed >= 1, "{answers:?}");
        let denied = answers.iter().any(Answer::not_run);
        assert!(!denied, "an order that ran is called not run: {answers:?}");
    }
}
