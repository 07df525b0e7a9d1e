//! Why a job got no slot. None of these has reached an endpoint.

use std::time::Duration;

use snafu::Snafu;

/// Why a job got no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Refused {
    /// No endpoint can take the job now.
    #[snafu(display("no endpoint can take the call now"))]
    NoEndpoint {
        /// When one may be there.
        after: Duration,
    },
    /// The job could not start by its deadline.
    #[snafu(display("the work could not start by its deadline"))]
    Overloaded {
        /// When it could.
        after: Duration,
    },
    /// The job waited until its last chance had passed.
    #[snafu(display("the work could not start in time"))]
    Expired {
        /// When what is ahead of it has drained.
        after: Duration,
    },
    /// Whoever asked stopped waiting.
    #[snafu(display("the caller went away"))]
    CallerGone,
}
