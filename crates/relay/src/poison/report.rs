//! Reports between entry VMs of requests that crash endpoints.

use pimento_policy::poison::Crash;
use pimento_units::Digest;
use serde::Deserialize;
use serde::Serialize;

/// A report to another VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// An endpoint crashed while the request ran there.
    Crashed {
        /// The request.
        digest: Digest,
        /// Hash of the endpoint's id.
        endpoint: u64,
        /// When the incarnation that crashed started, by the endpoint's clock.
        incarnation: Option<u64>,
    },
    /// The request got a complete answer.
    Answered {
        /// The request.
        digest: Digest,
    },
}

impl Report {
    /// A report that an endpoint crashed while the request ran there.
    #[must_use]
    pub const fn crashed(digest: Digest, crash: Crash) -> Self {
        Self::Crashed {
            digest,
            endpoint: crash.endpoint,
            incarnation: crash.incarnation,
        }
    }
}
