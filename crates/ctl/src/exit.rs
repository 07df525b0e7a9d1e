//! Exit codes and errors. The codes are stable: scripts depend on them.

use std::process::ExitCode;

use pimento_coordination::log;
use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Something that was asked for does not exist or does not apply.
    #[snafu(display("{message}"))]
    Failed {
        /// What, as a sentence for people.
        message: String,
    },
    /// Bad usage, or findings in files.
    #[snafu(display("{message}"))]
    Usage {
        /// All findings, a line each.
        message: String,
    },
    /// Another change came first.
    #[snafu(display("{message}"))]
    Conflict {
        /// Which revision won, for each change that lost.
        message: String,
    },
    /// The log could not be reached or refused; nothing was published.
    #[snafu(display("the log can't be used now, nothing was changed: {source}"))]
    Log {
        /// The last error.
        source: log::Error,
    },
    /// It is unknown whether the changes are in the log.
    #[snafu(display("{message}"))]
    Unconfirmed {
        /// Which changes, with their ids.
        message: String,
    },
}

impl Error {
    /// An [`Error::Failed`].
    pub fn failed(message: impl Into<String>) -> Self {
        Self::Failed {
            message: message.into(),
        }
    }

    /// An [`Error::Usage`].
    pub fn usage(message: impl Into<String>) -> Self {
        Self::Usage {
            message: message.into(),
        }
    }

    /// The exit code.
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
