//! The interface between a follower and the state that it builds from a topic's records.

use pimento_units::Moment;

use crate::topic::Record;

/// State that is built up from a topic's records, one after the other: a fold over the topic.
pub trait Fold: Send + 'static {
    /// Applies a record that is newer than all earlier ones of its key. Returns whether the state changed
    /// in a way that other VMs must learn of soon.
    fn apply(&mut self, record: &Record, context: RecordContext) -> bool;

    /// Called when the log has been unreachable for so long that the state may be out of date, and when
    /// it is reachable again.
    fn connectivity_changed(&mut self, _connectivity: Connectivity) {}
}

/// The circumstances under which a record arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordContext {
    /// When it arrived.
    pub received: Moment,
    /// Since when the log has been reachable without a long interruption.
    pub connected_since: Moment,
    /// Whether it was on the topic when the topic was first read.
    pub initial: bool,
    /// Whether it may be older than what is known of its key: it was on the topic when the log had come back
    /// from an older copy.
    pub restored: bool,
}

/// Whether the log is reachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connectivity {
    /// It no longer is.
    Lost,
    /// It is again, since this moment.
    Restored(Moment),
}
