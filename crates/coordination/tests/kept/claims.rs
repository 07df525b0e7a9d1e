//! Claims on calls that may not be repeated.

use std::time::Duration;

use pimento_coordination::Appender;
use pimento_coordination::appender;
use pimento_coordination::claims::Claimer;
use pimento_coordination::claims::Config;
use pimento_coordination::claims::Error;
use pimento_coordination::claims::Ticket;
use pimento_coordination::claims::Verdict;
use pimento_ledger::Claim;
use pimento_ledger::Stream;
use pimento_ledger::claims::Age;
use pimento_ledger::record::ClaimRecord;
use pimento_ledger::record::Run;
use pimento_units::id;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::faulty::Fault;
use crate::faulty::Memory;

const DIGEST: u64 = 7;

fn claimer(log: &Memory, node: &str, token: &CancellationToken) -> Claimer {
    let config = Config {
        outage: Duration::from_millis(1_500),
        patience: Duration::from_secs(1),
        ..Config::default()
    };
    let appender = Appender::start(log.clone(), appender::Config::default(), token.clone());
    let node = node.parse().expect("a name");
    Claimer::start(node, config, log.clone(), appender, token.clone())
}

async fn ready(claimer: &Claimer) {
    let mut changed = claimer.follower().changed();
    while !claimer.follower().caught_up() {
        changed.changed().await.expect("the follower runs");
    }
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

fn order() -> id::Request {
    id::Request(Uuid::now_v7())
}

async fn claim(claimer: &Claimer, log: &Memory, order: id::Request) -> Result<Verdict, Error> {
    claimer.claim(order, DIGEST, log.now(), soon()).await
}

fn owned(verdict: Result<Verdict, Error>) -> Ticket {
    match verdict {
        Ok(Verdict::Owned(ticket)) => ticket,
        other => panic!("expected to own the request, got {other:?}"),
    }
}

/// The caller sends one order to two entry VMs at once, as after a broken connection. Both claim;
/// exactly one may dispatch, and the other learns whose it is.
#[tokio::test(start_paused = true)]
async fn one_of_two_claimers_owns() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let one = claimer(&log, "node-1", &token);
    let two = claimer(&log, "node-2", &token);
    ready(&one).await;
    ready(&two).await;
    for _ in 0..50 {
        let order = order();
        let (a, b) = tokio::join!(claim(&one, &log, order), claim(&two, &log, order));
        let winners = [&a, &b]
            .into_iter()
            .filter(|verdict| matches!(verdict, Ok(Verdict::Owned(_))))
            .count();
        assert_eq!(winners, 1, "{a:?} and {b:?}");
    }
    token.cancel();
}

/// The log takes the claim, and its answer is lost. The claimer finds itself by reading and serves
/// the caller.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_read_back() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let claimer = claimer(&log, "node-1", &token);
    ready(&claimer).await;
    log.fail_appends(Fault::LoseAnswer);
    owned(claim(&claimer, &log, order()).await);
    token.cancel();
}

/// An earlier claim of another node stands in the log, unread here, when ours is appended. The log
/// answers our append with success all the same; taking that for ownership would run the order
/// twice.
#[tokio::test(start_paused = true)]
async fn an_append_is_not_ownership() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let claimer = claimer(&log, "node-1", &token);
    ready(&claimer).await;
    log.fail_reads(Fault::Hang);
    let order = order();
    let earlier = Claim {
        request: order,
        digest: DIGEST,
        attempt: id::Attempt(Uuid::now_v7()),
        node: "node-2".parse().expect("a name"),
        at: log.now(),
    };
    let owner = earlier.attempt;
    let record = serde_json::to_string(&ClaimRecord::Claim(earlier)).expect("encodes");
    log.put(Stream::Claims, record);
    let heal = async {
        while log.records(Stream::Claims).len() < 2 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        log.fail_reads(Fault::None);
    };
    let (verdict, ()) = tokio::join!(claim(&claimer, &log, order), heal);
    match verdict {
        Ok(Verdict::Taken(found)) => assert_eq!(found.attempt, owner),
        other => panic!("expected another owner, got {other:?}"),
    }
    token.cancel();
}

/// The log is out. The caller hears so at once, with when to come back, and nothing was run. When
/// the log is back, the same request id is served: the claim given up does not stand in its way,
/// though its record reached the log.
#[tokio::test(start_paused = true)]
async fn an_outage_refuses_and_heals() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let claimer = claimer(&log, "node-1", &token);
    ready(&claimer).await;
    let order = order();
    // The claim is taken, and neither its answer nor its reading comes through in time.
    log.fail_appends(Fault::LoseAnswer);
    log.fail_reads(Fault::Hang);
    let refused = claim(&claimer, &log, order).await;
    assert!(matches!(refused, Err(Error::Out { .. })), "{refused:?}");
    assert!(!log.records(Stream::Claims).is_empty());
    log.fail_appends(Fault::None);
    log.fail_reads(Fault::None);
    claimer.flush().await;
    let end = Offset::of(&log);
    let read = claimer
        .follower()
        .wait(soon(), |_| {
            (claimer.follower().next().0 >= end).then_some(())
        })
        .await;
    assert!(read.is_some(), "the outcome is read");
    owned(claim(&claimer, &log, order).await);
    token.cancel();
}

struct Offset;

impl Offset {
    fn of(log: &Memory) -> u64 {
        log.records(Stream::Claims).len() as u64
    }
}

/// The caller goes away while its claim is on the way, so that the claiming task ends there. The claim
/// reaches the log; it is released, and the caller's next try is served.
#[tokio::test(start_paused = true)]
async fn a_claim_dropped_on_the_way_is_released() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let claimer = claimer(&log, "node-1", &token);
    ready(&claimer).await;
    let order = order();
    log.fail_reads(Fault::Hang);
    let gone = claim(&claimer, &log, order);
    let left = tokio::time::timeout(Duration::from_millis(100), gone).await;
    assert!(
        left.is_err(),
        "the claim was decided before the caller left"
    );
    log.fail_reads(Fault::None);
    claimer.flush().await;
    let end = Offset::of(&log);
    claimer
        .follower()
        .wait(soon(), |_| {
            (claimer.follower().next().0 >= end).then_some(())
        })
        .await
        .expect("the outcome is read");
    owned(claim(&claimer, &log, order).await);
    token.cancel();
}

/// The log has not answered for longer than the bound. Calls are refused without waiting for it,
/// and no claim is written that could reach the log later.
#[tokio::test(start_paused = true)]
async fn a_known_outage_is_refused_at_once() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let claimer = claimer(&log, "node-1", &token);
    ready(&claimer).await;
    log.fail_reads(Fault::Hang);
    let mut refused = claim(&claimer, &log, order()).await;
    while refused.is_ok() {
        refused = claim(&claimer, &log, order()).await;
    }
    while claimer.follower().age() < Duration::from_millis(1_500) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let before = log.records(Stream::Claims).len();
    let order = order();
    let refused = claim(&claimer, &log, order).await;
    assert!(matches!(refused, Err(Error::Out { .. })), "{refused:?}");
    let written = log.records(Stream::Claims).split_off(before);
    let name = order.to_string();
    assert!(written.iter().all(|record| !record.contains(&name)));
    token.cancel();
}

/// The first claimer's VM is gone after its claim. Another caller's try of the same order hears
/// whose it was and must not run: nobody knows whether the endpoint got it.
#[tokio::test(start_paused = true)]
async fn a_dead_claimers_order_stays_claimed() {
    let log = Memory::new();
    let dead = CancellationToken::new();
    let one = claimer(&log, "node-1", &dead);
    ready(&one).await;
    let order = order();
    let ticket = owned(claim(&one, &log, order).await);
    dead.cancel();
    let token = CancellationToken::new();
    let two = claimer(&log, "node-2", &token);
    ready(&two).await;
    match claim(&two, &log, order).await {
        Ok(Verdict::Taken(owner)) => {
            assert_eq!(owner.attempt, ticket.attempt);
            assert_eq!(owner.run, None);
        }
        other => panic!("expected the dead claimer's claim, got {other:?}"),
    }
    token.cancel();
}

/// An endpoint refuses the order without starting it, and the claimer says so. The caller's next
/// try, at another VM, runs.
#[tokio::test(start_paused = true)]
async fn a_call_that_did_not_run_is_free_again() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let one = claimer(&log, "node-1", &token);
    let two = claimer(&log, "node-2", &token);
    ready(&one).await;
    ready(&two).await;
    let order = order();
    let ticket = owned(claim(&one, &log, order).await);
    one.report(ticket, Run::NotRun, None);
    one.flush().await;
    let end = Offset::of(&log);
    two.follower()
        .wait(soon(), |_| (two.follower().next().0 >= end).then_some(()))
        .await
        .expect("the outcome is read");
    owned(claim(&two, &log, order).await);
    token.cancel();
}

/// The claimer's process is paused between claim and dispatch until its caller's deadline is over.
/// It finds its ticket void and does not dispatch.
#[tokio::test(start_paused = true)]
async fn a_paused_claimer_does_not_dispatch() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let claimer = claimer(&log, "node-1", &token);
    ready(&claimer).await;
    let ticket = owned(claim(&claimer, &log, order()).await);
    assert!(ticket.valid(Instant::now()));
    tokio::time::advance(Duration::from_secs(11)).await;
    assert!(!ticket.valid(Instant::now()));
    token.cancel();
}

/// Ids whose age can't be read or does not allow a claim are refused before anything is written.
#[tokio::test(start_paused = true)]
async fn the_age_of_an_id_is_checked_first() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let claimer = claimer(&log, "node-1", &token);
    ready(&claimer).await;
    let unreadable = id::Request(Uuid::from_u128(5));
    let refused = claim(&claimer, &log, unreadable).await;
    let age = Age::Unreadable;
    assert_eq!(refused.expect_err("refused"), Error::Age { age });
    let young = order();
    let later = log.now() + Duration::from_hours(1);
    let refused = claimer.claim(young, DIGEST, later, soon()).await;
    let age = Age::Old;
    assert_eq!(refused.expect_err("refused"), Error::Age { age });
    assert!(log.records(Stream::Claims).is_empty());
    token.cancel();
}
