//! Bills have two holders before the last byte is sent, and are counted once.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use pimento_coordination::Appender;
use pimento_coordination::appender;
use pimento_coordination::bills::Config;
use pimento_coordination::bills::Full;
use pimento_coordination::bills::NotStored;
use pimento_coordination::bills::Outbox;
use pimento_coordination::bills::Peers;
use pimento_coordination::bills::ring;
use pimento_ledger::Bill;
use pimento_ledger::Stream;
use pimento_ledger::record::Item;
use pimento_ledger::usage;
use pimento_units::Money;
use pimento_units::Tokens;
use pimento_units::Wall;
use pimento_units::id;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::faulty::Fault;
use crate::faulty::Memory;

/// Entry VMs in one process. Each outbox can reach those that were not removed.
#[derive(Clone)]
struct Neighbours {
    own: id::Node,
    all: Arc<Mutex<Vec<(id::Node, Outbox)>>>,
}

impl Neighbours {
    fn new() -> Self {
        Self {
            own: node("nobody"),
            all: Arc::default(),
        }
    }

    fn find(&self, node: &id::Node) -> Option<Outbox> {
        let all = self.all.lock().expect("not poisoned");
        let found = all.iter().find(|(name, _)| name == node);
        found.map(|(_, outbox)| outbox.clone())
    }

    fn remove(&self, node: &id::Node) {
        let mut all = self.all.lock().expect("not poisoned");
        all.retain(|(name, _)| name != node);
    }
}

impl Peers for Neighbours {
    fn peers(&self) -> Vec<id::Node> {
        let all = self.all.lock().expect("not poisoned");
        let others = all.iter().filter(|(name, _)| *name != self.own);
        others.map(|(name, _)| name.clone()).collect()
    }

    async fn store_copies(&self, peer: &id::Node, bills: Vec<String>) -> bool {
        self.find(peer)
            .is_some_and(|outbox| outbox.store_copies(&self.own, bills))
    }

    async fn remove_copies(&self, peer: &id::Node, requests: Vec<id::Request>) {
        if let Some(outbox) = self.find(peer) {
            outbox.remove_copies(&self.own, &requests);
        }
    }
}

fn node(name: &str) -> id::Node {
    name.parse().expect("a name")
}

fn config() -> Config {
    Config {
        capacity: 100,
        copies: 100,
        interval: Duration::from_millis(50),
        append_timeout: Duration::from_millis(500),
        max_copy_age: Duration::from_millis(300),
        ..Config::default()
    }
}

fn start(name: &str, log: &Memory, all: &Neighbours, token: &CancellationToken) -> Outbox {
    let own = node(name);
    let peers = Neighbours {
        own: own.clone(),
        all: Arc::clone(&all.all),
    };
    let appender = Appender::start(log.clone(), appender::Config::default(), token.clone());
    let outbox = Outbox::start(config(), peers, appender, token.clone());
    let mut all = all.all.lock().expect("not poisoned");
    all.push((own, outbox.clone()));
    outbox
}

fn bill(number: u128) -> Bill {
    Bill {
        request: id::Request(Uuid::from_u128(number)),
        customer: "bottling".parse().expect("a name"),
        class: None,
        item: Item::Service("order-desk".parse().expect("a name")),
        charge: Money::from_micros(10),
        cost: Money::from_micros(10),
        input: Tokens(1),
        output: Tokens(1),
        node: node("node-1"),
        period: 0,
        at: Wall::from_millis(0),
    }
}

fn in_ten_seconds() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

async fn store(outbox: &Outbox, number: u128) -> Result<(), NotStored> {
    let permit = outbox.reserve().expect("capacity");
    permit.store(&bill(number), in_ten_seconds()).await
}

/// The number of bills that count on the usage stream, and the number of its records.
fn billed(log: &Memory) -> (u64, usize) {
    let mut fold = usage::Fold::default();
    let records = log.records(Stream::Usage);
    for record in &records {
        fold.apply(&serde_json::from_str(record).expect("a bill"));
    }
    let bills = fold.totals().first().map_or(0, |total| total.bills);
    (bills, records.len())
}

async fn until(mut condition: impl FnMut() -> bool) {
    let deadline = in_ten_seconds();
    while !condition() {
        assert!(Instant::now() < deadline, "not reached in time");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// The log is unavailable when a response ends, and the VM that served it is lost right after the
/// last byte. Its peer holds a copy of the bill and appends it when the log is back. The bill
/// counts once.
#[tokio::test(start_paused = true)]
async fn a_lost_vms_bill_is_appended_by_its_peer() {
    let log = Memory::new();
    let all = Neighbours::new();
    let lost_token = CancellationToken::new();
    let token = CancellationToken::new();
    let one = start("node-1", &log, &all, &lost_token);
    let two = start("node-2", &log, &all, &token);
    log.fail_appends(Fault::Refuse);
    store(&one, 1).await.expect("the peer holds it");
    assert_eq!(two.copies(), 1);
    lost_token.cancel();
    all.remove(&node("node-1"));
    log.fail_appends(Fault::None);
    until(|| billed(&log).0 == 1).await;
    until(|| two.copies() == 0).await;
    token.cancel();
}

/// As above, but the peer notices the loss. As the last holder it appends the bill long before the
/// copies of live writers are due.
#[tokio::test(start_paused = true)]
async fn a_dead_writers_copy_is_appended_at_once() {
    let log = Memory::new();
    let all = Neighbours::new();
    let lost_token = CancellationToken::new();
    let token = CancellationToken::new();
    let one = start("node-1", &log, &all, &lost_token);
    let two = start("node-2", &log, &all, &token);
    log.fail_appends(Fault::Refuse);
    store(&one, 1).await.expect("the peer holds it");
    lost_token.cancel();
    all.remove(&node("node-1"));
    log.fail_appends(Fault::None);
    let began = Instant::now();
    until(|| billed(&log).0 == 1).await;
    assert!(
        began.elapsed() < config().max_copy_age,
        "waited until the copy reached its maximum age"
    );
    assert_eq!(two.copies(), 0);
    token.cancel();
}

/// Appends take effect and their responses are lost for a while, so that both holders append each
/// bill repeatedly. Each request is billed once.
#[tokio::test(start_paused = true)]
async fn lost_answers_bill_once() {
    let log = Memory::new();
    let all = Neighbours::new();
    let token = CancellationToken::new();
    let one = start("node-1", &log, &all, &token);
    let two = start("node-2", &log, &all, &token);
    log.fail_appends(Fault::LoseAnswer);
    for number in 0..20 {
        store(&one, number).await.expect("the peer holds it");
    }
    until(|| billed(&log).1 > 40).await;
    log.fail_appends(Fault::None);
    until(|| one.waiting() == 0 && two.copies() == 0).await;
    assert_eq!(billed(&log).0, 20);
    token.cancel();
}

/// A VM without any reachable peer still serves: the log holds the bill before the last byte.
#[tokio::test(start_paused = true)]
async fn without_a_peer_the_log_holds_the_bill() {
    let log = Memory::new();
    let all = Neighbours::new();
    let token = CancellationToken::new();
    let one = start("node-1", &log, &all, &token);
    store(&one, 1).await.expect("the log holds it");
    assert_eq!(billed(&log).0, 1);
    token.cancel();
}

/// Bills that found no second holder are retried after newer ones, and all reach the log. Each
/// releases its capacity: a leak would in the end refuse every request.
#[tokio::test(start_paused = true)]
async fn retried_bills_release_their_capacity() {
    let log = Memory::new();
    let all = Neighbours::new();
    let token = CancellationToken::new();
    let one = start("node-1", &log, &all, &token);
    log.fail_appends(Fault::Refuse);
    let stores = (0..60_u32).map(|number| {
        let one = one.clone();
        async move {
            tokio::time::sleep(Duration::from_millis(20) * number).await;
            store(&one, u128::from(number)).await
        }
    });
    let heal = async {
        tokio::time::sleep(Duration::from_millis(1_100)).await;
        log.fail_appends(Fault::None);
    };
    let (results, ()) = tokio::join!(futures::future::join_all(stores), heal);
    assert!(results.iter().all(Result::is_ok), "{results:?}");
    assert_eq!((one.waiting(), billed(&log).0), (0, 60));
    token.cancel();
}

/// Neither a peer nor the log can be reached. The bill has one holder, so the caller doesn't get
/// the last byte, and an incomplete response is not billed.
#[tokio::test(start_paused = true)]
async fn alone_and_cut_off_nothing_is_billed() {
    let log = Memory::new();
    let all = Neighbours::new();
    let token = CancellationToken::new();
    let one = start("node-1", &log, &all, &token);
    log.fail_appends(Fault::Refuse);
    let permit = one.reserve().expect("capacity");
    let deadline = Instant::now() + Duration::from_millis(300);
    assert_eq!(permit.store(&bill(1), deadline).await, Err(NotStored));
    assert_eq!(one.waiting(), 0);
    log.fail_appends(Fault::None);
    store(&one, 2).await.expect("the log holds it");
    assert_eq!(billed(&log).0, 1);
    token.cancel();
}

/// During a long outage of the log, the peer that held the copies is lost. Another peer gets new
/// copies, so that the loss of one more VM loses no bill.
#[tokio::test(start_paused = true)]
async fn copies_of_a_lost_peer_are_made_anew() {
    let log = Memory::new();
    let all = Neighbours::new();
    let lost_token = CancellationToken::new();
    let token = CancellationToken::new();
    let one = start("node-1", &log, &all, &token);
    let _two = start("node-2", &log, &all, &lost_token);
    log.fail_appends(Fault::Refuse);
    store(&one, 1).await.expect("the peer holds it");
    lost_token.cancel();
    all.remove(&node("node-2"));
    let three = start("node-3", &log, &all, &token);
    until(|| three.copies() == 1).await;
    token.cancel();
}

/// During a long outage of the log the outbox fills up. Further requests are refused before they
/// are dispatched, and accepted again once bills are on the log.
#[tokio::test(start_paused = true)]
async fn a_full_outbox_refuses_before_dispatch() {
    let log = Memory::new();
    let all = Neighbours::new();
    let token = CancellationToken::new();
    let one = start("node-1", &log, &all, &token);
    let _two = start("node-2", &log, &all, &token);
    log.fail_appends(Fault::Refuse);
    for number in 0..100 {
        store(&one, number).await.expect("the peer holds it");
    }
    assert_eq!(one.reserve().expect_err("full"), Full);
    log.fail_appends(Fault::None);
    until(|| one.reserve().is_ok()).await;
    until(|| billed(&log).0 == 100).await;
    token.cancel();
}

/// Each VM of a zone asks a different peer first. Otherwise one VM would hold the copies of the
/// whole zone.
#[test]
fn copies_are_spread_over_the_zone() {
    let nodes: Vec<id::Node> = (0..50).map(|n| node(&format!("node-{n}"))).collect();
    let first = |own: &id::Node| {
        let others = nodes.iter().filter(|node| *node != own).cloned().collect();
        ring(own, others)[0].clone()
    };
    let mut holders: Vec<id::Node> = nodes.iter().map(first).collect();
    holders.sort_unstable();
    holders.dedup();
    assert_eq!(holders.len(), nodes.len());
}

/// A VM shuts down. All its bills, and the copies it holds for others, are on the log before its
/// process ends.
#[tokio::test(start_paused = true)]
async fn a_shutdown_leaves_nothing_behind() {
    let log = Memory::new();
    let all = Neighbours::new();
    let token = CancellationToken::new();
    let one = start("node-1", &log, &all, &token);
    let two = start("node-2", &log, &all, &token);
    log.fail_appends(Fault::Refuse);
    for number in 0..10 {
        store(&one, number).await.expect("the peer holds it");
    }
    log.fail_appends(Fault::None);
    assert_eq!(one.flush(in_ten_seconds()).await, 0);
    assert_eq!(two.flush(in_ten_seconds()).await, 0);
    assert_eq!(billed(&log).0, 10);
    token.cancel();
}
