//! The service that rates answers.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use pimento_wire::platform::Rate;
use pimento_wire::platform::Rating;
use snafu::Snafu;

use crate::http::Client;
use crate::http::Failure;

/// The rating service.
pub trait Rater: Clone + Send + Sync + 'static {
    /// Rates a complete answer.
    fn rate(&self, rate: Rate) -> impl Future<Output = Result<Rating, Error>> + Send;
}

/// The rating could not be fetched.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("failed to rate the answer: {reason}"))]
pub struct Error {
    /// What happened.
    pub reason: String,
}

/// HTTP client for the rating service, as specified in [`pimento_wire::platform`].
#[derive(Debug, Clone)]
pub struct Remote {
    client: Client,
}

impl Remote {
    /// A client for the rating service at `address`. An answer must begin within `timeout` and must not
    /// pause for longer than `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let client = Client::new(address, timeout);
        Self { client }
    }
}

impl Rater for Remote {
    async fn rate(&self, rate: Rate) -> Result<Rating, Error> {
        let reply = self.client.post("/rate", &rate).await?;
        reply.decode_ok().map_err(|reason| Error { reason })
    }
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        let reason = failure.reason();
        Self { reason }
    }
}
