//! How much of an answer of the log has come, and when its last piece did.

use std::sync::Arc;

use pimento_units::Moment;
use tokio::sync::watch;

use crate::boot;

/// What has come of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Received {
    /// Bytes.
    pub bytes: u64,
    /// When the last of them came, on the clock of [`boot::now`]; none before the first.
    pub last: Option<Moment>,
}

/// Counts the bytes of one call's answer as they come. Clones share the count.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    received: Arc<watch::Sender<Received>>,
}

impl Progress {
    /// Counts bytes that came.
    pub fn add(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.received.send_modify(|received| {
            received.bytes = received.bytes.saturating_add(bytes);
            received.last = Some(boot::now());
        });
    }

    /// What has come so far.
    #[must_use]
    pub fn received(&self) -> Received {
        *self.received.borrow()
    }
}
