//! One read of a topic, as log lines and metrics tell of it.

use std::time::Duration;

use compact_str::CompactString;
use pimento_progress::Progress;
use pimento_progress::Received;
use pimento_progress::Silent;
use pimento_units::Moment;

use crate::boot;
use crate::node::millis;
use crate::topic::Error;
use crate::topic::Topic;
use crate::zone;

/// An answer of this many bytes is told of in a line of its own: usual ones are a tenth of it.
const LARGE: u64 = 64 << 10;

/// How many reads of a topic went which way, and what came.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadCounts {
    /// Reads that were answered.
    pub answered: u64,
    /// Reads that the log refused, or whose connection broke.
    pub failed: u64,
    /// Reads that were given up.
    pub given_up: u64,
    /// Bytes of answers, those of reads that were given up included.
    pub bytes: u64,
}

/// A read under way.
#[derive(Debug)]
pub struct Exchange {
    topic: Topic,
    /// When it was sent.
    pub sent: Moment,
    /// What has come of its answer.
    pub progress: Progress,
}

/// A read that gave nothing.
#[derive(Debug)]
pub struct Failure {
    topic: Topic,
    reason: CompactString,
    /// How it ended.
    pub kind: zone::Failure,
    received: Received,
    took: Duration,
    /// How long nothing had come.
    silent: Duration,
}

impl Exchange {
    /// A read that is sent now.
    pub fn new(topic: Topic) -> Self {
        Self {
            topic,
            sent: boot::now(),
            progress: Progress::default(),
        }
    }

    /// Tells of an answer that was large enough to take time.
    pub fn answered(&self) {
        let bytes = self.progress.received().bytes;
        if bytes >= LARGE {
            let topic = self.topic.as_str();
            let took_ms = millis(boot::now().since(self.sent));
            log::info!(topic, bytes, took_ms; "follower: A large answer was read.");
        }
    }

    /// The log answered with an error, or the connection broke.
    pub fn refused(&self, error: &Error) -> Failure {
        let kind = match error {
            Error::Refused { .. } => zone::Failure::Refused,
            _ => zone::Failure::Unanswered,
        };
        self.failed(kind, error.to_string())
    }

    /// Nothing came in time.
    pub fn given_up(&self, silent: Silent) -> Failure {
        self.failed(zone::Failure::Unanswered, silent.to_string())
    }

    /// The read failed.
    pub fn failed(&self, kind: zone::Failure, reason: impl Into<CompactString>) -> Failure {
        let received = self.progress.received();
        let took = boot::now().since(self.sent);
        Failure {
            topic: self.topic,
            reason: reason.into(),
            kind,
            received,
            took,
            silent: received.last.map_or(took, |last| last.elapsed()),
        }
    }
}

impl Failure {
    /// Says so. What had come, and since when nothing, tells a log that is silent from an answer that
    /// takes long.
    pub fn log(&self, what: &str) {
        log::warn!(
            topic = self.topic.as_str(),
            reason = self.reason.as_str(),
            bytes = self.received.bytes,
            took_ms = millis(self.took),
            silent_ms = millis(self.silent);
            "follower: {what}."
        );
    }
}
