//! Services that panic.

use crate::support::Answer;
use crate::support::Caller;
use crate::support::Server;
use crate::support::get;

/// Guards against connections that are closed without an answer when a service panics.
#[tokio::test]
async fn a_panic_is_answered() {
    let server = Server::start().await;
    let mut caller = Caller::connect(server.address).unwrap();
    assert!(caller.write(get("/panic")));
    let answer = caller.answer().await;
    assert_eq!(
        (answer.status, answer.close),
        (Some(500), true),
        "{answer:?}"
    );
    let next = Caller::connect(server.address).unwrap().keep().await;
    server.stop.closing.cancel();
    assert_eq!(next.answer().await, Answer::default());
    server.stopped().await;
}
