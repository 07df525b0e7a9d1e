//! What an abort ends.

use crate::support::Caller;
use crate::support::Server;
use crate::support::catch_up;

/// Guards against a stream that an abort ends and that looks complete to a caller of HTTP/1.0.
#[tokio::test]
async fn aborted_stream_without_chunks_ends_with_a_reset() {
    let server = Server::start().await;
    let mut caller = Caller::connect(server.address).unwrap();
    assert!(caller.write("GET /cut HTTP/1.0\r\nhost: loopback\r\n\r\n"));
    catch_up().await;
    server.stop.closing.cancel();
    catch_up().await;
    server.stop.abort.cancel();
    let answer = caller.answer().await;
    assert!(answer.reset, "{answer:?}");
    server.stopped().await;
}
