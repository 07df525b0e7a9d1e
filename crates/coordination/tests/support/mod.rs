//! Fakes of the platform's services and helpers, shared by the tests of this crate.

#![allow(dead_code, reason = "each test program uses only some of the items")]

pub mod memory;
pub mod nodes;
pub mod relay;

use std::net::SocketAddr;
use std::time::Duration;

use pimento_wire::frame::Key;
use tokio::net::TcpSocket;
use tokio::time::Instant;

/// Time limit of each wait for an event. Only a failing test reaches it.
pub const BOUND: Duration = Duration::from_secs(20);

/// Waits until `find` returns a value.
///
/// # Panics
///
/// If it does not within [`BOUND`].
pub async fn eventually<T>(what: &str, find: impl AsyncFn() -> Option<T>) -> T {
    let end = Instant::now() + BOUND;
    while Instant::now() < end {
        if let Some(found) = find().await {
            return found;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("timed out after {BOUND:?}: {what}");
}

/// An address that refuses connections until the socket is dropped. The port is bound without a
/// listener, so that no other test can be assigned it.
pub fn refusing_address() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

/// The key of the nodes of this test, derived from the name of the test's thread. A port that one test
/// has released may be assigned to another test, which must reject datagrams of the first one's nodes.
pub fn key() -> Key {
    let thread = std::thread::current();
    Key::derive(thread.name().unwrap_or("test"))
}

/// The deadline of a wait that starts now.
pub fn bound() -> Instant {
    Instant::now() + BOUND
}
