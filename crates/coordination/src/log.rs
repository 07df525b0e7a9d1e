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
    /// Appends records (JSON text each) atomically and returns the offset of the first.
    fn append(
        &self,
        stream: Stream,
        records: Vec<String>,
    ) -> impl Future<Output = Result<Offset, Error>> + Send;

    /// Reads at most `max` records starting at `from`. Waits up to `wait` if there are none yet.
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
    /// The log refused the call before it had any effect, since its rate limit is exceeded or it
    /// has announced an outage; or no connection could be made. A refused record is not on the log.
    #[snafu(display("the log refused the call, retry after {retry_after:?}"))]
    Refused {
        /// Delay before the next attempt.
        retry_after: Duration,
    },
    /// There was no response, or it could not be decoded: an append may or may not have taken
    /// effect.
    #[snafu(display("the log's response was lost: {reason}"))]
    Lost {
        /// The cause.
        reason: String,
    },
    /// The records at the requested offset have expired.
    #[snafu(display("the log only retains records from offset {oldest} on"))]
    Gone {
        /// The oldest offset that is retained.
        oldest: Offset,
    },
}

/// A client of the log over HTTP; the messages are in [`pimento_wire::platform`].
#[derive(Debug, Clone)]
pub struct Remote {
    client: Client,
}

impl Remote {
    /// A client of the log at `address`. `timeout` bounds the time until a response begins, beyond
    /// the wait of a read, and then each gap until more of it arrives.
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
