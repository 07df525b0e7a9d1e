//! Reasons why a job got no slot. None of these jobs has reached an endpoint.

use std::time::Duration;

use snafu::Snafu;

/// Why a job got no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum NoSlot {
    /// No endpoint can take the job.
    #[snafu(display("no endpoint can take the call now"))]
    NoEndpoint {
        /// Time after which an endpoint may be available.
        after: Duration,
    },
    /// The job cannot start by its deadline: too much work is ahead of it, or each endpoint is
    /// ejected, asked for a later retry, or is at its rate limit for longer than the job can wait.
    #[snafu(display("the work could not start by its deadline"))]
    Overloaded {
        /// Time after which it may be retried.
        after: Duration,
    },
    /// All endpoints that could take the job have just started, and this VM may send them no further call
    /// in time.
    #[snafu(display("the endpoints have just started"))]
    Cold {
        /// Time after which one of them takes another call.
        after: Duration,
    },
    /// The job waited until its latest start had passed.
    #[snafu(display("the work could not start in time"))]
    Expired {
        /// Time after which the work ahead of it has drained.
        after: Duration,
    },
    /// The prompt exceeds the whole memory of each engine that could take it.
    #[snafu(display("the prompt is larger than any engine's memory"))]
    TooLarge,
    /// The caller stopped waiting.
    #[snafu(display("the caller went away"))]
    CallerGone,
}
