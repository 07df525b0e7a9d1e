//! One module for each subcommand.

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

/// What every command that uses the log needs.
#[derive(Debug, Clone)]
pub struct Context {
    /// The log.
    pub log: log::Remote,
    /// Until when the command may go on.
    pub deadline: Instant,
    /// Who gives the command, as the log keeps it.
    pub by: String,
}

impl Context {
    /// A context for a command that takes at most `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration, by: impl Into<String>) -> Self {
        Self {
            log: log::Remote::new(address, timeout.min(CALL_TIMEOUT)),
            deadline: Instant::now() + timeout,
            by: by.into(),
        }
    }

    /// The configuration in force.
    ///
    /// # Errors
    ///
    /// [`Error::Log`] if the log can't be read in time.
    pub async fn snapshot(&self) -> Result<Snapshot, Error> {
        let _progress = Progress::new("reading the configuration");
        Snapshot::load(&self.log, self.deadline)
            .await
            .map_err(|source| Error::Log { source })
    }

    /// The configuration in force, to be changed.
    ///
    /// # Errors
    ///
    /// Besides, [`Error::Failed`] if it is not wholly known: revisions would be guessed.
    pub async fn complete_snapshot(&self) -> Result<Snapshot, Error> {
        let snapshot = self.snapshot().await?;
        if snapshot.complete {
            return Ok(snapshot);
        }
        Err(Error::failed(
            "early changes are no longer on the log and no checkpoint covers them; \
             let an entry VM write one and try again",
        ))
    }
}

/// One call to the log. A lost answer is read back well within the command's own timeout.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
