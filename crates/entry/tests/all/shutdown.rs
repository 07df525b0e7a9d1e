//! An orderly end under load.

use hyper::StatusCode;

use crate::support::World;
use crate::support::until;

/// Long streams are in flight when the entry VM is told to end. It is no longer ready at once, no
/// caller sees a cut, and all bills are on the log when it says that it has ended.
#[tokio::test]
async fn requests_in_flight_are_finished_and_billed() {
    let world = World::start(2).await;
    for engine in &world.engines {
        engine.site.change(|settings| settings.token_us = 10_000);
    }
    let entry = world.entry_with("entry-1", &[("grace", "300ms")]).await;
    let ask = || entry.chat("answer in 100 tokens", true).send();
    let asked: Vec<_> = (0..6).map(|_| tokio::spawn(ask())).collect();
    until("all have begun", || world.started() == 6).await;
    let ready = entry.operators("/ready").await;
    assert_eq!(ready.status, StatusCode::OK);
    let client = entry.ask(hyper::Method::GET, "/v1/models");
    let node = entry.running.node.clone();
    let ending = tokio::spawn(entry.running.shut_down());
    until("it is not ready", || !node.ready()).await;
    // Within the grace it still answers, and asks for the connection to be closed.
    let answer = client.send().await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.header("connection"), "close");
    for asked in asked {
        let answer = asked.await.unwrap();
        assert!(answer.whole_stream(), "{:?}", answer.events());
    }
    assert!(ending.await.unwrap(), "it ended in order");
    assert_eq!(world.bills().len(), 6);
}

/// A stream that never ends is cut at the last bound: the caller sees an answer that broke off, not
/// a clean end.
#[tokio::test]
async fn the_last_bound_cuts_without_a_clean_end() {
    let world = World::start(1).await;
    world.engines[0]
        .site
        .change(|settings| settings.token_us = 200_000);
    let settings = [("grace", "0ms"), ("last-bound", "300ms")];
    let entry = world.entry_with("entry-1", &settings).await;
    let ask = entry.chat("answer in 400 tokens", true);
    let ask = ask.header("request-timeout", "600").send();
    let asked = tokio::spawn(ask);
    until("the stream has begun", || world.started() == 1).await;
    assert!(!entry.running.shut_down().await);
    // The caller's client reports a body that broke off, on which the helper panics.
    assert!(asked.await.is_err());
    assert!(world.bills().is_empty());
}
