//! Clean shutdown under load.

use hyper::StatusCode;
use tokio::io::AsyncReadExt;

use crate::ending::begun_stream;
use crate::support::Fixture;
use crate::support::wait_until;

/// Long streams are in flight when the entry VM shuts down. It stops being ready immediately, every
/// stream is finished, and all bills are on the log when the shutdown returns.
#[tokio::test]
async fn requests_in_flight_are_finished_and_billed() {
    let fixture = Fixture::start(2).await;
    for engine in &fixture.engines {
        engine.handler.change(|settings| settings.token_us = 10_000);
    }
    let entry = fixture.entry_with("entry-1", &[("grace", "300ms")]).await;
    let send = || entry.chat("answer in 100 tokens", true).send();
    let pending: Vec<_> = (0..6).map(|_| tokio::spawn(send())).collect();
    wait_until("all streams have started", || fixture.started() == 6).await;
    let ready = entry.operators("/ready").await;
    assert_eq!(ready.status, StatusCode::OK);
    let client = entry.request(hyper::Method::GET, "/v1/models");
    let node = entry.running.node.clone();
    let shutdown = tokio::spawn(entry.running.shut_down());
    wait_until("the entry VM is not ready", || !node.ready()).await;
    // Within the grace period it still answers, and closes the connection.
    let answer = client.send().await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.header("connection"), "close");
    for pending in pending {
        let answer = pending.await.unwrap();
        assert!(answer.whole_stream(), "{:?}", answer.events());
    }
    assert!(shutdown.await.unwrap(), "clean shutdown");
    assert_eq!(fixture.bills().len(), 6);
}

/// A stream that takes too long is aborted at the last bound. The caller's body ends with an error,
/// so that the part is not taken for the whole answer.
#[tokio::test]
async fn the_last_bound_cuts_without_a_clean_end() {
    let fixture = Fixture::start(1).await;
    fixture.engines[0]
        .handler
        .change(|settings| settings.token_us = 200_000);
    let settings = [("grace", "0ms"), ("last-bound", "300ms")];
    let entry = fixture.entry_with("entry-1", &settings).await;
    let mut stream = begun_stream(&entry).await;
    assert!(!entry.running.shut_down().await);
    let mut rest = Vec::new();
    let end = stream.read_to_end(&mut rest).await;
    // The last chunk of a complete body is empty.
    assert!(end.is_err() || !rest.ends_with(b"0\r\n\r\n"), "{rest:?}");
    assert!(fixture.bills().is_empty());
}
