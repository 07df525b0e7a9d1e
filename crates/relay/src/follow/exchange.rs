//! A single read of a topic: its progress, its outcome, and the log lines about it.

use std::time::Duration;

use compact_str::CompactString;
use pimento_progress::Progress;
use pimento_progress::Received;
use pimento_progress::TimedOut;
use pimento_units::Moment;

use crate::boot;
use crate::node::millis;
use crate::topic::Error;
use crate::topic::Topic;
use crate::zone;

/// Answers of this many bytes get a log line; usual ones are a tenth of it.
const LARGE: u64 = 64 << 10;

/// How many reads of a topic had which outcome, and how many bytes they received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadCounts {
    /// Reads that were answered.
    pub answered: u64,
    /// Reads that the log refused, or whose connection broke.
    pub failed: u64,
    /// Reads that timed out.
    pub given_up: u64,
    /// Bytes of answers, including those of reads that timed out.
    pub bytes: u64,
}

/// A read in progress.
#[derive(Debug)]
pub struct Exchange {
    topic: Topic,
    /// When it was sent.
    pub sent: Moment,
    /// What has arrived of its answer.
    pub progress: Progress,
}

/// A failed read.
#[derive(Debug)]
pub struct Failure {
    topic: Topic,
    reason: CompactString,
    /// What the failure says about the log.
    pub kind: zone::Failure,
    received: Received,
    took: Duration,
    /// Time without any data before the failure.
    silent: Duration,
}

impl Exchange {
    /// Starts a read that is sent now.
    pub fn new(topic: Topic) -> Self {
        Self {
            topic,
            sent: boot::now(),
            progress: Progress::default(),
        }
    }

    /// Logs an answer that was large enough to take time.
    pub fn answered(&self) {
        let bytes = self.progress.received().bytes;
        if bytes >= LARGE {
            let topic = self.topic.as_str();
            let took_ms = millis(boot::now().since(self.sent));
            log::info!(topic, bytes, took_ms; "follower: Read a large answer.");
        }
    }

    /// The failure of a read that ended with an error: the log refused it, or its connection broke.
    pub fn failed_with(&self, error: &Error) -> Failure {
        let kind = match error {
            Error::Refused { .. } => zone::Failure::Refused,
            _ => zone::Failure::Unanswered,
        };
        self.failed(kind, error.to_string())
    }

    /// The failure of a read that timed out.
    pub fn timed_out(&self, silent: TimedOut) -> Failure {
        self.failed(zone::Failure::Unanswered, silent.to_string())
    }

    /// The failure of this read.
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
    /// Logs the failure. The bytes received and the time since the last of them tell a silent log from an
    /// answer that takes long.
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
