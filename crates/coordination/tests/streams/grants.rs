//! Spend stays within the limit when nodes cannot reach the log.

use std::time::Duration;

use pimento_contract::Contract;
use pimento_contract::contract::Spend;
use pimento_coordination::Appender;
use pimento_coordination::appender;
use pimento_coordination::grants::Account;
use pimento_coordination::grants::Config;
use pimento_coordination::grants::Error;
use pimento_coordination::grants::Peers;
use pimento_coordination::grants::Wallet;
use pimento_ledger::Stream;
use pimento_units::Money;
use pimento_units::Revision;
use pimento_units::Span;
use pimento_units::Wall;
use pimento_units::id;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::faulty::Fault;
use crate::faulty::Memory;

const LIMIT: Money = Money::from_micros(1_000_000);
const CALL: Money = Money::from_micros(1_000);
const NODES: u32 = 6;

fn contract() -> Contract {
    Contract {
        customer: "bottling".parse().expect("a name"),
        keys: Vec::new(),
        weight: 1,
        spend: Spend {
            limit: LIMIT,
            period: Span::from_secs(86_400),
        },
        classes: Vec::new(),
        services: Vec::new(),
    }
}

fn wallet(log: &Memory, node: &str, token: &CancellationToken) -> Wallet {
    let config = Config {
        timeout: Duration::from_millis(500),
        max_view_age: Duration::from_secs(3),
        ..Config::default()
    };
    let appender = Appender::start(log.clone(), appender::Config::default(), token.clone());
    let node = node.parse().expect("a name");
    Wallet::start(&node, config, log.clone(), appender, token.clone())
}

fn account(contract: &Contract) -> Account<'_> {
    Account {
        contract,
        revision: Revision(1),
        now: Wall::from_millis(1_800_000_000_000),
    }
}

/// Spends call by call until the wallet refuses; returns the amount spent and the error.
async fn spend_all(wallet: &Wallet, contract: &Contract) -> (Money, Error) {
    let mut spent = Money::ZERO;
    loop {
        let deadline = Instant::now() + Duration::from_secs(10);
        match wallet
            .reserve(account(contract), CALL, NODES, deadline)
            .await
        {
            Ok(hold) => spent += hold.settle(CALL),
            Err(error) => return (spent, error),
        }
        assert!(spent <= LIMIT, "one node alone spent {spent}");
    }
}

/// Six nodes spend one customer's limit as fast as they can. Together they spend most of it, and
/// never more.
#[tokio::test(start_paused = true)]
async fn six_nodes_never_pass_the_limit() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let contract = contract();
    let wallets: Vec<Wallet> = (1..=6)
        .map(|number| wallet(&log, &format!("node-{number}"), &token))
        .collect();
    let runs = wallets.iter().map(|wallet| spend_all(wallet, &contract));
    let results = futures::future::join_all(runs).await;
    let spent: Money = results.iter().map(|(spent, _)| *spent).sum();
    assert!(spent <= LIMIT, "{spent}");
    for (_, error) in &results {
        assert!(matches!(error, Error::Exhausted { .. }), "{error}");
    }
    // The part that was granted to nodes without further calls is stranded until the period ends.
    assert!(
        spent >= LIMIT.scale(9, 10),
        "only {spent} of {LIMIT} was spent"
    );
    token.cancel();
}

/// A node cannot append to the log. It spends its grants and then reports that the log is
/// unavailable. Another node spends the rest, and both together stay within the limit.
#[tokio::test(start_paused = true)]
async fn a_cut_off_node_spends_its_grants_only() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let contract = contract();
    let one = wallet(&log, "node-1", &token);
    let deadline = Instant::now() + Duration::from_secs(10);
    let first = one.reserve(account(&contract), CALL, NODES, deadline).await;
    let mut spent = first.expect("granted").settle(CALL);
    log.fail_appends(Fault::Refuse);
    let (more, error) = spend_all(&one, &contract).await;
    assert!(matches!(error, Error::Unavailable { .. }), "{error}");
    spent += more;
    assert!(spent < LIMIT);
    log.fail_appends(Fault::None);
    let two = wallet(&log, "node-2", &token);
    let (rest, _) = spend_all(&two, &contract).await;
    assert!(spent + rest <= LIMIT, "{spent} and {rest}");
    token.cancel();
}

/// The log appends a grant and its response is lost. The node finds the grant by reading and spends
/// it. The retried append does not double it.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_neither_loses_nor_doubles_a_grant() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let contract = contract();
    log.fail_appends(Fault::LoseAnswer);
    let one = wallet(&log, "node-1", &token);
    let (spent, error) = spend_all(&one, &contract).await;
    assert!(matches!(error, Error::Exhausted { .. }), "{error}");
    assert_eq!(spent, LIMIT);
    token.cancel();
}

/// A VM is replaced under its old name. The new incarnation must not use the grants of its
/// predecessor, part of which are spent.
#[tokio::test(start_paused = true)]
async fn a_second_life_does_not_inherit_grants() {
    let log = Memory::new();
    let first_token = CancellationToken::new();
    let token = CancellationToken::new();
    let contract = contract();
    let first = wallet(&log, "node-1", &first_token);
    let (spent, _) = spend_all(&first, &contract).await;
    first_token.cancel();
    let second = wallet(&log, "node-1", &token);
    let (more, _) = spend_all(&second, &contract).await;
    assert!(spent + more <= LIMIT, "{spent} and {more}");
    token.cancel();
}

/// A node shuts down and returns what it has not spent. Another node spends it.
#[tokio::test(start_paused = true)]
async fn a_shutdown_returns_what_is_left() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let contract = contract();
    let one = wallet(&log, "node-1", &token);
    let deadline = Instant::now() + Duration::from_secs(10);
    let hold = one.reserve(account(&contract), CALL, 1, deadline).await;
    drop(hold.expect("granted"));
    one.close(deadline).await;
    assert!(log.records(Stream::Grants).len() >= 2);
    let two = wallet(&log, "node-2", &token);
    let (spent, _) = spend_all(&two, &contract).await;
    assert_eq!(spent, LIMIT);
    token.cancel();
}

/// A node shuts down while it requests a grant ahead of need. Guards against money that nobody can spend
/// until the period ends.
#[tokio::test(start_paused = true)]
async fn a_shutdown_returns_a_grant_that_is_on_its_way() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let contract = contract();
    let one = wallet(&log, "node-1", &token);
    let deadline = Instant::now() + Duration::from_secs(10);
    // At this rate the first grant is soon spent, so that the wallet requests another one.
    let mut spent = Money::ZERO;
    for _ in 0..20 {
        let hold = one.reserve(account(&contract), CALL, 1, deadline).await;
        spent += hold.expect("granted").settle(CALL);
    }
    assert_eq!(log.records(Stream::Grants).len(), 1);
    one.close(deadline).await;
    let two = wallet(&log, "node-2", &token);
    let (more, _) = spend_all(&two, &contract).await;
    assert_eq!(spent + more, LIMIT);
    token.cancel();
}

/// Other wallets, called without a network. Responses can be lost after the transfer took effect.
#[derive(Clone, Default)]
struct Neighbours {
    wallets: Vec<Wallet>,
    lose_responses: bool,
}

impl Peers for Neighbours {
    fn peers(&self) -> Vec<id::Node> {
        let holders = self.wallets.iter().map(Wallet::holder);
        holders.cloned().collect()
    }

    async fn request_transfer(
        &self,
        peer: &id::Node,
        customer: &id::Customer,
        period: u64,
        amount: Money,
    ) -> Money {
        let source = self.wallets.iter().find(|wallet| wallet.holder() == peer);
        let transferred = source.map_or(Money::ZERO, |w| w.transfer(customer, period, amount));
        if self.lose_responses {
            Money::ZERO
        } else {
            transferred
        }
    }
}

/// Spends until neither the log nor a peer provides more.
async fn spend_transferred(wallet: &Wallet, contract: &Contract, peers: &Neighbours) -> Money {
    let mut spent = Money::ZERO;
    loop {
        let (more, error) = spend_all(wallet, contract).await;
        spent += more;
        assert!(spent <= LIMIT, "{spent} was spent out of transfers");
        if !matches!(error, Error::Unavailable { .. }) {
            return spent;
        }
        if !wallet
            .request_transfers(account(contract), CALL, peers)
            .await
        {
            return spent;
        }
    }
}

/// A VM starts while the log is unavailable. It has no grants of its own and spends what its peer
/// transfers. When the log is back both continue, and together they stay within the limit.
#[tokio::test(start_paused = true)]
async fn a_new_node_gets_transfers_while_the_log_is_unavailable() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let contract = contract();
    let one = wallet(&log, "node-1", &token);
    let deadline = Instant::now() + Duration::from_secs(10);
    let first = one.reserve(account(&contract), CALL, 2, deadline).await;
    let mut spent = first.expect("granted").settle(CALL);
    tokio::time::sleep(Duration::from_secs(1)).await;
    log.fail_appends(Fault::Refuse);
    log.fail_reads(Fault::Hang);
    let two = wallet(&log, "node-2", &token);
    let peers = Neighbours {
        wallets: vec![one.clone()],
        lose_responses: false,
    };
    let received = spend_transferred(&two, &contract, &peers).await;
    assert!(received >= CALL.scale(10, 1), "only {received} was served");
    spent += received;
    log.fail_appends(Fault::None);
    log.fail_reads(Fault::None);
    tokio::time::sleep(Duration::from_secs(5)).await;
    spent += spend_all(&one, &contract).await.0;
    spent += spend_all(&two, &contract).await.0;
    assert!(spent <= LIMIT, "{spent}");
    two.close(Instant::now() + Duration::from_secs(10)).await;
    one.close(Instant::now() + Duration::from_secs(10)).await;
    let three = wallet(&log, "node-3", &token);
    spent += spend_all(&three, &contract).await.0;
    assert!(spent <= LIMIT, "{spent}");
    token.cancel();
}

/// The response to a transfer is lost. The amount is wasted until the period ends, and is not spent
/// twice.
#[tokio::test(start_paused = true)]
async fn a_lost_transfer_is_not_spent_twice() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let contract = contract();
    let one = wallet(&log, "node-1", &token);
    let two = wallet(&log, "node-2", &token);
    let deadline = Instant::now() + Duration::from_secs(10);
    let first = one.reserve(account(&contract), CALL, 2, deadline).await;
    let mut spent = first.expect("granted").settle(CALL);
    log.fail_appends(Fault::Refuse);
    let peers = Neighbours {
        wallets: vec![one.clone()],
        lose_responses: true,
    };
    spent += spend_transferred(&two, &contract, &peers).await;
    assert_eq!(spent, CALL, "nothing was received");
    log.fail_appends(Fault::None);
    spent += spend_all(&one, &contract).await.0;
    spent += spend_all(&two, &contract).await.0;
    assert!(spent < LIMIT, "the lost transfer is wasted");
    token.cancel();
}
