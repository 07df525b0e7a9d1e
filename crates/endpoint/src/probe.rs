//! Probes whether a program listens at an endpoint's address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Whether a new connection is refused, which shows that the listening program has stopped. Returns
/// false if there is no response within `timeout`, since the network may be partitioned instead.
pub async fn is_refused(address: SocketAddr, timeout: Duration) -> bool {
    match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
