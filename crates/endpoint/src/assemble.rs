//! Puts the events of a streamed response in order and tells whether the response is complete.
//!
//! Events may arrive late, twice, out of order, or not at all. A caller gets each chunk once and in
//! order, and a regular end only if every chunk up to the last one arrived. The assembler uses no
//! clock and no connection: [`Assembler::accept`] takes events and [`Assembler::next`] returns
//! chunks.

use compact_str::CompactString;
use compact_str::format_compact;
use pimento_wire::api::Chunk;

use crate::engine::Event;
use crate::fault::Fault;

/// Maximum number of chunks buffered while an earlier one is missing. An engine's batching reorders
/// only a few chunks on one connection. A larger gap means a lost chunk, which only resuming
/// recovers.
pub const MAX_BUFFERED: usize = 64;

/// Maximum number of events in a row that bring nothing new: chunks that were received before, and further end
/// marks. A resumed stream may repeat a whole answer of some thousand chunks.
pub const MAX_REPEATED: usize = 16_384;

/// The state of one streamed response. It outlives connections: after an interruption, resume the
/// attempt after [`Assembler::last_delivered`] and pass the events to the same assembler.
#[derive(Debug, Clone)]
pub struct Assembler {
    model: CompactString,
    response_id: Option<CompactString>,
    next_sequence: u64,
    out_of_order: Vec<(u64, Chunk)>,
    last_sequence: Option<u64>,
    ended: bool,
    duplicates: u64,
    /// Events since the last one that brought something new.
    repeated: usize,
}

impl Assembler {
    /// An empty response, which must come from the version `model`.
    #[must_use]
    pub fn new(model: impl Into<CompactString>) -> Self {
        Self {
            model: model.into(),
            response_id: None,
            next_sequence: 0,
            out_of_order: Vec::new(),
            last_sequence: None,
            ended: false,
            duplicates: 0,
            repeated: 0,
        }
    }

    /// Accepts an event in order of arrival.
    ///
    /// # Errors
    ///
    /// [`Fault::Invalid`] if the chunk is from another stream or version, is beyond the end, if
    /// [`MAX_BUFFERED`] chunks are already buffered, or if [`MAX_REPEATED`] events brought nothing new; the
    /// attempt can't be continued.
    pub fn accept(&mut self, event: Event) -> Result<(), Fault> {
        let is_new = match event {
            Event::Done { .. } => !std::mem::replace(&mut self.ended, true),
            Event::Chunk { sequence, chunk } => self.accept_chunk(sequence, chunk)?,
        };
        self.repeated = if is_new { 0 } else { self.repeated + 1 };
        if self.repeated > MAX_REPEATED {
            return Err(Fault::Invalid {
                reason: CompactString::const_new("the stream repeats events"),
            });
        }
        Ok(())
    }

    /// Whether the last event brought something new.
    #[must_use]
    pub const fn last_was_new(&self) -> bool {
        self.repeated == 0
    }

    /// Accepts a chunk and returns whether it was not received before.
    fn accept_chunk(&mut self, sequence: u64, chunk: Chunk) -> Result<bool, Fault> {
        self.check_chunk(sequence, &chunk)?;
        if sequence < self.next_sequence {
            self.duplicates += 1;
            return Ok(false);
        }
        match self
            .out_of_order
            .binary_search_by_key(&sequence, |(n, _)| *n)
        {
            Ok(_) => {
                self.duplicates += 1;
                return Ok(false);
            }
            Err(_) if self.out_of_order.len() == MAX_BUFFERED => {
                return invalid(format_compact!(
                    "{MAX_BUFFERED} chunks are buffered, but chunk {} is missing",
                    self.next_sequence
                ));
            }
            Err(position) => {
                if is_final(&chunk) {
                    // A later chunk in the buffer would be delivered after the last one.
                    if position < self.out_of_order.len() {
                        return invalid(format_compact!("chunk {sequence} is not the last one"));
                    }
                    self.last_sequence = Some(sequence);
                }
                self.out_of_order.insert(position, (sequence, chunk));
            }
        }
        Ok(true)
    }

    /// Checks that all chunks have the same id and version, so that a late response to another
    /// request or from another version is not mixed into this one.
    fn check_chunk(&mut self, sequence: u64, chunk: &Chunk) -> Result<(), Fault> {
        if chunk.model != self.model {
            return invalid(format_compact!("a chunk is from version {}", chunk.model));
        }
        let response_id = self.response_id.get_or_insert_with(|| chunk.id.clone());
        if *response_id != chunk.id {
            return invalid(format_compact!("a chunk is from response {}", chunk.id));
        }
        if self.last_sequence.is_some_and(|end| sequence > end) {
            return invalid(format_compact!("chunk {sequence} is beyond the last one"));
        }
        Ok(())
    }

    /// Returns the next chunk in order, if it has arrived.
    #[expect(
        clippy::should_implement_trait,
        reason = "`None` means not yet, unlike an iterator's end"
    )]
    pub fn next(&mut self) -> Option<Chunk> {
        if self.out_of_order.first()?.0 != self.next_sequence {
            return None;
        }
        self.next_sequence += 1;
        Some(self.out_of_order.remove(0).1)
    }

    /// The last chunk delivered, after which to resume.
    #[must_use]
    pub const fn last_delivered(&self) -> Option<u64> {
        self.next_sequence.checked_sub(1)
    }

    /// The chunk that is missing while later ones or the end mark have arrived.
    #[must_use]
    pub fn missing(&self) -> Option<u64> {
        let later = !self.out_of_order.is_empty() && self.out_of_order[0].0 > self.next_sequence;
        let ended_early = self.ended && !self.is_complete() && self.out_of_order.is_empty();
        (later || ended_early).then_some(self.next_sequence)
    }

    /// Whether the end mark has arrived and every chunk up to the last one was delivered.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.ended && self.last_sequence.is_some() && self.last_delivered() == self.last_sequence
    }

    /// Whether the end mark has arrived, with or without all chunks.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        self.ended
    }

    /// Number of duplicate chunks.
    #[must_use]
    pub const fn duplicates(&self) -> u64 {
        self.duplicates
    }
}

fn is_final(chunk: &Chunk) -> bool {
    chunk
        .choices
        .iter()
        .any(|choice| choice.finish_reason.is_some())
}

fn invalid<T>(reason: CompactString) -> Result<T, Fault> {
    Err(Fault::Invalid { reason })
}
