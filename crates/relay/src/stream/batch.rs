//! Events that are sent to the caller together.

use std::time::Duration;

use bytes::BytesMut;
use pimento_serve::Writer;
use pimento_serve::body::Disconnected;
use tokio::time::Instant;

use crate::events::Event;

/// Maximum time for which an event is buffered to be sent together with the following ones. An engine
/// generates one every ten to twenty milliseconds. Callers read three at once just as well, and fewer
/// packets mean fewer losses, each of which delays all later events until the retransmission.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(40);

/// Size in bytes from which a batch is sent at once. An endpoint that sends without a pause would fill the
/// memory before the delay is over.
const MAX_BATCH_BYTES: usize = 16 << 10;

/// Buffer of events that are sent together.
#[derive(Debug, Default)]
pub struct Batch {
    bytes: BytesMut,
    /// When the events must be sent.
    pub due: Option<Instant>,
    first_pushed: bool,
}

impl Batch {
    /// Appends an event.
    pub fn push(&mut self, event: &Event, now: Instant) {
        self.bytes.extend_from_slice(&event.bytes);
        // The caller waits for the first event, so it is sent at once.
        let delay = if self.first_pushed {
            MAX_BATCH_DELAY
        } else {
            Duration::ZERO
        };
        self.first_pushed = true;
        self.due.get_or_insert(now + delay);
    }

    /// Whether the events must be sent before any other is added.
    pub fn is_full(&self) -> bool {
        self.bytes.len() >= MAX_BATCH_BYTES
    }

    /// Sends what is buffered.
    ///
    /// # Errors
    ///
    /// [`Disconnected`] if the caller is gone.
    pub async fn flush(&mut self, writer: &Writer) -> Result<(), Disconnected> {
        self.due = None;
        if self.bytes.is_empty() {
            return Ok(());
        }
        writer.send(self.bytes.split().freeze()).await
    }
}
