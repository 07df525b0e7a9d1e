//! Splits a stream of server-sent events into complete events without changing their bytes.
//!
//! An endpoint may fail in the middle of an event. Only complete events are forwarded, so that another
//! endpoint can resume the stream after the last of them and the caller never receives a partial one.

use bytes::Bytes;
use bytes::BytesMut;
use snafu::Snafu;

/// Maximum size of an event in bytes, with the comments before it. Events hold a few tokens; without a limit, an
/// endpoint that never ends an event would exhaust the memory, as would fifty at a time with a much higher one.
pub const MAX_EVENT_BYTES: usize = 128 << 10;

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has a numeric one.
    pub id: Option<u64>,
    /// Its bytes, including the empty line that ends it and comments before it.
    pub bytes: Bytes,
}

/// An event exceeds the maximum size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("an event has over {MAX_EVENT_BYTES} bytes"))]
pub struct EventTooLong;

/// Buffers received bytes until they form complete events.
///
/// Comments and other blocks without data are no events to a caller, and an endpoint that sends nothing else is
/// silent. They are returned with the next event.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the leading blocks without data.
    empty: usize,
    /// Leading bytes of the buffer that were searched and contain no further end of a block.
    searched: usize,
}

impl Splitter {
    /// Appends received bytes. Complete events must be taken before more bytes are appended.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] if it exceeds the maximum size, or what was received of it does.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventTooLong> {
        while let Some(end) = self.block_end() {
            let block = &self.buffer[self.empty..end];
            let id = id(block);
            if id.is_some() || has_data(block) {
                return self.take(end, id).map(Some);
            }
            (self.empty, self.searched) = (end, end);
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(None)
    }

    /// Removes and returns the blocks without data after the last event of a stream that has ended.
    pub fn take_rest(&mut self) -> Option<Event> {
        let rest = self.take(self.empty, None).ok()?;
        (!rest.bytes.is_empty()).then_some(rest)
    }

    /// Whether the buffer holds a partial event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        self.buffer.len() > self.empty
    }

    fn take(&mut self, length: usize, id: Option<u64>) -> Result<Event, EventTooLong> {
        if length > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        (self.empty, self.searched) = (0, 0);
        let bytes = self.buffer.split_to(length).freeze();
        Ok(Event { id, bytes })
    }

    /// End of the first block after those without data, including the empty line that ends it. Lines end with a
    /// line feed, with or without a carriage return before it.
    fn block_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let from = self.searched.saturating_sub(2).max(self.empty);
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

/// Whether a block has a `data` line.
fn has_data(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n');
    lines.any(|line| line.starts_with(b"data:") || line.trim_ascii_end() == b"data")
}

/// The number in the event's `id` line.
fn id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(value).ok()?;
    text.trim().parse().ok()
}
