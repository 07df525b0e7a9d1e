//! Requests that cross the closing of a server.
//!
//! The runtime has one thread, so that a server can do nothing between two synchronous calls of a test:
//! it is behind.

use crate::support::Caller;
use crate::support::Server;
use crate::support::catch_up;
use crate::support::get;
use crate::support::post;
use crate::support::take_notice;

/// Asserts that a caller gets a whole answer that closes its connection, and that the server stops.
async fn assert_answered(caller: Caller, server: Server) {
    let answer = caller.answer().await;
    assert!(answer.body_whole() && answer.close, "{answer:?}");
    server.stopped().await;
}

/// Guards against closing a kept connection on which a request has arrived unread.
#[tokio::test]
async fn unread_request_on_a_kept_connection_is_answered() {
    let server = Server::start().await;
    let mut caller = Caller::connect(server.address).unwrap().keep().await;
    assert!(caller.write(get("/now")));
    server.stop.closing.cancel();
    assert_answered(caller, server).await;
}

/// Guards against closing a new connection whose first request has arrived unread.
#[tokio::test]
async fn unread_first_request_is_answered() {
    let server = Server::start().await;
    let mut caller = Caller::connect(server.address).unwrap();
    catch_up().await;
    assert!(caller.write(get("/now")));
    server.stop.closing.cancel();
    assert_answered(caller, server).await;
}

/// Guards against closing a new connection whose first request is on its way.
#[tokio::test]
async fn first_request_after_closing_is_answered() {
    let server = Server::start().await;
    let mut caller = Caller::connect(server.address).unwrap();
    catch_up().await;
    server.stop.closing.cancel();
    take_notice().await;
    assert!(caller.write(get("/now")));
    assert_answered(caller, server).await;
}

/// Guards against resetting connections that the kernel has accepted and the server has not.
#[tokio::test]
async fn connections_in_the_backlog_are_accepted_and_answered() {
    let server = Server::start().await;
    catch_up().await;
    let mut callers: Vec<_> = (0..100)
        .map(|_| Caller::connect(server.address).unwrap())
        .collect();
    for caller in &mut callers {
        assert!(caller.write(get("/now")));
    }
    server.stop.closing.cancel();
    for caller in callers {
        let answer = caller.answer().await;
        assert!(answer.body_whole() && answer.close, "{answer:?}");
    }
    assert!(Caller::connect(server.address).is_err());
    server.stopped().await;
}

/// Guards against closing a kept connection on which the head of a request has arrived in part.
#[tokio::test]
async fn request_read_in_part_is_answered() {
    let server = Server::start().await;
    let mut caller = Caller::connect(server.address).unwrap().keep().await;
    let request = get("/now");
    let (first, rest) = request.split_at(20);
    assert!(caller.write(first));
    catch_up().await;
    server.stop.closing.cancel();
    take_notice().await;
    assert!(caller.write(rest));
    assert_answered(caller, server).await;
}

/// Guards against ending a request whose body arrives after closing.
#[tokio::test]
async fn body_after_closing_is_read() {
    let server = Server::start().await;
    let mut caller = Caller::connect(server.address).unwrap();
    assert!(caller.write(post("/now", 10)));
    catch_up().await;
    server.stop.closing.cancel();
    catch_up().await;
    assert!(caller.write([0; 10]));
    assert_answered(caller, server).await;
}

/// Guards against a server that waits for callers who neither ask for anything nor close.
#[tokio::test]
async fn idle_connections_are_closed() {
    let server = Server::start().await;
    let new = Caller::connect(server.address).unwrap();
    let kept = Caller::connect(server.address).unwrap().keep().await;
    let mut stuck = Caller::connect(server.address).unwrap().keep().await;
    assert!(stuck.write("GET /now"));
    catch_up().await;
    server.stop.closing.cancel();
    server.stopped().await;
    for caller in [new, kept, stuck] {
        assert_eq!(caller.answer().await.status, None);
    }
}

/// Guards against connections that the kernel accepts for a server which no longer does, and closes unanswered.
#[tokio::test]
async fn new_connections_are_refused_while_requests_are_answered() {
    let server = Server::start().await;
    let mut caller = Caller::connect(server.address).unwrap().keep().await;
    assert!(caller.write("GET /now"));
    catch_up().await;
    server.stop.closing.cancel();
    take_notice().await;
    assert!(Caller::connect(server.address).is_err());
    server.stopped().await;
}
