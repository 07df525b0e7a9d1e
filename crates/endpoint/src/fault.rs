//! Why an attempt at an endpoint failed, and whether it can have run.

use std::time::Duration;

use compact_str::CompactString;
use snafu::Snafu;

/// Why an attempt failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Fault {
    /// No connection was made: no byte of the request was sent.
    #[snafu(display("the endpoint can't be reached: {reason}"))]
    Unreachable {
        /// What happened.
        reason: CompactString,
    },
    /// The endpoint said that it did not start the call.
    #[snafu(display("the endpoint refused the call with status {status}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// When to come back, if it said so.
        after: Option<Duration>,
    },
    /// The endpoint answered with an error and did not say whether it ran the call.
    #[snafu(display("the endpoint failed with status {status}"))]
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// The connection broke, or the answer ended before its end mark.
    #[snafu(display("the answer was cut off: {reason}"))]
    Interrupted {
        /// What happened.
        reason: CompactString,
    },
    /// The answer can't be read as what was asked for.
    #[snafu(display("the answer makes no sense: {reason}"))]
    Invalid {
        /// What was found.
        reason: CompactString,
    },
    /// No answer in time.
    #[snafu(display("the endpoint did not answer in time"))]
    Timeout,
    /// The caller went away or another attempt won.
    #[snafu(display("the attempt was cancelled"))]
    Cancelled,
}

impl Fault {
    /// Whether no endpoint can have started the call. Anything else must be called `unknown`.
    #[must_use]
    pub const fn not_run(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::Refused { .. })
    }

    /// Whether the connection ended in the middle of the call: its endpoint may have ended as well.
    #[must_use]
    pub const fn is_interrupted(&self) -> bool {
        matches!(self, Self::Interrupted { .. })
    }
}
