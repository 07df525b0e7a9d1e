//! The end of this VM's life, as its requests see it.

use std::sync::Arc;
use std::sync::OnceLock;

use pimento_units::Moment;
use tokio_util::sync::CancellationToken;

/// The steps of a VM's shutdown, in order. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Lifetime {
    /// Cancelled when the VM starts to shut down.
    pub leaving: CancellationToken,
    /// Cancelled when each request that has no response yet gets a final one.
    pub last_call: CancellationToken,
    /// Cancelled when all connections of callers are closed, whatever they wait for.
    pub abort: CancellationToken,
    /// When the last call comes, once the VM shuts down.
    end: Arc<OnceLock<Moment>>,
}

impl Lifetime {
    /// Starts to shut down, with the last call at `end`. Later calls change nothing.
    pub fn leave(&self, end: Moment) {
        self.end.get_or_init(|| end);
        self.leaving.cancel();
    }

    /// When the last call comes; none before the VM shuts down.
    #[must_use]
    pub fn end(&self) -> Option<Moment> {
        self.end.get().copied()
    }

    /// The earlier of a deadline and the last call.
    #[must_use]
    pub fn bound(&self, deadline: Moment) -> Moment {
        self.end().map_or(deadline, |end| end.min(deadline))
    }

    /// Whether the VM shuts down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Whether the VM has closed the connections of its callers.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.abort.is_cancelled()
    }
}
