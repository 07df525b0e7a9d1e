//! Answers that their callers don't read, or read late.

use std::time::Duration;

use pimento_serve::ReplyBody;
use pimento_serve::unread::CALLER_BYTES;
use pimento_serve::unread::MAX_CALLER_BYTES;
use pimento_serve::unread::Unread;

use crate::support::BOUND;
use crate::support::Caller;
use crate::support::LARGE;
use crate::support::Script;
use crate::support::Server;
use crate::support::catch_up;

/// Sends pieces until there is no room for one within a moment, and returns the bytes sent.
async fn fill(writer: &pimento_serve::Writer, piece: usize) -> usize {
    let mut sent = 0;
    let moment = Duration::from_millis(50);
    while let Ok(result) = tokio::time::timeout(moment, writer.send(vec![0; piece])).await {
        result.unwrap();
        sent += piece;
    }
    sent
}

/// Guards against one caller, or all together, that take more memory than they may.
#[tokio::test]
async fn unread_pieces_are_bounded_in_bytes() {
    for piece in [10, 1_000, 15_000] {
        let (writer, _body) = ReplyBody::stream();
        let sent = fill(&writer, piece).await;
        assert!(sent <= MAX_CALLER_BYTES, "{sent} bytes of {piece}");
        assert!(sent >= MAX_CALLER_BYTES / 30, "{sent} bytes of {piece}");
    }
    let shared = Unread::new(MAX_CALLER_BYTES);
    let mut bodies = Vec::new();
    let mut sent = 0;
    for _ in 0..10 {
        let (writer, body) = ReplyBody::stream_within(&shared);
        sent += fill(&writer, 1_000).await;
        bodies.push((writer, body));
    }
    assert!(sent <= MAX_CALLER_BYTES + 10 * CALLER_BYTES, "{sent} bytes");
    assert!(sent >= 10 * CALLER_BYTES / 2, "{sent} bytes");
    drop(bodies);
    assert_eq!(shared.free(), MAX_CALLER_BYTES);
}

/// Guards against connections that are kept for callers who never read, and against half an answer without a
/// length that looks whole to them.
#[tokio::test]
async fn a_caller_that_never_reads_is_given_up() {
    let script = Script {
        unread_timeout: Some(Duration::from_millis(300)),
        ..Script::default()
    };
    let server = Server::with(script).await;
    let mut caller = Caller::connect(server.address).unwrap();
    assert!(caller.write("GET /large HTTP/1.0\r\nhost: loopback\r\n\r\n"));
    let given_up = server.script.gone.cancelled();
    let given_up = tokio::time::timeout(BOUND, given_up).await;
    given_up.expect("the caller is given up");
    let answer = caller.answer().await;
    assert!(answer.reset, "half an answer looks whole");
    assert!(answer.body < LARGE);
}

/// Guards against answers that are lost to callers who read after a while.
#[tokio::test]
async fn a_caller_that_comes_back_gets_the_whole_answer() {
    let server = Server::start().await;
    let mut caller = Caller::connect(server.address).unwrap();
    assert!(caller.write("GET /large HTTP/1.0\r\nhost: loopback\r\n\r\n"));
    catch_up().await;
    let answer = caller.answer().await;
    assert_eq!((answer.body, answer.reset), (LARGE, false));
    assert!(!server.script.gone.is_cancelled());
}
