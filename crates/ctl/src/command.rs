//! The subcommands, one module each.

pub mod bills;
pub mod contract;
pub mod endpoint;
pub mod explain;
pub mod history;
pub mod key;
pub mod publish;
pub mod show;
pub mod status;
pub mod version;

use std::net::SocketAddr;
use std::time::Duration;

use pimento_coordination::log;
use tokio::time::Instant;

use crate::exit::Error;
use crate::progress::Progress;
use crate::snapshot::Snapshot;

/// Common parameters of the commands that use the log.
#[derive(Debug, Clone)]
pub struct Context {
    /// Client of the log.
    pub log: log::Remote,
    /// When the command gives up.
    pub deadline: Instant,
    /// Name of the operator, recorded in the log with each change.
    pub by: String,
}

impl Context {
    /// Creates the context of a command whose deadline is `timeout` from now.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration, by: impl Into<String>) -> Self {
        Self {
            log: log::Remote::new(address, timeout.min(CALL_TIMEOUT)),
            deadline: Instant::now() + timeout,
            by: by.into(),
        }
    }

    /// Reads the configuration in force.
    ///
    /// # Errors
    ///
    /// [`Error::Log`] if the log can't be read before the deadline.
    pub async fn snapshot(&self) -> Result<Snapshot, Error> {
        let _progress = Progress::new("reading the configuration");
        Snapshot::load(&self.log, self.deadline)
            .await
            .map_err(|source| Error::Log { source })
    }

    /// Reads the configuration in force as the base of a change.
    ///
    /// # Errors
    ///
    /// As [`Context::snapshot`], and [`Error::Failed`] if the snapshot is incomplete: the revision
    /// that a change must name as its base is then unknown.
    pub async fn complete_snapshot(&self) -> Result<Snapshot, Error> {
        let snapshot = self.snapshot().await?;
        if snapshot.complete {
            return Ok(snapshot);
        }
        Err(Error::failed(
            "the log no longer retains early changes and no checkpoint covers them; \
             retry after an entry VM has written a checkpoint",
        ))
    }
}

/// Time limit of one call to the log. It is shorter than the default timeout of a command, so that
/// the command has time to read the verdicts back after a lost response.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
