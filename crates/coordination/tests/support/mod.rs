//! Small fakes at the platform's interfaces, shared by the tests of this crate.

#![allow(dead_code, reason = "each test program uses its own part of this")]

pub mod memory;
pub mod nodes;
pub mod relay;

use std::net::SocketAddr;
use std::time::Duration;

use pimento_wire::frame::Key;
use tokio::net::TcpSocket;
use tokio::time::Instant;

/// The bound of every wait on an event; reached only when a test fails.
pub const BOUND: Duration = Duration::from_secs(20);

/// Waits until `look` finds something.
///
/// # Panics
///
/// If it does not within [`BOUND`].
pub async fn eventually<T>(what: &str, look: impl AsyncFn() -> Option<T>) -> T {
    let end = Instant::now() + BOUND;
    while Instant::now() < end {
        if let Some(found) = look().await {
            return found;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("not seen within {BOUND:?}: {what}");
}

/// An address that refuses connections for as long as the socket lives. The port is bound and nobody
/// listens on it, so that no other test can get it meanwhile.
pub fn nobody() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

/// The key of this test's nodes. Each test has its own, by the name of its thread: a port that one
/// test gave back may become that of another, which must not take the other's nodes for its own.
pub fn key() -> Key {
    let thread = std::thread::current();
    Key::derive(thread.name().unwrap_or("test"))
}

/// The moment at which a test gives up.
pub fn bound() -> Instant {
    Instant::now() + BOUND
}
