//! Spend stays within the limit, whoever is cut off.

use std::time::Duration;

use pimento_contract::Contract;
use pimento_contract::contract::Spend;
use pimento_coordination::Appender;
use pimento_coordination::appender;
use pimento_coordination::grants::Account;
use pimento_coordination::grants::Config;
use pimento_coordination::grants::Error;
use pimento_coordination::grants::Lenders;
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
        outage: Duration::from_secs(3),
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

/// Spends call by call until the wallet refuses; gives what was spent and why it ended.
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

/// Six nodes spend one customer's limit as fast as they can. Together they spend all of it that
/// buys a call, and not a millionth more.
#[tokio::test(start_paused = true)]
async fn six_nodes_never_pass_the_limit() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let contract = contract();
    let wallets: Vec<Wallet> = (1..=6)
        .map(|number| wallet(&log, &format!("node-{number}"), &token))
        .collect();
    let runs = wallets.iter().map(|wallet| spend_all(wallet, &contract));
    let ends = futures::future::join_all(runs).await;
    let spent: Money = ends.iter().map(|(spent, _)| *spent).sum();
    assert!(spent <= LIMIT, "{spent}");
    for (_, error) in &ends {
        assert!(matches!(error, Error::Exhausted { .. }), "{error}");
    }
    // What other nodes were granted and had no call for is stranded until the period ends.
    assert!(
        spent >= LIMIT.scale(9, 10),
        "only {spent} of {LIMIT} was spent"
    );
    token.cancel();
}

/// A node is cut off from the log. It spends what it was granted and then says that the log is
/// out; the others go on, and the limit holds over all of them.
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

/// The log takes a grant and its answer is lost. The node finds the grant by reading and spends
/// it; asking again does not double it.
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

/// A node's VM is replaced under its old name. The new one has no right to what its predecessor was
/// granted, since part of that is spent.
#[tokio::test(start_paused = true)]
async fn a_second_life_does_not_inherit_grants() {
    let log = Memory::new();
    let dies = CancellationToken::new();
    let token = CancellationToken::new();
    let contract = contract();
    let first = wallet(&log, "node-1", &dies);
    let (spent, _) = spend_all(&first, &contract).await;
    dies.cancel();
    let second = wallet(&log, "node-1", &token);
    let (more, _) = spend_all(&second, &contract).await;
    assert!(spent + more <= LIMIT, "{spent} and {more}");
    token.cancel();
}

/// A node shuts down and gives back what it has not spent. Another one spends it.
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

/// Other wallets, reached without a network; answers may be lost after the effect.
#[derive(Clone, Default)]
struct Neighbours {
    wallets: Vec<Wallet>,
    lose: bool,
}

impl Lenders for Neighbours {
    fn peers(&self) -> Vec<id::Node> {
        let holders = self.wallets.iter().map(Wallet::holder);
        holders.cloned().collect()
    }

    async fn lend(
        &self,
        peer: &id::Node,
        customer: &id::Customer,
        period: u64,
        amount: Money,
    ) -> Money {
        let lender = self.wallets.iter().find(|wallet| wallet.holder() == peer);
        let lent = lender.map_or(Money::ZERO, |w| w.lend(customer, period, amount));
        if self.lose { Money::ZERO } else { lent }
    }
}

/// Spends until neither the log nor any peer gives more.
async fn spend_borrowed(wallet: &Wallet, contract: &Contract, peers: &Neighbours) -> Money {
    let mut spent = Money::ZERO;
    loop {
        let (more, error) = spend_all(wallet, contract).await;
        spent += more;
        assert!(spent <= LIMIT, "{spent} was spent out of loans");
        if !matches!(error, Error::Unavailable { .. }) {
            return spent;
        }
        if !wallet.borrow(account(contract), CALL, peers).await {
            return spent;
        }
    }
}

/// A VM starts while the log is out. It has no grants of its own and serves out of what its peer
/// lends; when the log is back both spend on, and together never more than the limit.
#[tokio::test(start_paused = true)]
async fn a_new_node_borrows_while_the_log_is_out() {
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
        lose: false,
    };
    let borrowed = spend_borrowed(&two, &contract, &peers).await;
    assert!(borrowed >= CALL.scale(10, 1), "only {borrowed} was served");
    spent += borrowed;
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

/// A peer lends and its answer is lost. The part is wasted until the period ends; it is not spent
/// twice.
#[tokio::test(start_paused = true)]
async fn a_lost_loan_is_not_spent_twice() {
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
        lose: true,
    };
    spent += spend_borrowed(&two, &contract, &peers).await;
    assert_eq!(spent, CALL, "nothing was borrowed");
    log.fail_appends(Fault::None);
    spent += spend_all(&one, &contract).await.0;
    spent += spend_all(&two, &contract).await.0;
    assert!(spent < LIMIT, "the lost part is wasted");
    token.cancel();
}
