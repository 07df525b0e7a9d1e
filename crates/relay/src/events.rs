//! Cuts a stream of server-sent events into whole events, byte for byte.
//!
//! An endpoint may stop in the middle of an event. Only whole events are passed on, so that the
//! stream can go on after the last of them elsewhere and the caller never sees a torn one.

use bytes::Bytes;
use bytes::BytesMut;
use snafu::Snafu;

/// The longest event that is taken. Events hold a few tokens; without a bound an endpoint that
/// never ends one would fill the memory.
const LONGEST: usize = 1 << 20;

/// A whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its bytes, the empty line included.
    pub bytes: Bytes,
}

/// An event is longer than anything that is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("an event has over {LONGEST} bytes"))]
pub struct Long;

/// Bytes that are not yet a whole event.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes that hold no end of an event.
    searched: usize,
}

impl Splitter {
    /// Takes what came.
    ///
    /// # Errors
    ///
    /// [`Long`] if no event ends within the bound.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Long> {
        if self.buffer.len() + bytes.len() > LONGEST {
            return Err(Long);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// The next whole event.
    pub fn take(&mut self) -> Option<Event> {
        let length = self.end()?;
        let bytes = self.buffer.split_to(length).freeze();
        self.searched = 0;
        Some(Event {
            id: id(&bytes),
            bytes,
        })
    }

    /// Whether bytes are left that are no whole event.
    #[must_use]
    pub fn torn(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Length of the first event with the empty line that ends it. Lines end with a line feed,
    /// with or without a carriage return before it.
    fn end(&mut self) -> Option<usize> {
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
