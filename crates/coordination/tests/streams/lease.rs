//! A lease has one holder at a time.

use std::time::Duration;

use pimento_coordination::Appender;
use pimento_coordination::Follower;
use pimento_coordination::appender;
use pimento_coordination::lease::Config;
use pimento_coordination::lease::Held;
use pimento_coordination::lease::Lease;
use pimento_coordination::lease::View;
use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_units::Span;
use pimento_units::id;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::faulty::Fault;
use crate::faulty::Memory;

const SPAN: Duration = Duration::from_millis(900);

fn resource() -> id::Resource {
    "orders:pimento-llm:kig-remera".parse().expect("a name")
}

/// A node's lease. `stops` ends only the lease, since its release needs the log.
fn lease(log: &Memory, node: &str, token: &CancellationToken, stops: &CancellationToken) -> Lease {
    let config = Config {
        span: Span::from(SPAN),
        margin: SPAN / 9,
    };
    let appender = Appender::start(log.clone(), appender::Config::default(), token.clone());
    let view = View::default();
    let follower = Follower::start(log.clone(), Stream::Leases, Offset(0), view, token.clone());
    let node = node.parse().expect("a name");
    Lease::start(resource(), node, config, appender, follower, stops.clone())
}

async fn held(lease: &Lease) -> Held {
    let deadline = Instant::now() + Duration::from_secs(20);
    loop {
        if let Some(fencing) = lease.held() {
            return fencing;
        }
        assert!(Instant::now() < deadline, "not held in time");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Two nodes try to acquire one lease. One holds it under the same fencing number over many
/// renewals; the other never holds it at the same time.
#[tokio::test(start_paused = true)]
async fn one_of_two_holds() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let one = lease(&log, "node-1", &token, &token);
    let first = held(&one).await;
    let two = lease(&log, "node-2", &token, &token);
    let end = Instant::now() + 4 * SPAN;
    while Instant::now() < end {
        assert_eq!(held(&one).await.number, first.number);
        assert!(two.held().is_none());
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    token.cancel();
}

/// The log fails while a node holds the lease. Its renewals fail, and it stops by its own clock.
/// When the log is back, the lease is acquired under a higher fencing number.
#[tokio::test(start_paused = true)]
async fn a_holder_without_the_log_stops() {
    let log = Memory::new();
    let token = CancellationToken::new();
    let one = lease(&log, "node-1", &token, &token);
    let first = held(&one).await;
    log.fail_appends(Fault::Refuse);
    let deadline = Instant::now() + 10 * SPAN;
    while one.held().is_some() {
        assert!(Instant::now() < deadline, "still held without the log");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // The lease must also expire by the log's clock, or the next `Acquire` would renew it.
    tokio::time::sleep(SPAN).await;
    log.fail_appends(Fault::None);
    let next = held(&one).await;
    assert!(next.number > first.number);
    token.cancel();
}

/// A holder shuts down and releases the lease. Its successor need not wait until the lease expires.
#[tokio::test(start_paused = true)]
async fn a_released_lease_is_acquired_at_once() {
    let log = Memory::new();
    let stops = CancellationToken::new();
    let token = CancellationToken::new();
    let one = lease(&log, "node-1", &token, &stops);
    let first = held(&one).await;
    let two = lease(&log, "node-2", &token, &token);
    stops.cancel();
    let began = Instant::now();
    let next = held(&two).await;
    assert!(next.number > first.number);
    assert!(
        began.elapsed() < SPAN / 2,
        "waited for {:?}",
        began.elapsed()
    );
    token.cancel();
}

/// A holder releases the lease, and a node starts after that. It does not wait for the expiry of a
/// lease that nobody holds.
#[tokio::test(start_paused = true)]
async fn a_node_that_starts_later_finds_a_released_lease_free() {
    let log = Memory::new();
    let stops = CancellationToken::new();
    let token = CancellationToken::new();
    let one = lease(&log, "node-1", &token, &stops);
    held(&one).await;
    stops.cancel();
    while log.records(Stream::Leases).len() < 2 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let began = Instant::now();
    let two = lease(&log, "node-2", &token, &token);
    held(&two).await;
    assert!(
        began.elapsed() < SPAN / 2,
        "waited for {:?}",
        began.elapsed()
    );
    token.cancel();
}

/// All responses to appends are lost. The node finds its own record by reading, and holds the
/// lease.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_read_back() {
    let log = Memory::new();
    let token = CancellationToken::new();
    log.fail_appends(Fault::LoseAnswer);
    let one = lease(&log, "node-1", &token, &token);
    let first = held(&one).await;
    tokio::time::sleep(2 * SPAN).await;
    assert_eq!(held(&one).await.number, first.number);
    token.cancel();
}
