//! Spend stays within the limit, whoever is cut off.

use std::time::Duration;

use pimento_contract::Contract;
use pimento_contract::contract::Spend;
use pimento_ledger::Stream;
use pimento_platform::Appender;
use pimento_platform::appender;
use pimento_platform::grants::Account;
use pimento_platform::grants::Config;
use pimento_platform::grants::Error;
use pimento_platform::grants::Wallet;
use pimento_units::Money;
use pimento_units::Revision;
use pimento_units::Span;
use pimento_units::Wall;
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
        patience: Duration::from_millis(500),
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
    assert!(matches!(error, Error::Out { .. }), "{error}");
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
