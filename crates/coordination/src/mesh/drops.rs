//! Counts of frames that were dropped.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use pimento_wire::frame::Error;

/// Running counts.
#[derive(Debug, Default)]
pub(super) struct Drops {
    size: AtomicU64,
    mac: AtomicU64,
    body: AtomicU64,
}

/// Frames dropped so far, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DropCounts {
    /// Over the limit, or cut off.
    pub size: u64,
    /// With a MAC that does not fit: another key, or damaged.
    pub mac: u64,
    /// With a body that is not the expected message.
    pub body: u64,
}

impl Drops {
    /// Counts a dropped frame.
    pub(super) fn add(&self, error: &Error) {
        let counter = match error {
            Error::Size { .. } | Error::Short => &self.size,
            Error::Mac => &self.mac,
            Error::Body { .. } => &self.body,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// The counts now.
    pub(super) fn count(&self) -> DropCounts {
        DropCounts {
            size: self.size.load(Ordering::Relaxed),
            mac: self.mac.load(Ordering::Relaxed),
            body: self.body.load(Ordering::Relaxed),
        }
    }
}
