//! The rate-limited weight store.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use pimento_wire::platform::Fetch;
use snafu::Snafu;

use crate::http;
use crate::http::Client;
use crate::http::Failure;

/// The platform's weight store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Copies the weights of a version to a zone, and returns when they are there. Idempotent.
    fn fetch(&self, fetch: Fetch) -> impl Future<Output = Result<(), Error>> + Send;
}

/// Why a version's weights could not be fetched.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The store refused the call before acting on it, or no connection was made.
    #[snafu(display("the weight store refused the call; retry after {retry_after:?}"))]
    Refused {
        /// Time to wait before the next call.
        retry_after: Duration,
    },
    /// There was no answer, or its status was an error. The fetch may have taken place.
    #[snafu(display("no valid answer from the weight store: {reason}"))]
    Lost {
        /// What happened.
        reason: String,
    },
}

/// HTTP client for the weight store, as specified in [`pimento_wire::platform`].
#[derive(Debug, Clone)]
pub struct Remote {
    client: Client,
}

impl Remote {
    /// A client for the store at `address`. An answer must begin within `timeout` and must not pause
    /// for longer than `timeout`. Fetching weights takes long, so this timeout is far above those of the
    /// other services.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let client = Client::new(address, timeout);
        Self { client }
    }
}

impl Store for Remote {
    async fn fetch(&self, fetch: Fetch) -> Result<(), Error> {
        let reply = self.client.post("/fetch", &fetch).await?;
        if let Some(retry_after) = reply.refusal() {
            return Err(Error::Refused { retry_after });
        }
        if reply.status != StatusCode::OK {
            let reason = format!("status {}", reply.status);
            return Err(Error::Lost { reason });
        }
        Ok(())
    }
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Unreachable(_) => Self::Refused {
                retry_after: http::RETRY_DELAY,
            },
            Failure::Lost(reason) => Self::Lost { reason },
        }
    }
}
