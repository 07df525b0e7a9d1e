//! Whether anybody listens at an endpoint's address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Whether a new connection is refused, as it is where the program that listened has ended. Where no
/// answer comes within `bound`, that may be a cut as well.
pub async fn is_refused(address: SocketAddr, bound: Duration) -> bool {
    match tokio::time::timeout(bound, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
