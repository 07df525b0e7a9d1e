//! Errors and their exit codes. Scripts depend on the codes, so they must not change.

use std::process::ExitCode;

use pimento_coordination::log;
use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A subject does not exist, a change does not apply, or a server did not respond.
    #[snafu(display("{message}"))]
    Failed {
        /// Description for the operator.
        message: String,
    },
    /// Invalid usage, or findings in files.
    #[snafu(display("{message}"))]
    Usage {
        /// All findings, one a line.
        message: String,
    },
    /// Another change came first.
    #[snafu(display("{message}"))]
    Conflict {
        /// One line for each rejected change, with the revision that won.
        message: String,
    },
    /// The log could not be read or refused the append; nothing was published.
    #[snafu(display("the log is unavailable, nothing was changed: {source}"))]
    Log {
        /// The last error of the log.
        source: log::Error,
    },
    /// It is unknown whether the changes are in force: they are or may be on the log, and their
    /// verdicts could not be read back.
    #[snafu(display("{message}"))]
    Unconfirmed {
        /// Description with the ids and subjects of the changes.
        message: String,
    },
}

impl Error {
    /// Creates an [`Error::Failed`].
    pub fn failed(message: impl Into<String>) -> Self {
        Self::Failed {
            message: message.into(),
        }
    }

    /// Creates an [`Error::Usage`].
    pub fn usage(message: impl Into<String>) -> Self {
        Self::Usage {
            message: message.into(),
        }
    }

    /// Exit code of the program.
    #[must_use]
    pub const fn code(&self) -> u8 {
        match self {
            Self::Failed { .. } => 1,
            Self::Usage { .. } => 2,
            Self::Conflict { .. } => 3,
            Self::Log { .. } => 4,
            Self::Unconfirmed { .. } => 5,
        }
    }
}

impl From<&Error> for ExitCode {
    fn from(error: &Error) -> Self {
        Self::from(error.code())
    }
}
