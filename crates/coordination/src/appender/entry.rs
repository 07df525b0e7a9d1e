//! What waits in the appender's queues.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use pimento_units::Offset;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::http;
use crate::log::Error;

/// Records that are appended side by side, and who waits for them.
#[derive(Debug)]
pub(super) struct Entry {
    /// The records.
    pub(super) records: Vec<String>,
    /// Their bytes.
    pub(super) size: usize,
    /// Until when the caller waits.
    pub(super) deadline: Instant,
    /// How far they got.
    pub(super) progress: std::sync::Arc<Progress>,
    /// Where the caller waits.
    pub(super) answer: oneshot::Sender<Result<Offset, Error>>,
    /// The memory that they take; given back when the entry is dropped.
    pub(super) _permit: OwnedSemaphorePermit,
}

impl Entry {
    /// Whether anyone still waits.
    pub(super) fn wanted(&self) -> bool {
        !self.answer.is_closed() && self.deadline > Instant::now()
    }

    /// Answers that the log won't take the records before the deadline.
    pub(super) fn refuse(self, error: Error) {
        let error = match self.progress.give_up() {
            Error::Refused { .. } => error,
            lost => lost,
        };
        // The caller may have gone; it then answered itself by the same progress.
        let _ = self.answer.send(Err(error));
    }
}

const WAITING: u8 = 0;
const SENT: u8 = 1;
const ABANDONED: u8 = 2;

/// How far an entry got, agreed between its caller and the worker.
///
/// A caller whose time is up must not say "refused" of a record that the worker sends in the same
/// moment: the request would be called not run while its record stands on the log. Both move the
/// state by compare-and-swap, so exactly one of them wins.
#[derive(Debug, Default)]
pub(super) struct Progress(AtomicU8);

impl Progress {
    /// The worker is about to send; false if the caller has given up.
    pub(super) fn send(&self) -> bool {
        let result = self
            .0
            .compare_exchange(WAITING, SENT, Ordering::AcqRel, Ordering::Acquire);
        result != Err(ABANDONED)
    }

    /// The log refused a first sending: the records surely are not on it.
    pub(super) fn unsent(&self) {
        self.0.store(WAITING, Ordering::Release);
    }

    /// The caller gives up.
    pub(super) fn give_up(&self) -> Error {
        let result =
            self.0
                .compare_exchange(WAITING, ABANDONED, Ordering::AcqRel, Ordering::Acquire);
        if result == Err(SENT) {
            let reason = "the deadline passed before the log's answer".into();
            return Error::Lost { reason };
        }
        Error::Refused {
            retry_after: http::RETRY_DELAY,
        }
    }
}
