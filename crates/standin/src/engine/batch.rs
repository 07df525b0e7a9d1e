//! The running batch and its queue of pending calls, ordered by priority.

use tokio::sync::oneshot;

use crate::shared::Shared;

/// The slots of the batch and their queue. Clones share the state.
#[derive(Debug, Clone, Default)]
pub struct Batch(Shared<State>);

#[derive(Debug, Default)]
struct State {
    running: u32,
    next: u64,
    /// Sorted by priority, then by arrival.
    queue: Vec<PendingCall>,
}

#[derive(Debug)]
struct PendingCall {
    priority: u8,
    number: u64,
    slot_sender: oneshot::Sender<Slot>,
}

/// A slot in the batch, released when it is dropped.
#[derive(Debug)]
pub struct Slot(Option<Batch>);

/// The result of requesting a slot.
#[derive(Debug)]
pub enum Ticket {
    /// The slot was free.
    Slot(Slot),
    /// The slot is sent when it becomes free.
    Queued(oneshot::Receiver<Slot>),
}

impl Batch {
    /// The numbers of running calls and of queued calls.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        self.0.with(|state| {
            state
                .queue
                .retain(|pending| !pending.slot_sender.is_closed());
            let waiting = u32::try_from(state.queue.len()).unwrap_or(u32::MAX);
            (state.running, waiting)
        })
    }

    /// Requests a slot. Returns none if `size` calls run and `queue_limit` calls are queued.
    #[must_use]
    pub fn request(&self, priority: u8, size: u32, queue_limit: u32) -> Option<Ticket> {
        self.0.with(|state| {
            state
                .queue
                .retain(|pending| !pending.slot_sender.is_closed());
            if state.running < size {
                state.running += 1;
                return Some(Ticket::Slot(Slot(Some(self.clone()))));
            }
            if state.queue.len() >= queue_limit as usize {
                return None;
            }
            let (slot_sender, slot_receiver) = oneshot::channel();
            let number = state.next;
            state.next += 1;
            let key = (priority, number);
            let index = state
                .queue
                .partition_point(|call| (call.priority, call.number) < key);
            let pending = PendingCall {
                priority,
                number,
                slot_sender,
            };
            state.queue.insert(index, pending);
            Some(Ticket::Queued(slot_receiver))
        })
    }

    /// Passes a slot on to the first queued call, or frees it if none is queued.
    fn release(self) {
        loop {
            let next = self.0.with(|state| {
                if state.queue.is_empty() {
                    state.running -= 1;
                    return None;
                }
                Some(state.queue.remove(0))
            });
            let Some(pending) = next else { return };
            let Err(mut slot) = pending.slot_sender.send(Slot(Some(self.clone()))) else {
                return;
            };
            // This call was dropped. Its slot must not be released when it is dropped, because the
            // next call gets it.
            slot.0 = None;
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(batch) = self.0.take() {
            batch.release();
        }
    }
}

impl Ticket {
    /// Waits for the slot; none if the batch was dropped.
    pub async fn slot(self) -> Option<Slot> {
        match self {
            Self::Slot(slot) => Some(slot),
            Self::Queued(slot_receiver) => slot_receiver.await.ok(),
        }
    }
}
