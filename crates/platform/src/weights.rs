//! The rate-limited weight store.

use std::future::Future;
use std::time::Duration;

use pimento_wire::platform::Fetch;
use snafu::Snafu;

/// The platform's weight store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Brings a version to a zone; done when it returns. Asking twice does no harm.
    fn fetch(&self, fetch: Fetch) -> impl Future<Output = Result<(), Error>> + Send;
}

/// Why a version could not be brought.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Over the store's rate.
    #[snafu(display("the weight store refused the call, ask again after {after:?}"))]
    Refused {
        /// When to ask again.
        after: Duration,
    },
    /// No answer, or one that can't be read.
    #[snafu(display("the weight store's answer was lost: {reason}"))]
    Lost {
        /// What happened.
        reason: String,
    },
}
