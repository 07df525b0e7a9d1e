//! Limits on what is buffered for callers that read slowly or not at all.
//!
//! An endpoint whose answer stays unread for some seconds cuts it off, so a slow caller's answer is read on as
//! long as there is memory for it. Each caller has [`CALLER_BYTES`] of its own, and up to
//! [`MAX_CALLER_BYTES`] while the bytes that all callers share are not used up. A writer without room waits,
//! which stops the reading of its endpoint. Bytes count until they are written to the caller's socket.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::Instant;

/// Bytes that are buffered for any caller, however many there are.
pub const CALLER_BYTES: usize = 16 << 10;

/// Maximum number of bytes that are buffered for one caller. Most streams are shorter, so that their endpoint can
/// send all of them and free its slot although the caller does not read.
pub const MAX_CALLER_BYTES: usize = 256 << 10;

/// Bytes that are buffered for all callers beyond their own. The smallest VMs have 120 MB.
pub const SHARED_BYTES: usize = 16 << 20;

/// Maximum size of a piece in bytes, so that any piece fits into a caller's own bytes.
pub(crate) const MAX_PIECE_BYTES: usize = CALLER_BYTES - PIECE_OVERHEAD;

/// Memory that a piece takes besides its bytes. Events of a few bytes would take several times their size.
const PIECE_OVERHEAD: usize = 256;

/// The bytes that all callers of one VM share. Clones share them.
#[derive(Debug, Clone)]
pub struct Unread {
    shared: Arc<Semaphore>,
}

impl Default for Unread {
    fn default() -> Self {
        Self::new(SHARED_BYTES)
    }
}

impl Unread {
    /// Creates the bytes that callers share.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            shared: Arc::new(Semaphore::new(bytes)),
        }
    }

    /// Bytes that are left.
    #[must_use]
    pub fn free(&self) -> usize {
        self.shared.available_permits()
    }

    /// Reserves bytes for an answer that is buffered whole. Returns none if too few are left.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        self.take(bytes).map(Reservation)
    }

    fn take(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = u32::try_from(bytes).ok()?;
        Arc::clone(&self.shared).try_acquire_many_owned(bytes).ok()
    }
}

/// Bytes that are reserved for an answer that is buffered whole.
#[derive(Debug)]
pub struct Reservation(OwnedSemaphorePermit);

impl Reservation {
    /// Ties the reservation to an answer, which may be shorter, and copies it without its unused capacity.
    #[must_use]
    pub fn hold(self, data: &[u8]) -> Bytes {
        let Self(mut permit) = self;
        let unused = permit.num_permits().saturating_sub(data.len());
        drop(permit.split(unused));
        Bytes::from_owner(Held {
            data: Bytes::copy_from_slice(data),
            _share: permit,
        })
    }
}

/// Bytes with what they take of a limit, until they are written.
struct Held<S> {
    data: Bytes,
    _share: S,
}

impl<S> AsRef<[u8]> for Held<S> {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// What is buffered for one caller.
#[derive(Debug)]
pub(crate) struct Backlog {
    unread: Unread,
    state: Mutex<State>,
    /// Notified when bytes were written.
    freed: Notify,
}

#[derive(Debug, Default)]
struct State {
    bytes: usize,
    /// When the writer first had to wait; none once at most half of [`CALLER_BYTES`] is buffered.
    blocked_since: Option<Instant>,
    /// Start and end of the last period in which the writer had to wait.
    last_blocked: Option<(Instant, Instant)>,
}

impl Backlog {
    pub fn new(unread: Unread) -> Self {
        Self {
            unread,
            state: Mutex::default(),
            freed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Each change of the state is complete, even if a panic follows.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until there is room for a piece, and copies it. It may be a small part of a large allocation,
    /// which it would keep alive.
    pub async fn admit(self: &Arc<Self>, data: Bytes) -> Bytes {
        loop {
            if let Some(share) = self.take(data.len() + PIECE_OVERHEAD) {
                return Bytes::from_owner(Held {
                    data: Bytes::copy_from_slice(&data),
                    _share: share,
                });
            }
            self.freed.notified().await;
        }
    }

    fn take(self: &Arc<Self>, bytes: usize) -> Option<Share> {
        let mut state = self.lock();
        let total = state.bytes + bytes;
        let shared = if total <= CALLER_BYTES {
            None
        } else {
            let permit = (total <= MAX_CALLER_BYTES).then(|| self.unread.take(bytes));
            let Some(permit) = permit.flatten() else {
                state.blocked_since.get_or_insert_with(Instant::now);
                return None;
            };
            Some(permit)
        };
        state.bytes = total;
        drop(state);
        Some(Share {
            backlog: Arc::clone(self),
            bytes,
            _shared: shared,
        })
    }

    /// Returns how long the writer has been blocked, or how long its last blocked period took if that ended at most
    /// `within` ago.
    pub fn held_back(&self, within: Duration) -> Duration {
        let now = Instant::now();
        let state = self.lock();
        if let Some(since) = state.blocked_since {
            return now - since;
        }
        let last = state
            .last_blocked
            .filter(|(_, until)| now - *until <= within);
        last.map_or(Duration::ZERO, |(since, until)| until - since)
    }

    fn release(&self, bytes: usize) {
        let mut state = self.lock();
        state.bytes -= bytes;
        if state.bytes <= CALLER_BYTES / 2
            && let Some(since) = state.blocked_since.take()
        {
            state.last_blocked = Some((since, Instant::now()));
        }
        drop(state);
        self.freed.notify_one();
    }
}

/// What one piece takes.
#[derive(Debug)]
struct Share {
    backlog: Arc<Backlog>,
    bytes: usize,
    _shared: Option<OwnedSemaphorePermit>,
}

impl Drop for Share {
    fn drop(&mut self) {
        self.backlog.release(self.bytes);
    }
}
