//! Client for the operators' address of an entry VM, used by the command line and the controllers.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use pimento_wire::operators::State;
use snafu::Snafu;

use crate::http::Client;
use crate::http::Failure;

/// The state that an entry VM reports on itself.
pub trait Operators: Clone + Send + Sync + 'static {
    /// The VM's current state.
    fn state(&self) -> impl Future<Output = Result<State, Error>> + Send;
}

/// The state could not be fetched.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("failed to fetch the state: {reason}"))]
pub struct Error {
    /// What happened.
    pub reason: String,
}

/// HTTP client for an operators' address, as specified in [`pimento_wire::operators`].
#[derive(Debug, Clone)]
pub struct Remote {
    client: Client,
}

impl Remote {
    /// A client for the operators' address `address`. An answer must begin within `timeout` and must
    /// not pause for longer than `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let client = Client::new(address, timeout);
        Self { client }
    }
}

impl Operators for Remote {
    async fn state(&self) -> Result<State, Error> {
        let reply = self.client.get("/state", Duration::ZERO).await?;
        reply.decode_ok().map_err(|reason| Error { reason })
    }
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        let reason = failure.reason();
        Self { reason }
    }
}
