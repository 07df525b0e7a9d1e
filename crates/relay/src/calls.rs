//! Counts calls of the log by topic and reason. Every call is paid for, including those that the log
//! refuses.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::topic::Partition;
use crate::topic::Topic;

/// Why the log is called.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The VM has no view yet, or the log has dropped records that it needs.
    Start,
    /// The VM is the reader of its zone.
    Reader,
    /// The VM reads for itself alone.
    Alone,
    /// The VM is served by a reader, which announced a change that it lacks.
    Lacking,
    /// The VM is served by a reader, whose last proof is too old.
    Unproven,
    /// The VM looks for the other VMs.
    Discovery,
    /// The VM writes something for the other VMs.
    Announcement,
    /// The VM reads or writes reports to operators.
    Status,
}

impl Reason {
    /// The name in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Reader => "leading",
            Self::Alone => "alone",
            Self::Lacking => "lacking",
            Self::Unproven => "unproven",
            Self::Discovery => "meet",
            Self::Announcement => "word",
            Self::Status => "status",
        }
    }
}

/// The number of calls of the log for one topic and reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Count {
    /// The topic.
    pub topic: Topic,
    /// The reason.
    pub reason: Reason,
    /// The number of calls since the start.
    pub calls: u64,
}

/// Counts of calls of the log. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct LogCalls {
    /// Sorted by topic and reason.
    counts: Arc<Mutex<Vec<Count>>>,
}

impl LogCalls {
    /// Counts a call.
    pub fn count(&self, topic: Topic, reason: Reason) {
        // Metrics show the partitions of a topic together.
        let topic = match topic {
            Topic::Vms(_) => Topic::Vms(Partition::default()),
            topic => topic,
        };
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
