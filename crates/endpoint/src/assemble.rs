//! Puts the events of a streamed answer in order and knows whether the answer is whole.
//!
//! Events may come late, twice, out of order, or not at all. A caller gets each piece once and in
//! order, and a clean end only if every piece up to the last was there. No clock and no connection:
//! events go in by [`Assembler::accept`], pieces come out by [`Assembler::next`].

use compact_str::CompactString;
use compact_str::format_compact;
use pimento_wire::api::Chunk;

use crate::engine::Event;
use crate::fault::Fault;

/// Pieces that may wait for an earlier one. Reordering on one connection comes from an engine's
/// own batching and spans a few pieces; more than this is a lost piece, which only resuming mends.
pub const WINDOW: usize = 64;

/// The state of one streamed answer. It outlives connections: after a cut, resume the attempt
/// after [`Assembler::last_delivered`] and go on feeding the same assembler.
#[derive(Debug, Clone)]
pub struct Assembler {
    model: CompactString,
    response_id: Option<CompactString>,
    next_sequence: u64,
    out_of_order: Vec<(u64, Chunk)>,
    last_sequence: Option<u64>,
    ended: bool,
    duplicates: u64,
}

impl Assembler {
    /// An empty answer that must come from the version `model`.
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
        }
    }

    /// Takes an event as it came.
    ///
    /// # Errors
    ///
    /// [`Fault::Invalid`] if the piece is of another stream or version, lies past the end, or is
    /// further ahead than [`WINDOW`]; the attempt is then of no use.
    pub fn accept(&mut self, event: Event) -> Result<(), Fault> {
        match event {
            Event::Done { .. } => {
                self.ended = true;
                Ok(())
            }
            Event::Chunk { sequence, chunk } => self.piece(sequence, chunk),
        }
    }

    fn piece(&mut self, sequence: u64, chunk: Chunk) -> Result<(), Fault> {
        self.check(sequence, &chunk)?;
        if sequence < self.next_sequence {
            self.duplicates += 1;
            return Ok(());
        }
        match self
            .out_of_order
            .binary_search_by_key(&sequence, |(n, _)| *n)
        {
            Ok(_) => self.duplicates += 1,
            Err(_) if self.out_of_order.len() == WINDOW => {
                return nonsense(format_compact!(
                    "{WINDOW} pieces wait for piece {}",
                    self.next_sequence
                ));
            }
            Err(place) => {
                if finished(&chunk) {
                    // A later piece that waits already would go out after the last one.
                    if place < self.out_of_order.len() {
                        return nonsense(format_compact!("piece {sequence} is not the last one"));
                    }
                    self.last_sequence = Some(sequence);
                }
                self.out_of_order.insert(place, (sequence, chunk));
            }
        }
        Ok(())
    }

    /// An answer that is late for another request, or of another version, must not get into this
    /// one: the id and the version stay the same over all pieces.
    fn check(&mut self, sequence: u64, chunk: &Chunk) -> Result<(), Fault> {
        if chunk.model != self.model {
            return nonsense(format_compact!("a piece is from version {}", chunk.model));
        }
        let stream = self.response_id.get_or_insert_with(|| chunk.id.clone());
        if *stream != chunk.id {
            return nonsense(format_compact!("a piece is from the answer {}", chunk.id));
        }
        if self.last_sequence.is_some_and(|end| sequence > end) {
            return nonsense(format_compact!("piece {sequence} lies past the last one"));
        }
        Ok(())
    }

    /// The next piece in order, if it is there.
    #[expect(
        clippy::should_implement_trait,
        reason = "none means not yet, which an iterator's end does not"
    )]
    pub fn next(&mut self) -> Option<Chunk> {
        if self.out_of_order.first()?.0 != self.next_sequence {
            return None;
        }
        self.next_sequence += 1;
        Some(self.out_of_order.remove(0).1)
    }

    /// The last piece given out, after which to resume.
    #[must_use]
    pub const fn last_delivered(&self) -> Option<u64> {
        self.next_sequence.checked_sub(1)
    }

    /// The piece that is missing while later ones or the end mark are there.
    #[must_use]
    pub fn missing(&self) -> Option<u64> {
        let later = !self.out_of_order.is_empty() && self.out_of_order[0].0 > self.next_sequence;
        let ended_early = self.ended && !self.is_complete() && self.out_of_order.is_empty();
        (later || ended_early).then_some(self.next_sequence)
    }

    /// Whether the end mark came and every piece up to the last was given out.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.ended && self.last_sequence.is_some() && self.last_delivered() == self.last_sequence
    }

    /// Whether the end mark came, with or without all pieces.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        self.ended
    }

    /// Pieces that came more than once.
    #[must_use]
    pub const fn duplicates(&self) -> u64 {
        self.duplicates
    }
}

fn finished(chunk: &Chunk) -> bool {
    chunk
        .choices
        .iter()
        .any(|choice| choice.finish_reason.is_some())
}

fn nonsense<T>(reason: CompactString) -> Result<T, Fault> {
    Err(Fault::Invalid { reason })
}
