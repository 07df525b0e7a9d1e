//! Claims on calls that must not be repeated.

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
        max_view_age: Duration::from_millis(1_500),
        timeout: Duration::from_secs(1),
        ..Config::default()
    };
    let appender = Appender::start(log.clone(), appender::Config::default(), token.clone());
    let node = node.parse().expect("a name");
    Claimer::start(node, config, log.clone(), appender, token.clone())
}

async fn ready(claimer: &Claimer) {
    let mut changed = claimer.follower().subscribe();
    while !claimer.follower().caught_up() {
        changed.changed().await.expect("the follower runs");
    }
}

fn in_ten_seconds() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

fn new_request() -> id::Request {
    id::Request(Uuid::now_v7())
}

async fn claim(claimer: &Claimer, log: &Memory, request: id::Request) -> Result<Verdict, Error> {
    claimer
        .claim(request, DIGEST, log.now(), in_ten_seconds())
        .await
}

fn owned(verdict: Result<Verdict, Error>) -> Ticket {
    match verdict {
        Ok(Verdict::Owned(ticket)) => ticket,
        other => panic!("expected to own the request, got {other:?}"),
    }
}

/// The caller sends one request to two entry VMs at once, as after a broken connection. Both claim
/// it, and exactly one may dispatch.
#[tokio::test(start_paused = true)]
async fn one_of_two_claimers_owns() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let one = claimer(&log, "node-1", &token);
    let two = claimer(&log, "node-2", &token);
    ready(&one).await;
    ready(&two).await;
    for _ in 0..50 {
        let request = new_request();
        let (a, b) = tokio::join!(claim(&one, &log, request), claim(&two, &log, request));
        let winners = [&a, &b]
            .into_iter()
            .filter(|verdict| matches!(verdict, Ok(Verdict::Owned(_))))
            .count();
        assert_eq!(winners, 1, "{a:?} and {b:?}");
    }
    token.cancel();
}

/// The claim is appended and the log's response is lost. The claimer finds its claim by reading,
/// and owns the request.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_read_back() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let claimer = claimer(&log, "node-1", &token);
    ready(&claimer).await;
    log.fail_appends(Fault::LoseAnswer);
    owned(claim(&claimer, &log, new_request()).await);
    token.cancel();
}

/// Another node's earlier claim is on the log and has not been read here when this node appends its
/// own. The append succeeds all the same; treating that as ownership would run the request twice.
#[tokio::test(start_paused = true)]
async fn an_append_is_not_ownership() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let claimer = claimer(&log, "node-1", &token);
    ready(&claimer).await;
    log.fail_reads(Fault::Hang);
    let request = new_request();
    let earlier = Claim {
        request,
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
    let (verdict, ()) = tokio::join!(claim(&claimer, &log, request), heal);
    match verdict {
        Ok(Verdict::Taken(found)) => assert_eq!(found.attempt, owner),
        other => panic!("expected another owner, got {other:?}"),
    }
    token.cancel();
}

/// The log is unavailable. The caller gets an error with a retry delay, and nothing was run. When
/// the log is back, the same request id can be claimed: the abandoned claim is released, although
/// its record reached the log.
#[tokio::test(start_paused = true)]
async fn an_outage_refuses_and_heals() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let claimer = claimer(&log, "node-1", &token);
    ready(&claimer).await;
    let request = new_request();
    // The claim reaches the log, but neither the response nor a read arrives in time.
    log.fail_appends(Fault::LoseAnswer);
    log.fail_reads(Fault::Hang);
    let refused = claim(&claimer, &log, request).await;
    assert!(
        matches!(refused, Err(Error::Unavailable { .. })),
        "{refused:?}"
    );
    assert!(!log.records(Stream::Claims).is_empty());
    log.fail_appends(Fault::None);
    log.fail_reads(Fault::None);
    claimer.flush().await;
    let end = Offset::of(&log);
    let read = claimer
        .follower()
        .wait(in_ten_seconds(), |_| {
            (claimer.follower().next_offset().0 >= end).then_some(())
        })
        .await;
    assert!(read.is_some(), "the outcome is read");
    owned(claim(&claimer, &log, request).await);
    token.cancel();
}

struct Offset;

impl Offset {
    fn of(log: &Memory) -> u64 {
        log.records(Stream::Claims).len() as u64
    }
}

/// The caller disconnects while its claim is in flight, so that the claiming task is dropped. The
/// claim reaches the log. It is released, and the caller's next attempt owns the request.
#[tokio::test(start_paused = true)]
async fn a_claim_dropped_on_the_way_is_released() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let claimer = claimer(&log, "node-1", &token);
    ready(&claimer).await;
    let request = new_request();
    log.fail_reads(Fault::Hang);
    let abandoned = claim(&claimer, &log, request);
    let outcome = tokio::time::timeout(Duration::from_millis(100), abandoned).await;
    assert!(
        outcome.is_err(),
        "the claim was decided before the caller left"
    );
    log.fail_reads(Fault::None);
    claimer.flush().await;
    let end = Offset::of(&log);
    claimer
        .follower()
        .wait(in_ten_seconds(), |_| {
            (claimer.follower().next_offset().0 >= end).then_some(())
        })
        .await
        .expect("the outcome is read");
    owned(claim(&claimer, &log, request).await);
    token.cancel();
}

/// The log has not responded for longer than the configured bound. Calls are refused without
/// waiting for it, and no claim is appended that could reach the log later.
#[tokio::test(start_paused = true)]
async fn a_known_outage_is_refused_at_once() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let claimer = claimer(&log, "node-1", &token);
    ready(&claimer).await;
    log.fail_reads(Fault::Hang);
    let mut refused = claim(&claimer, &log, new_request()).await;
    while refused.is_ok() {
        refused = claim(&claimer, &log, new_request()).await;
    }
    while claimer.follower().age() < Duration::from_millis(1_500) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let before = log.records(Stream::Claims).len();
    let request = new_request();
    let refused = claim(&claimer, &log, request).await;
    assert!(
        matches!(refused, Err(Error::Unavailable { .. })),
        "{refused:?}"
    );
    let written = log.records(Stream::Claims).split_off(before);
    let name = request.to_string();
    assert!(written.iter().all(|record| !record.contains(&name)));
    token.cancel();
}

/// The first claimer's VM is lost after its claim. Another attempt at the same request gets the
/// earlier owner and must not run: it is unknown whether the endpoint received the request.
#[tokio::test(start_paused = true)]
async fn a_dead_claimers_order_stays_claimed() {
    let log = Memory::new();
    let lost_token = CancellationToken::new();
    let one = claimer(&log, "node-1", &lost_token);
    ready(&one).await;
    let request = new_request();
    let ticket = owned(claim(&one, &log, request).await);
    lost_token.cancel();
    let token = CancellationToken::new();
    let two = claimer(&log, "node-2", &token);
    ready(&two).await;
    match claim(&two, &log, request).await {
        Ok(Verdict::Taken(owner)) => {
            assert_eq!(owner.attempt, ticket.attempt);
            assert_eq!(owner.run, None);
        }
        other => panic!("expected the dead claimer's claim, got {other:?}"),
    }
    token.cancel();
}

/// An endpoint refuses the request without starting it, and the claimer records that. The caller's
/// next attempt, at another VM, owns the request.
#[tokio::test(start_paused = true)]
async fn a_call_that_did_not_run_is_free_again() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let one = claimer(&log, "node-1", &token);
    let two = claimer(&log, "node-2", &token);
    ready(&one).await;
    ready(&two).await;
    let request = new_request();
    let ticket = owned(claim(&one, &log, request).await);
    one.report(ticket, Run::NotRun, None);
    one.flush().await;
    let end = Offset::of(&log);
    two.follower()
        .wait(in_ten_seconds(), |_| {
            (two.follower().next_offset().0 >= end).then_some(())
        })
        .await
        .expect("the outcome is read");
    owned(claim(&two, &log, request).await);
    token.cancel();
}

/// The claimer's process is paused between claim and dispatch until after the caller's deadline.
/// Its ticket is no longer valid, so it does not dispatch.
#[tokio::test(start_paused = true)]
async fn a_paused_claimer_does_not_dispatch() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let claimer = claimer(&log, "node-1", &token);
    ready(&claimer).await;
    let ticket = owned(claim(&claimer, &log, new_request()).await);
    assert!(ticket.is_valid(Instant::now()));
    tokio::time::advance(Duration::from_secs(11)).await;
    assert!(!ticket.is_valid(Instant::now()));
    token.cancel();
}

/// Request ids whose age is unreadable or does not allow a claim are refused before anything is
/// appended.
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
    let young = new_request();
    let later = log.now() + Duration::from_hours(1);
    let refused = claimer.claim(young, DIGEST, later, in_ten_seconds()).await;
    let age = Age::Old;
    assert_eq!(refused.expect_err("refused"), Error::Age { age });
    assert!(log.records(Stream::Claims).is_empty());
    token.cancel();
}
