//! The operators' address of an entry VM, as the command line and the controllers read it.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use pimento_wire::operators::State;
use snafu::Snafu;

use crate::http::Client;
use crate::http::Failure;

/// An entry VM's word on itself.
pub trait Operators: Clone + Send + Sync + 'static {
    /// Its state now.
    fn state(&self) -> impl Future<Output = Result<State, Error>> + Send;
}

/// The state could not be had.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the state could not be had: {reason}"))]
pub struct Error {
    /// What happened.
    pub reason: String,
}

/// An operators' address over HTTP, as in [`pimento_wire::operators`].
#[derive(Debug, Clone)]
pub struct Remote {
    client: Client,
}

impl Remote {
    /// The operators' address `address`; an answer may take `timeout` to begin, and as long to go on.
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
