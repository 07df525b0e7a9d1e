//! Counts the bytes that connections carry.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;

/// Bytes carried each way. Clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct Traffic(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    received: AtomicU64,
    sent: AtomicU64,
}

impl Traffic {
    /// Counts received bytes.
    pub fn receive(&self, bytes: usize) {
        add(&self.0.received, bytes);
    }

    /// Counts sent bytes.
    pub fn send(&self, bytes: usize) {
        add(&self.0.sent, bytes);
    }

    /// Bytes received since the start.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.0.received.load(Relaxed)
    }

    /// Bytes sent since the start.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.0.sent.load(Relaxed)
    }
}

fn add(count: &AtomicU64, bytes: usize) {
    count.fetch_add(u64::try_from(bytes).unwrap_or(u64::MAX), Relaxed);
}
