//! What a topic's records are folded into.

use pimento_units::Moment;

use crate::topic::Record;

/// A view that is folded from a topic's records.
pub trait Fold: Send + 'static {
    /// Takes a record that is newer than all others seen of its key. Whether the view changed in a
    /// way that others must hear of soon.
    fn apply(&mut self, record: &Record, context: RecordContext) -> bool;

    /// The follower lost touch with the log for so long that what it knows may be out of date, or
    /// is in touch again.
    fn connectivity_changed(&mut self, _connectivity: Connectivity) {}
}

/// How a record came to be known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordContext {
    /// When.
    pub received: Moment,
    /// Since when reads have been answered without a long break.
    pub connected_since: Moment,
    /// Whether it was there when the topic was first read.
    pub initial: bool,
}

/// Whether reads are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connectivity {
    /// Not any more.
    Lost,
    /// Again, since this moment.
    Restored(Moment),
}
