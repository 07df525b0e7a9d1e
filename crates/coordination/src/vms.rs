//! The platform's lagging list of VMs.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use pimento_wire::platform::Vms;
use snafu::Snafu;

use crate::http::Client;
use crate::http::Failure;

/// The platform's list of VMs.
pub trait List: Clone + Send + Sync + 'static {
    /// The platform's current list, which may lag behind.
    fn list(&self) -> impl Future<Output = Result<Vms, Error>> + Send;
}

/// The list could not be fetched.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("failed to fetch the VM list: {reason}"))]
pub struct Error {
    /// What happened.
    pub reason: String,
}

/// HTTP client for the list, as specified in [`pimento_wire::platform`].
#[derive(Debug, Clone)]
pub struct Remote {
    client: Client,
}

impl Remote {
    /// A client for the list at `address`. An answer must begin within `timeout` and must not pause
    /// for longer than `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let client = Client::new(address, timeout);
        Self { client }
    }
}

impl List for Remote {
    async fn list(&self) -> Result<Vms, Error> {
        let reply = self.client.get("/vms", Duration::ZERO).await?;
        reply.decode_ok().map_err(|reason| Error { reason })
    }
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        let reason = failure.reason();
        Self { reason }
    }
}
