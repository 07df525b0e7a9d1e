//! Entry VMs that are killed or frozen while they serve requests.

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

/// Number of orders in the test with kills, enough for each kill to hit some.
const ORDERS: usize = 150;
/// Interval between two orders.
const ORDER_INTERVAL: Duration = Duration::from_millis(60);
/// How long the service delays an order before or after it takes effect, so that kills hit that
/// time.
const DELAY_MS: u64 = 120;
/// Maximum attempts of a caller to place an order.
const MAX_ATTEMPTS: usize = 6;

/// What the caller learned about its order.
#[derive(Debug, Default)]
struct Outcome {
    key: String,
    placed: bool,
    all_not_run: bool,
}

/// Sends an order to one VM after another under the same key, until it is placed or the attempts
/// are exhausted.
async fn order(fleet: &Fleet, first: usize) -> Outcome {
    let mut outcome = Outcome {
        key: caller::key(),
        placed: false,
        all_not_run: true,
    };
    for attempt in 0..MAX_ATTEMPTS {
        let node = &fleet.nodes[(first + attempt) % fleet.nodes.len()];
        match fleet.caller.order(node, &outcome.key).await {
            Some(answer) if answer.status == 200 => {
                outcome.placed = true;
                return outcome;
            }
            Some(answer) if answer.not_run() => {}
            // Includes failed and broken connections, after which the caller can't tell whether the
            // order ran.
            _ => outcome.all_not_run = false,
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    outcome
}

/// Callers send drum orders at a steady rate, and retry failed ones under the same key at other
/// VMs, while three VMs are killed and restarted one after the other. No matter whether an order
/// was claimed, dispatched or answered at the kill, no order may run twice, each placed order must
/// have run, none that all VMs reported as "not run" may have run, and each placed order must have
/// a bill.
#[tokio::test(flavor = "multi_thread")]
async fn kills_double_no_order_and_lose_no_bill() {
    let mut fleet = Fleet::start().await;
    for service in &fleet.services {
        let half = Share::from_parts(500_000);
        let before = Rule::new(Action::Delay { ms: DELAY_MS }).share(half);
        let after = Rule::new(Action::Late { ms: DELAY_MS }).share(half);
        service.faults.set_rules([before, after]);
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
        let fold = fold_bills(&fleet);
        let customer = "garage".parse().expect("a name");
        placed.iter().all(|outcome| {
            let request = outcome.key.parse().expect("a UUID");
            fold.billed(request, &customer)
        })
    })
    .await;
}

async fn run_with_kills(fleet: &mut Fleet) -> Vec<Outcome> {
    // `send_orders` borrows the fleet while it sends, so it kills by process id.
    let victims = [0, 2, 4];
    let mut outcomes = Vec::new();
    for batch in 0..=victims.len() {
        let orders = ORDERS / (victims.len() + 1) + usize::from(batch == 0) * 2;
        let kill = victims.get(batch).copied();
        outcomes.extend(send_orders(fleet, orders, kill).await);
        if let Some(victim) = kill {
            fleet.nodes[victim].start();
            fleet.wait_until_ready(victim).await;
        }
    }
    outcomes
}

/// Sends orders at a steady rate and kills a VM halfway, if `kill` names one.
async fn send_orders(fleet: &mut Fleet, orders: usize, kill: Option<usize>) -> Vec<Outcome> {
    let id = kill.map(|victim| fleet.nodes[victim].id());
    let shared: &Fleet = fleet;
    let send = futures::future::join_all((0..orders).map(|number| async move {
        tokio::time::sleep(ORDER_INTERVAL * u32::try_from(number).expect("few")).await;
        order(shared, number).await
    }));
    let kill_halfway = async {
        tokio::time::sleep(ORDER_INTERVAL * u32::try_from(orders / 2).expect("few")).await;
        if let Some(id) = id {
            Node::kill_process(id);
        }
    };
    let (outcomes, ()) = tokio::join!(send, kill_halfway);
    if let Some(victim) = kill {
        fleet.nodes[victim].kill();
    }
    outcomes
}

fn fold_bills(fleet: &Fleet) -> usage::Fold {
    let mut fold = usage::Fold::default();
    for bill in fleet.bills() {
        fold.apply(&bill);
    }
    fold
}

/// A VM is frozen after its claim has reached the log and before it reads the response, and resumes
/// long after its caller has given up. Its claim owns the order, but it must not run the order that
/// late. The caller got no response and retries at other VMs under the same key; the order may run
/// at most once.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_claimer_wakes_up_too_late() {
    let fleet = Fleet::start().await;
    let key = caller::key();
    // The claim takes effect at once; the response to it, and reads that return it, come after the
    // freeze.
    fleet
        .log
        .faults
        .set_rules([Rule::new(Action::Late { ms: 1_500 })]);
    // Reads that were already waiting are not delayed by the rule; they end within a second.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let frozen = &fleet.nodes[0];
    let freeze_and_retry = async {
        eventually("the claim is on the log", async || has_claim(&fleet, &key)).await;
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
    let (first, elsewhere) = tokio::join!(first, freeze_and_retry);
    let elsewhere = elsewhere.expect("answered");
    assert_ne!(
        elsewhere.status, 200,
        "the claim of the frozen VM still holds: {elsewhere:?}"
    );
    assert!(
        first.is_none_or(|answer| answer.status != 200),
        "the frozen VM ran the order too late"
    );
    eventually("the order can be placed again", async || {
        let again = fleet.caller.order(&fleet.nodes[3], &key).await;
        assert!(fleet.runs(&key) <= 1, "ran twice");
        again.is_some_and(|answer| answer.status == 200)
    })
    .await;
    assert_eq!(fleet.runs(&key), 1);
}

fn has_claim(fleet: &Fleet, key: &str) -> bool {
    let id: Uuid = key.parse().expect("a UUID");
    let name = id.to_string();
    let records = fleet.log.handler.records("claims");
    records.iter().any(|entry| entry.record.contains(&name))
}

/// Two callers send the same order to two VMs at the same time, in 20 rounds. Each order must run
/// once. One caller must get the response, the other the retained response or an error other than
/// "not run".
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
        let reported_not_run = answers.iter().any(Answer::not_run);
        assert!(
            !reported_not_run,
            "an order that ran is reported as not run: {answers:?}"
        );
    }
}
