//! The configuration in force, computed from the configuration stream of the log.

use pimento_contract::Change;
use pimento_contract::State;
use pimento_contract::change::Entry;
use pimento_contract::fold::Verdict;
use pimento_coordination::log::Error;
use pimento_coordination::log::Log;
use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_units::Revision;
use pimento_units::id;
use pimento_wire::platform;
use tokio::time::Instant;

use crate::stream;

/// A change with its offset and verdict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecidedChange {
    /// Offset on the configuration stream.
    pub offset: Offset,
    /// The change as it was appended.
    pub change: Change,
    /// Whether it was accepted.
    pub verdict: Verdict,
}

/// The configuration with the changes that the log still retains.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The configuration in force.
    pub state: State,
    /// Retained changes in the order of their offsets.
    pub history: Vec<DecidedChange>,
    /// Offset of the oldest record that the log retained at the first read.
    pub oldest: Offset,
    /// Whether `state` covers the whole stream. False if the log no longer retains early records
    /// and no checkpoint with a valid hash covers them.
    pub complete: bool,
}

impl Snapshot {
    /// Reads the stream from its oldest record.
    ///
    /// # Errors
    ///
    /// The last error of the log if reading fails until `deadline`.
    pub async fn load(log: &impl Log, deadline: Instant) -> Result<Self, Error> {
        let mut records = Vec::new();
        let from = Offset(0);
        let push = |record| records.push(record);
        let extent = stream::read(log, Stream::Configuration, from, deadline, push).await?;
        let mut snapshot = Self {
            oldest: extent.oldest,
            complete: extent.oldest == from,
            ..Self::default()
        };
        for record in records {
            snapshot.apply(&record);
        }
        Ok(snapshot)
    }

    /// Reads the records that were appended since the last read.
    ///
    /// # Errors
    ///
    /// As [`Snapshot::load`].
    pub async fn refresh(&mut self, log: &impl Log, deadline: Instant) -> Result<(), Error> {
        let from = self.state.offset;
        let apply = |record| self.apply(&record);
        stream::read(log, Stream::Configuration, from, deadline, apply).await?;
        Ok(())
    }

    fn apply(&mut self, record: &platform::Entry) {
        let offset = record.offset;
        match serde_json::from_str(&record.record) {
            Ok(Entry::Change(change)) if offset >= self.state.offset => {
                let verdict = self.state.apply(offset, &change);
                self.history.push(DecidedChange {
                    offset,
                    change,
                    verdict,
                });
            }
            Ok(Entry::Checkpoint(checkpoint)) => {
                self.restore(checkpoint);
                self.state.skip(offset);
            }
            // Every reader skips malformed records, so that all compute the same state.
            Ok(Entry::Change(_)) | Err(_) => self.state.skip(offset),
        }
    }

    /// Restores the state from a checkpoint if early records are no longer retained. Ignores a
    /// checkpoint that is damaged, and one whose state ends before the oldest record, since changes
    /// between the two would be missing. Applies the changes after the checkpoint's state again.
    fn restore(&mut self, checkpoint: pimento_contract::change::Checkpoint) {
        if self.complete {
            return;
        }
        let Ok(state) = checkpoint.into_state() else {
            return;
        };
        if state.offset < self.oldest {
            return;
        }
        self.state = state;
        self.complete = true;
        for decided in &mut self.history {
            if decided.offset >= self.state.offset {
                decided.verdict = self.state.apply(decided.offset, &decided.change);
            } else if let Some(decision) = self.state.decision(decided.change.id) {
                decided.verdict = decision.verdict;
            }
        }
    }

    /// Returns the verdict of a change, or `None` if it was not read. Of a change that is on the
    /// log twice, returns the first verdict.
    #[must_use]
    pub fn verdict(&self, id: id::Record) -> Option<Verdict> {
        let decided = self
            .history
            .iter()
            .find(|decided| decided.change.id == id)?;
        Some(decided.verdict)
    }

    /// Returns the change that was accepted as `revision`, if the log still retains it.
    #[must_use]
    pub fn accepted_as(&self, revision: Revision) -> Option<&DecidedChange> {
        self.history
            .iter()
            .find(|decided| decided.verdict == Verdict::Accepted(revision))
    }
}
