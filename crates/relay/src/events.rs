//! Splits a stream of server-sent events into complete events without changing their bytes.
//!
//! An endpoint may fail in the middle of an event. Only complete events are forwarded, so that another
//! endpoint can resume the stream after the last of them and the caller never receives a partial one.

use bytes::Bytes;
use bytes::BytesMut;
use snafu::Snafu;

/// Maximum size of an event in bytes. Events hold a few tokens; without a limit, an endpoint that
/// never ends an event would exhaust the memory.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has a numeric one.
    pub id: Option<u64>,
    /// Its bytes, including the empty line that ends it.
    pub bytes: Bytes,
}

/// An event exceeds the maximum size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("an event has over {MAX_EVENT_BYTES} bytes"))]
pub struct EventTooLong;

/// Buffers received bytes until they form complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Leading bytes of the buffer that were searched and contain no end of an event.
    searched: usize,
}

impl Splitter {
    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] if the buffer would exceed the maximum size of an event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let length = self.event_length()?;
        let bytes = self.buffer.split_to(length).freeze();
        self.searched = 0;
        Some(Event {
            id: id(&bytes),
            bytes,
        })
    }

    /// Whether the buffer holds a partial event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Length of the first event, including the empty line that ends it. Lines end with a line feed,
    /// with or without a carriage return before it.
    fn event_length(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let from = self.searched.saturating_sub(2);
        let mut feeds = (from..bytes.len()).filter(|at| bytes[*at] == b'\n');
        let end = feeds.find_map(|at| match bytes[at + 1..] {
            [b'\n', ..] => Some(at + 2),
            [b'\r', b'\n', ..] => Some(at + 3),
            _ => None,
        });
        if end.is_none() {
            self.searched = bytes.len();
        }
        end
    }
}

/// The number in the event's `id` line.
fn id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(value).ok()?;
    text.trim().parse().ok()
}
