//! Limits how many connections receive a request at a time.
//!
//! Callers send a request as soon as they are connected, so that one that is refused has already passed the link.
//! Where more of them arrive than the link carries, none arrives in time. Connections over the limit are left
//! unaccepted, where each costs a packet and its caller may turn to another VM.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout;

/// Maximum time for which a connection counts. Callers that send slowly, or nothing, must not keep others from
/// being accepted.
const MAX_TIME: Duration = Duration::from_millis(300);

/// Time after which a changed limit, or a connection that no longer counts, is noticed.
const LIMIT_INTERVAL: Duration = Duration::from_millis(20);

/// Counts connections that receive a request. Clones share the count.
#[derive(Debug, Clone, Default)]
pub struct Receiving(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    /// Notified when a connection has received its request.
    received: Notify,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    /// Number and start of each connection, oldest first.
    begun: VecDeque<(u64, Instant)>,
}

/// A connection that receives a request. Dropping the last clone of it makes room for another one.
#[derive(Debug, Clone)]
pub struct Permit(#[expect(dead_code, reason = "held for its drop")] Arc<Held>);

#[derive(Debug)]
struct Held {
    shared: Arc<Shared>,
    number: u64,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Receiving {
    /// Waits until fewer connections than `limit` receive. `limit` is asked again meanwhile; without one, there is
    /// no wait.
    pub async fn wait_for_room(&self, limit: impl Fn() -> Option<usize>) {
        while self.is_full(limit()) {
            // Both ends of the wait lead to another look.
            let _ = timeout(LIMIT_INTERVAL, self.0.received.notified()).await;
        }
    }

    /// Counts a connection that begins to receive a request.
    #[must_use]
    pub fn begin(&self) -> Permit {
        let mut state = self.0.lock();
        let number = state.next;
        state.next += 1;
        state.begun.push_back((number, Instant::now()));
        drop(state);
        Permit(Arc::new(Held {
            shared: Arc::clone(&self.0),
            number,
        }))
    }

    fn is_full(&self, limit: Option<usize>) -> bool {
        let now = Instant::now();
        let mut state = self.0.lock();
        let old = |(_, begun): &(u64, Instant)| now.duration_since(*begun) >= MAX_TIME;
        while state.begun.front().is_some_and(old) {
            state.begun.pop_front();
        }
        limit.is_some_and(|limit| state.begun.len() >= limit)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        if let Ok(place) = state
            .begun
            .binary_search_by_key(&self.number, |(number, _)| *number)
        {
            state.begun.remove(place);
        }
        drop(state);
        self.shared.received.notify_one();
    }
}
