//! Connections that receive a request at the same time.

use std::time::Duration;

use pimento_serve::receiving::Receiving;
use tokio::time::Instant;
use tokio::time::timeout;

/// Time in which a connection is accepted if nothing keeps it waiting.
const AT_ONCE: Duration = Duration::from_millis(30);

/// Guards against a limit that is not kept, so that requests fill the link.
#[tokio::test]
async fn a_connection_over_the_limit_waits_until_a_request_was_received() {
    let receiving = Receiving::default();
    let first = receiving.acquire(|| Some(2)).await;
    let _second = receiving.acquire(|| Some(2)).await;
    let third = timeout(AT_ONCE, receiving.acquire(|| Some(2))).await;
    assert!(third.is_err(), "accepted over the limit");
    drop(first);
    let third = timeout(AT_ONCE, receiving.acquire(|| Some(2))).await;
    assert!(third.is_ok(), "still waits");
}

/// Guards against callers that send slowly, or nothing, and keep all others from being accepted.
#[tokio::test]
async fn a_connection_counts_for_a_short_time_only() {
    let receiving = Receiving::default();
    let _silent = receiving.acquire(|| Some(1)).await;
    let begun = Instant::now();
    let _next = receiving.acquire(|| Some(1)).await;
    assert!(begun.elapsed() >= Duration::from_millis(200));
}

/// Guards against connections that wait although the link has room again.
#[tokio::test]
async fn a_limit_that_is_lifted_ends_the_wait() {
    let receiving = Receiving::default();
    let _first = receiving.acquire(|| Some(1)).await;
    let begun = Instant::now();
    let limit = || (begun.elapsed() < Duration::from_millis(50)).then_some(1);
    let _next = receiving.acquire(limit).await;
    assert!(begun.elapsed() < Duration::from_millis(200));
}

/// Guards against requests on open connections that are not counted.
#[tokio::test]
async fn requests_on_open_connections_count_too() {
    let receiving = Receiving::default();
    let _open = receiving.begin();
    let waiting = timeout(AT_ONCE, receiving.acquire(|| Some(1))).await;
    assert!(waiting.is_err());
}
