//! The running batch and the calls that wait for it, by priority.

use tokio::sync::oneshot;

use crate::shared::Shared;

/// Places in the batch.
#[derive(Debug, Clone, Default)]
pub struct Batch(Shared<State>);

#[derive(Debug, Default)]
struct State {
    running: u32,
    next: u64,
    /// Sorted by priority, then by arrival.
    queue: Vec<Waiter>,
}

#[derive(Debug)]
struct Waiter {
    priority: u8,
    number: u64,
    grant: oneshot::Sender<Slot>,
}

/// A place in the batch, given back when it is dropped.
#[derive(Debug)]
pub struct Slot(Option<Batch>);

/// A claim on a place: had at once, or waited for.
#[derive(Debug)]
pub enum Ticket {
    /// Had at once.
    Slot(Slot),
    /// Comes when a call before it ends.
    Queued(oneshot::Receiver<Slot>),
}

impl Batch {
    /// Calls in the batch and calls that wait.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        self.0.with(|state| {
            state.queue.retain(|waiter| !waiter.grant.is_closed());
            let waiting = u32::try_from(state.queue.len()).unwrap_or(u32::MAX);
            (state.running, waiting)
        })
    }

    /// Asks for a place; none if the batch of `size` and the wait list of `room` are full.
    #[must_use]
    pub fn enter(&self, priority: u8, size: u32, room: u32) -> Option<Ticket> {
        self.0.with(|state| {
            state.queue.retain(|waiter| !waiter.grant.is_closed());
            if state.running < size {
                state.running += 1;
                return Some(Ticket::Slot(Slot(Some(self.clone()))));
            }
            if state.queue.len() >= room as usize {
                return None;
            }
            let (grant, granted) = oneshot::channel();
            let number = state.next;
            state.next += 1;
            let key = (priority, number);
            let place = state
                .queue
                .partition_point(|w| (w.priority, w.number) < key);
            let waiter = Waiter {
                priority,
                number,
                grant,
            };
            state.queue.insert(place, waiter);
            Some(Ticket::Queued(granted))
        })
    }

    /// Passes a place on to the first that waits, or gives it back.
    fn leave(self) {
        loop {
            let next = self.0.with(|state| {
                if state.queue.is_empty() {
                    state.running -= 1;
                    return None;
                }
                Some(state.queue.remove(0))
            });
            let Some(waiter) = next else { return };
            let Err(mut refused) = waiter.grant.send(Slot(Some(self.clone()))) else {
                return;
            };
            // This waiter has left: its slot must not be given back, since it goes to the next.
            refused.0 = None;
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(batch) = self.0.take() {
            batch.leave();
        }
    }
}

impl Ticket {
    /// Waits for the place; none if the engine is gone.
    pub async fn slot(self) -> Option<Slot> {
        match self {
            Self::Slot(slot) => Some(slot),
            Self::Queued(granted) => granted.await.ok(),
        }
    }
}
