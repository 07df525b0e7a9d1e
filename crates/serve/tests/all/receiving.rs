//! Connections that receive a request at the same time.

use std::time::Duration;

use pimento_serve::receiving::Receiving;
use tokio::time::Instant;
use tokio::time::timeout;

/// Time in which a connection is accepted if nothing keeps it waiting.
const AT_ONCE: Duration = Duration::from_millis(30);

/// Whether there is room for one more connection where at most `limit` receive.
async fn has_room(receiving: &Receiving, limit: usize) -> bool {
    let waiting = receiving.wait_for_room(|| Some(limit));
    timeout(AT_ONCE, waiting).await.is_ok()
}

/// Guards against a limit that is not kept, so that requests fill the link.
#[tokio::test(start_paused = true)]
async fn a_connection_over_the_limit_waits_until_a_request_was_received() {
    let receiving = Receiving::default();
    let first = receiving.begin();
    assert!(has_room(&receiving, 2).await);
    let _second = receiving.begin();
    assert!(!has_room(&receiving, 2).await, "accepted over the limit");
    drop(first);
    assert!(has_room(&receiving, 2).await, "still waits");
}

/// Guards against callers that send slowly, or nothing, and keep all others from being accepted.
#[tokio::test(start_paused = true)]
async fn a_connection_counts_for_a_short_time_only() {
    let receiving = Receiving::default();
    let _silent = receiving.begin();
    assert!(!has_room(&receiving, 1).await);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(has_room(&receiving, 1).await);
}

/// Guards against connections that wait although the link has room again.
#[tokio::test(start_paused = true)]
async fn a_limit_that_is_lifted_ends_the_wait() {
    let receiving = Receiving::default();
    let _first = receiving.begin();
    let begun = Instant::now();
    let limit = || (begun.elapsed() < Duration::from_millis(50)).then_some(1);
    receiving.wait_for_room(limit).await;
    assert!(begun.elapsed() < Duration::from_millis(100));
}

/// Guards against a wait that only its limit ends, so that requests are received one in each interval.
#[tokio::test(start_paused = true)]
async fn a_received_request_ends_the_wait_at_once() {
    let receiving = Receiving::default();
    let first = receiving.begin();
    let begun = Instant::now();
    let done = async {
        tokio::time::sleep(Duration::from_millis(3)).await;
        drop(first);
    };
    tokio::join!(receiving.wait_for_room(|| Some(1)), done);
    assert!(begun.elapsed() < Duration::from_millis(10));
}
