//! Counters of dropped frames.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use pimento_wire::frame::Error;

/// Counters of dropped frames by cause.
#[derive(Debug, Default)]
pub(super) struct Counters {
    size: AtomicU64,
    mac: AtomicU64,
    body: AtomicU64,
}

/// Numbers of frames dropped so far, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DropCounts {
    /// Larger than the limit, or incomplete.
    pub size: u64,
    /// With a MAC that does not verify: sealed with another key, or damaged.
    pub mac: u64,
    /// With a body that is not the expected message.
    pub body: u64,
}

impl Counters {
    /// Counts a dropped frame.
    pub(super) fn add(&self, error: &Error) {
        let counter = match error {
            Error::Size { .. } | Error::Short => &self.size,
            Error::Mac => &self.mac,
            Error::Body { .. } => &self.body,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// The current counts.
    pub(super) fn count(&self) -> DropCounts {
        DropCounts {
            size: self.size.load(Ordering::Relaxed),
            mac: self.mac.load(Ordering::Relaxed),
            body: self.body.load(Ordering::Relaxed),
        }
    }
}
