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
    pub finish: CancellationToken,
    /// Cancelled when all connections of callers are closed, whatever they wait for.
    pub abort: CancellationToken,
    /// When `finish` is due, once the VM shuts down.
    finish_at: Arc<OnceLock<Moment>>,
}

impl Lifetime {
    /// Starts to shut down, and gives final responses at `finish_at`. Later calls change nothing.
    pub fn leave(&self, finish_at: Moment) {
        self.finish_at.get_or_init(|| finish_at);
        self.leaving.cancel();
    }

    /// When final responses are given; none before the VM shuts down.
    #[must_use]
    pub fn finish_at(&self) -> Option<Moment> {
        self.finish_at.get().copied()
    }

    /// The earlier of a deadline and the time of the final responses.
    #[must_use]
    pub fn bound(&self, deadline: Moment) -> Moment {
        self.finish_at().map_or(deadline, |end| end.min(deadline))
    }

    /// Whether the VM shuts down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Whether the VM has closed the connections of its callers.
    #[must_use]
    pub fn is_aborted(&self) -> bool {
        self.abort.is_cancelled()
    }
}
