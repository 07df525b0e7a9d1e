//! The end of this VM's life, as its requests see it.

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
}

impl Lifetime {
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
