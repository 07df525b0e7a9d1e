//! What a topic's records are folded into.

use pimento_units::Moment;

use crate::topic::Record;

/// A view that is folded from a topic's records.
pub trait Fold: Send + 'static {
    /// Takes a record that is newer than all others seen of its key. Whether the view changed in a
    /// way that others must hear of soon.
    fn apply(&mut self, record: &Record, told: Told) -> bool;

    /// The follower lost touch with the log for so long that what it knows may be out of date, or
    /// is in touch again.
    fn touch(&mut self, _touch: Touch) {}
}

/// How a record came to be known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// When.
    pub at: Moment,
    /// Since when reads have been answered without a long break.
    pub touch: Moment,
    /// Whether it was there when the topic was first read.
    pub first: bool,
}

/// Whether reads are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Touch {
    /// Not any more.
    Lost,
    /// Again, since this moment.
    Regained(Moment),
}
