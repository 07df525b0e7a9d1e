//! The platform's append-only log.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_wire::platform::Append;
use pimento_wire::platform::Appended;
use pimento_wire::platform::Batch;
use pimento_wire::platform::Gone;
use snafu::Snafu;

use crate::http;
use crate::http::Client;
use crate::http::Failure;
use crate::http::Reply;

/// The platform's log. Clones share one connection pool.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends records (JSON text each), all or none, and gives the first one's offset.
    fn append(
        &self,
        stream: Stream,
        records: Vec<String>,
    ) -> impl Future<Output = Result<Offset, Error>> + Send;

    /// Reads at most `max` records from `from` on, waiting up to `wait` if there are none yet.
    fn read(
        &self,
        stream: Stream,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, Error>> + Send;
}

/// Why a call to the log failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The log said no before it did anything: over its rate, or in an outage it announced. Also
    /// if no connection to it could be made. A record refused is surely not on the log.
    #[snafu(display("the log refused the call, ask again after {retry_after:?}"))]
    Refused {
        /// When to ask again.
        retry_after: Duration,
    },
    /// No answer, or one that can't be read: an append may or may not have taken effect.
    #[snafu(display("the log's answer was lost: {reason}"))]
    Lost {
        /// What happened.
        reason: String,
    },
    /// Retention has passed the offset asked for.
    #[snafu(display("the log keeps records from {oldest} on only"))]
    Gone {
        /// The oldest offset that is kept.
        oldest: Offset,
    },
}

/// The log over HTTP, as in [`pimento_wire::platform`].
#[derive(Debug, Clone)]
pub struct Remote {
    client: Client,
}

impl Remote {
    /// The log at `address`. The answer to a call may take `timeout` to begin, beyond the wait of a
    /// read, and as long to go on.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let client = Client::new(address, timeout);
        Self { client }
    }
}

impl Log for Remote {
    async fn append(&self, stream: Stream, records: Vec<String>) -> Result<Offset, Error> {
        let path = format!("/streams/{stream}");
        let reply = self.client.post(&path, &Append { records }).await?;
        check(&reply)?;
        let appended: Appended = reply.decode().map_err(lost)?;
        Ok(appended.first)
    }

    async fn read(
        &self,
        stream: Stream,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<Batch, Error> {
        let wait_ms = wait.as_millis();
        let path = format!("/streams/{stream}?from={from}&max={max}&wait_ms={wait_ms}");
        let reply = self.client.get(&path, wait).await?;
        check(&reply)?;
        reply.decode().map_err(lost)
    }
}

fn check(reply: &Reply) -> Result<(), Error> {
    if let Some(retry_after) = reply.refusal() {
        return Err(Error::Refused { retry_after });
    }
    match reply.status {
        StatusCode::OK => Ok(()),
        StatusCode::GONE => {
            let gone: Gone = reply.decode().map_err(lost)?;
            Err(Error::Gone {
                oldest: gone.oldest,
            })
        }
        status => Err(lost(format!("status {status}"))),
    }
}

const fn lost(reason: String) -> Error {
    Error::Lost { reason }
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
