//! Positions on a topic, which grow even if the log comes back from an older copy.
//!
//! The log then gives offsets out again. What orders or names records by their offsets would take a new
//! record for a known one: a change would be skipped, or an order taken for another. A [`Position`] is the
//! era, the number of restorations, and the offset within it, so that all positions of an era come after
//! those of the eras before. It is encoded as one [`Offset`], which is what VMs tell each other: in the
//! first era the two are the same.

use std::fmt;

use pimento_units::Offset;

/// Bits of a position that hold the log's own offset.
const OFFSET_BITS: u32 = 40;

/// The number of times that the log was restored.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Era(pub u32);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A place in a topic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The era in which the log returned the offset.
    pub era: Era,
    /// The log's own offset.
    pub offset: u64,
}

impl Position {
    /// The first position of an era.
    #[must_use]
    pub const fn start(era: Era) -> Self {
        Self { era, offset: 0 }
    }
}

impl From<Position> for Offset {
    fn from(position: Position) -> Self {
        Self((u64::from(position.era.0) << OFFSET_BITS) | position.offset)
    }
}

impl From<Offset> for Position {
    fn from(Offset(number): Offset) -> Self {
        Self {
            era: Era(u32::try_from(number >> OFFSET_BITS).unwrap_or(u32::MAX)),
            offset: number & ((1 << OFFSET_BITS) - 1),
        }
    }
}
