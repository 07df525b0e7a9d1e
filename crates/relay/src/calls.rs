//! Counts calls of the log by topic and by why they were made: all of them are paid for, also those
//! that the log refuses.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::topic::Topic;

/// Why the log is called.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The VM has no view yet, or history that it needs is gone.
    Start,
    /// It reads for itself and the other VMs of its zone.
    Leading,
    /// It reads for itself, as nobody else is there.
    Alone,
    /// Another VM knows of a change that it lacks.
    Lacking,
    /// What other VMs proved to it is too old.
    Unproven,
    /// A caller uses something that the view does not know.
    Confirm,
    /// It looks for the other VMs.
    Discovery,
    /// It tells the other VMs of itself.
    Announcement,
    /// It looks for what operators were told, or tells them.
    Status,
}

impl Reason {
    /// The name in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Leading => "leading",
            Self::Alone => "alone",
            Self::Lacking => "lacking",
            Self::Unproven => "unproven",
            Self::Confirm => "confirm",
            Self::Discovery => "meet",
            Self::Announcement => "word",
            Self::Status => "status",
        }
    }
}

/// How often the log was called for one reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Count {
    /// The topic.
    pub topic: Topic,
    /// Why.
    pub reason: Reason,
    /// How often, since the start.
    pub calls: u64,
}

/// The counts. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct LogCalls {
    /// Sorted by topic and reason.
    counts: Arc<Mutex<Vec<Count>>>,
}

impl LogCalls {
    /// Counts a call that is made now.
    pub fn count(&self, topic: Topic, reason: Reason) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let find = |known: &Count| (known.topic, known.reason).cmp(&(topic, reason));
        match counts.binary_search_by(find) {
            Ok(place) => counts[place].calls += 1,
            Err(place) => counts.insert(
                place,
                Count {
                    topic,
                    reason,
                    calls: 1,
                },
            ),
        }
    }

    /// All counts, sorted by topic and reason.
    #[must_use]
    pub fn counts(&self) -> Vec<Count> {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.clone()
    }
}
