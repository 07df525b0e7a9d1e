//! Endpoints that send without end, in each place that the clients read.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use hyper::HeaderMap;
use hyper::Method;
use pimento_endpoint::Fault;
use pimento_endpoint::Pool;
use pimento_endpoint::engine;
use pimento_endpoint::engine::Engine;
use pimento_endpoint::service;
use pimento_endpoint::service::Service;
use pimento_units::id;
use pimento_wire::api::Chat;
use uuid::Uuid;

use crate::raw;

/// Timeout of a call, longer than any limit takes to be reached.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A response: its start, and what is repeated.
type Flood = (&'static str, &'static str);

/// Floods that no client may accept, whatever it asked for.
const HEADS: [Flood; 8] = [
    ("HTTP/1.1 200 OK\r\nx: ", "x"),
    ("HTTP/1.1 200 OK\r\n", "x: x\r\n"),
    ("HTTP/1.1 200 ", "x"),
    ("", "HTTP/1.1 102 x\r\n\r\n"),
    (
        "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
        "x",
    ),
    ("HTTP/1.1 200 OK\r\n\r\n", "x"),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;",
        "x",
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        "x: y\r\n",
    ),
];

/// Event streams without an event.
const STREAMS: [Flood; 6] = [
    (EVENTS, "x"),
    (EVENTS, "data: x\n"),
    (EVENTS, ": still here\n\n"),
    (EVENTS, ": still here\r\r"),
    (EVENTS, "\n"),
    (EVENTS, "id: 1\r\n\r\n"),
];
const EVENTS: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

/// Makes a call, which must end with [`Fault::Invalid`] and a closed connection.
async fn check<T>(flood: Flood, call: impl AsyncFnOnce(std::net::SocketAddr) -> Result<T, Fault>) {
    let (address, mut closed) = raw::flood(flood.0, flood.1).await;
    let called = tokio::time::timeout(TIMEOUT, call(address)).await;
    let fault = called.ok().and_then(Result::err);
    assert!(
        matches!(fault, Some(Fault::Invalid { .. })),
        "{flood:?}: {fault:?}"
    );
    let closing = tokio::time::timeout(TIMEOUT, closed.wait_for(|count| *count > 0));
    assert!(closing.await.is_ok(), "{flood:?} is not closed");
}

fn chat() -> engine::Call {
    engine::Call {
        attempt: id::Attempt(Uuid::nil()),
        chat: Chat {
            model: "pimento-mini@1".into(),
            messages: Vec::new(),
            stream: true,
            max_tokens: None,
            temperature: None,
        },
        priority: 1,
        timeout: TIMEOUT,
    }
}

fn plain_call() -> service::Call {
    service::Call {
        attempt: id::Attempt(Uuid::nil()),
        request: id::Request(Uuid::nil()),
        method: Method::GET,
        path: "/".into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: TIMEOUT,
    }
}

/// Guards against load reports, orders and whole answers that exhaust the memory, and against one that counts as a
/// crash of the engine.
#[tokio::test]
async fn a_whole_answer_without_end_is_invalid() {
    for flood in HEADS {
        check(flood, async |address| {
            engine::Remote::new(Pool::default(), address).load().await
        })
        .await;
        check(flood, async |address| {
            engine::Remote::new(Pool::default(), address).cache(0).await
        })
        .await;
        check(flood, async |address| {
            engine::Remote::new(Pool::default(), address)
                .complete(chat())
                .await
        })
        .await;
    }
}

/// Guards against the same from a plain service, also with the status of an error.
#[tokio::test]
async fn a_plain_answer_without_end_is_invalid() {
    let failed = ("HTTP/1.1 500 x\r\n\r\n", "x");
    for flood in HEADS.into_iter().chain([failed]) {
        check(flood, async |address| {
            service::Remote::new(Pool::default(), address)
                .call(plain_call())
                .await
        })
        .await;
    }
}

/// Guards against event streams that exhaust the memory or scan their bytes again for each piece.
#[tokio::test]
async fn a_stream_without_an_event_is_invalid() {
    for flood in STREAMS {
        check(flood, async |address| {
            let remote = engine::Remote::new(Pool::default(), address);
            let mut events = remote.stream(chat()).await?;
            while let Some(event) = events.next().await {
                event?;
            }
            Ok(())
        })
        .await;
    }
}

/// Guards against a limit that cuts a long answer, and against large bodies that wait for each other.
#[tokio::test]
async fn long_answers_pass() {
    const LENGTH: usize = 4 << 20;
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LENGTH}\r\nconnection: close\r\n\r\n");
    let answer = head + &"x".repeat(LENGTH);
    let address = raw::start(answer.leak()).await;
    let remote = service::Remote::new(Pool::default(), address);
    let calls = (0..8).map(|_| remote.call(plain_call()));
    for answer in futures::future::join_all(calls).await {
        assert_eq!(answer.map(|answer| answer.body.len()), Ok(LENGTH));
    }
}

/// Guards against fifty load reports of megabytes at a time.
#[tokio::test]
async fn a_long_load_report_is_invalid() {
    let report = r#"{"endpoint":"e","incarnation":1,"running":0,"waiting":0,"batch":1,"age_ms":0,"versions":[],"leaving":false}"#;
    for (spaces, passes) in [(32 << 10, true), (64 << 10, false)] {
        let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
        let answer = format!("{head}{}{report}", " ".repeat(spaces));
        let address = raw::start(answer.leak()).await;
        let load = engine::Remote::new(Pool::default(), address).load().await;
        assert_eq!(load.is_ok(), passes, "{load:?}");
        assert!(
            passes || matches!(load, Err(Fault::Invalid { .. })),
            "{load:?}"
        );
    }
}
