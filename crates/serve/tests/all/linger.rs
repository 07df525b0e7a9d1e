//! Answers that a caller hasn't read when the server closes its connection.

use std::time::Duration;

use tokio::task::JoinHandle;

use crate::support::Caller;
use crate::support::Server;
use crate::support::catch_up;
use crate::support::get;
use crate::support::post;

/// More than the buffers of both ends hold.
const LONG_BODY: usize = 12 << 20;

/// Writes a long body, of which the server reads nothing, before the answer is read.
async fn write_long_body(caller: Caller) -> Caller {
    let writing = tokio::task::spawn_blocking(move || {
        let mut caller = caller;
        caller.write(vec![b'a'; LONG_BODY]);
        caller
    });
    writing.await.unwrap()
}

/// Guards against a reset that destroys an answer given before the body was read.
#[tokio::test]
async fn answer_before_a_long_body_arrives() {
    let server = Server::start().await;
    let mut caller = Caller::connect(server.address).unwrap();
    assert!(caller.write(post("/early", LONG_BODY)));
    let caller = write_long_body(caller).await;
    let answer = caller.answer().await;
    assert_eq!(answer.status, Some(413), "{answer:?}");
    assert!(answer.body_whole() && !answer.reset, "{answer:?}");
}

/// Guards against a reset that destroys the last answer where more requests have arrived.
#[tokio::test]
async fn last_answer_before_pipelined_requests_arrives() {
    let server = Server::start().await;
    let mut caller = Caller::connect(server.address).unwrap();
    assert!(caller.write(get("/held")));
    catch_up().await;
    server.stop.closing.cancel();
    catch_up().await;
    server.script.release.cancel();
    assert!(caller.write(get("/now").repeat(1_000)));
    catch_up().await;
    let answer = caller.answer().await;
    assert!(answer.body_whole() && !answer.reset, "{answer:?}");
    server.stopped().await;
}

/// Guards against a reset that destroys the refusal of a head that is too long.
#[tokio::test]
async fn refusal_of_a_long_head_arrives() {
    let server = Server::start().await;
    let mut caller = Caller::connect(server.address).unwrap();
    assert!(caller.write("GET /now HTTP/1.1\r\nlong: "));
    let caller = write_long_body(caller).await;
    let answer = caller.answer().await;
    assert_eq!(answer.status, Some(431), "{answer:?}");
    assert!(!answer.reset, "{answer:?}");
}

/// Guards against a broken-off stream that looks complete to a caller of HTTP/1.1.
#[tokio::test]
async fn broken_off_chunks_have_no_end() {
    let server = Server::start().await;
    let mut caller = Caller::connect(server.address).unwrap();
    assert!(caller.write(get("/cut")));
    catch_up().await;
    server.script.release.cancel();
    let answer = caller.answer().await;
    assert_eq!(answer.body, "5\r\npiece\r\n".len(), "{answer:?}");
}

/// Guards against a broken-off stream that looks complete to a caller of HTTP/1.0, for whom a stream
/// ends with its connection.
#[tokio::test]
async fn broken_off_stream_without_chunks_ends_with_a_reset() {
    let server = Server::start().await;
    let mut caller = Caller::connect(server.address).unwrap();
    assert!(caller.write("GET /cut HTTP/1.0\r\nhost: loopback\r\n\r\n"));
    catch_up().await;
    server.script.release.cancel();
    let answer = caller.answer().await;
    assert!(answer.reset, "{answer:?}");
}

/// Closes a server that has answered `caller` early; the caller goes on sending if it `sends`.
async fn close_before_body(server: &Server, sends: bool) -> JoinHandle<Caller> {
    let mut caller = Caller::connect(server.address).unwrap();
    assert!(caller.write(post("/early", LONG_BODY)));
    catch_up().await;
    server.stop.closing.cancel();
    tokio::task::spawn_blocking(move || {
        while sends && caller.write([0; 100]) {
            std::thread::sleep(Duration::from_millis(5));
        }
        caller
    })
}

/// Guards against waiting without end for callers who keep sending.
#[tokio::test]
async fn lingering_is_bounded() {
    let server = Server::start().await;
    let caller = close_before_body(&server, true).await;
    server.stopped().await;
    caller.await.unwrap();
}

/// Guards against lingering on beyond an abort.
#[tokio::test]
async fn abort_ends_lingering() {
    let server = Server::start().await;
    let aborted = Server::start().await;
    let callers = [
        close_before_body(&server, true).await,
        close_before_body(&aborted, true).await,
    ];
    aborted.stop.abort.cancel();
    let abort = server.stop.abort.clone();
    tokio::select! {
        biased;
        () = aborted.stopped() => {}
        () = server.stopped() => panic!("the server that is not aborted stops first"),
    }
    abort.cancel();
    for caller in callers {
        caller.await.unwrap();
    }
}

/// Guards against lingering on idle connections, whose requests have been read to their ends.
#[tokio::test]
async fn idle_connections_are_closed_without_lingering() {
    let server = Server::start().await;
    let idle = Server::start().await;
    let kept = Caller::connect(idle.address).unwrap().keep().await;
    let silent = close_before_body(&server, false).await;
    idle.stop.closing.cancel();
    tokio::select! {
        biased;
        () = idle.stopped() => {}
        () = server.stopped() => panic!("the server with an idle connection stops last"),
    }
    drop((kept, silent));
}
