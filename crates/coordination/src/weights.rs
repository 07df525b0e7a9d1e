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
    /// Brings a version to a zone; done when it returns. Asking twice does no harm.
    fn fetch(&self, fetch: Fetch) -> impl Future<Output = Result<(), Error>> + Send;
}

/// Why a version could not be brought.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Over the store's rate.
    #[snafu(display("the weight store refused the call, ask again after {after:?}"))]
    Refused {
        /// When to ask again.
        after: Duration,
    },
    /// No answer, or one that can't be read.
    #[snafu(display("the weight store's answer was lost: {reason}"))]
    Lost {
        /// What happened.
        reason: String,
    },
}

/// The weight store over HTTP, as in [`pimento_wire::platform`].
#[derive(Debug, Clone)]
pub struct Remote {
    client: Client,
}

impl Remote {
    /// The store at `address`; an answer may take `timeout` to begin, and as long to go on. Fetching
    /// weights takes long, so this is set far above the timeouts of the other services.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let client = Client::new(address, timeout);
        Self { client }
    }
}

impl Store for Remote {
    async fn fetch(&self, fetch: Fetch) -> Result<(), Error> {
        let reply = self.client.post("/fetch", &fetch).await?;
        if let Some(after) = reply.refusal() {
            return Err(Error::Refused { after });
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
                after: http::RETRY_DELAY,
            },
            Failure::Lost(reason) => Self::Lost { reason },
        }
    }
}
