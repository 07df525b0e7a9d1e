//! Why an attempt at an endpoint failed, and whether the endpoint may have started the call.

use std::time::Duration;

use compact_str::CompactString;
use snafu::Snafu;

/// Why an attempt failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Fault {
    /// No connection was established, so no byte of the request was sent.
    #[snafu(display("the endpoint can't be reached: {reason}"))]
    Unreachable {
        /// What happened.
        reason: CompactString,
    },
    /// The endpoint stated that it did not start the call.
    #[snafu(display("the endpoint refused the call with status {status}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// Delay before a retry, if the endpoint gave one.
        after: Option<Duration>,
    },
    /// The endpoint responded with an error that does not tell whether it ran the call.
    #[snafu(display("the endpoint failed with status {status}"))]
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// The connection broke, or the response ended before its end mark.
    #[snafu(display("the response was interrupted: {reason}"))]
    Interrupted {
        /// What happened.
        reason: CompactString,
    },
    /// The response is malformed or is not a response to this call.
    #[snafu(display("the response is invalid: {reason}"))]
    Invalid {
        /// What was found.
        reason: CompactString,
    },
    /// The response did not arrive in time.
    #[snafu(display("the endpoint did not respond in time"))]
    Timeout,
    /// The caller disconnected or another attempt won.
    #[snafu(display("the attempt was cancelled"))]
    Cancelled,
}

impl Fault {
    /// Whether the endpoint certainly did not start the call. Any other fault must be reported as
    /// `unknown`.
    #[must_use]
    pub const fn not_run(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::Refused { .. })
    }

    /// Whether the connection broke during the call. Its endpoint may have crashed.
    #[must_use]
    pub const fn is_interrupted(&self) -> bool {
        matches!(self, Self::Interrupted { .. })
    }
}
