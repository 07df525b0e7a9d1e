//! Entries of the appender's queues.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use pimento_units::Offset;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::http;
use crate::log::Error;

/// Records that are appended contiguously, and the call that waits for them.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) records: Vec<String>,
    /// Size of the records in bytes.
    pub(super) size: usize,
    /// When the caller stops waiting.
    pub(super) deadline: Instant,
    /// State shared with the caller.
    pub(super) send_state: std::sync::Arc<SendState>,
    /// Sends the result to the caller.
    pub(super) result: oneshot::Sender<Result<Offset, Error>>,
    /// The memory that the records occupy; released when the entry is dropped.
    pub(super) _permit: OwnedSemaphorePermit,
}

impl Entry {
    /// Whether the caller still waits.
    pub(super) fn has_waiter(&self) -> bool {
        !self.result.is_closed() && self.deadline > Instant::now()
    }

    /// Fails the call, since the log won't accept the records before the deadline.
    pub(super) fn refuse(self, error: Error) {
        let error = match self.send_state.abandon() {
            Error::Refused { .. } => error,
            lost => lost,
        };
        // If the caller has gone, it has derived its own error from the same send state.
        let _ = self.result.send(Err(error));
    }
}

const WAITING: u8 = 0;
const SENT: u8 = 1;
const ABANDONED: u8 = 2;

/// The state of an entry, shared by its caller and the worker.
///
/// A caller whose deadline passes must not report a record as refused while the worker sends it:
/// the request would be reported as not run although its record is on the log. Both change the
/// state by compare-and-swap, so exactly one of them wins.
#[derive(Debug, Default)]
pub(super) struct SendState(AtomicU8);

impl SendState {
    /// Marks the entry as sent; false if the caller has abandoned it.
    pub(super) fn mark_sent(&self) -> bool {
        let result = self
            .0
            .compare_exchange(WAITING, SENT, Ordering::AcqRel, Ordering::Acquire);
        result != Err(ABANDONED)
    }

    /// Marks the entry as not sent: the log refused its first append, so the records are not on it.
    pub(super) fn mark_unsent(&self) {
        self.0.store(WAITING, Ordering::Release);
    }

    /// Abandons the entry if it is not sent, and returns the error for the caller.
    pub(super) fn abandon(&self) -> Error {
        let result =
            self.0
                .compare_exchange(WAITING, ABANDONED, Ordering::AcqRel, Ordering::Acquire);
        if result == Err(SENT) {
            let reason = "the deadline passed before the log's response".into();
            return Error::Lost { reason };
        }
        Error::Refused {
            retry_after: http::RETRY_DELAY,
        }
    }
}
