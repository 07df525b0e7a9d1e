//! The configuration in force, folded from its stream on the log.

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

/// A change with its place and verdict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecidedChange {
    /// Where it stands.
    pub offset: Offset,
    /// What was proposed.
    pub change: Change,
    /// What became of it.
    pub verdict: Verdict,
}

/// The configuration, with the changes that are still on the log.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// What is in force.
    pub state: State,
    /// Changes in offset order.
    pub history: Vec<DecidedChange>,
    /// The oldest record that was still kept when the reading began.
    pub oldest: Offset,
    /// Whether the state is known: false if retention has passed early records and no checkpoint
    /// that fits its hash covers them.
    pub complete: bool,
}

impl Snapshot {
    /// Reads the whole stream.
    ///
    /// # Errors
    ///
    /// The log's last error once `deadline` has passed.
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

    /// Reads what was added since.
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
            // A record that can't be read is passed over by every reader alike.
            Ok(Entry::Change(_)) | Err(_) => self.state.skip(offset),
        }
    }

    /// Takes the state of a checkpoint if the records before it are gone, unless some between its
    /// state and the oldest record are gone too. Changes after its state are applied again.
    fn restore(&mut self, checkpoint: pimento_contract::change::Checkpoint) {
        if self.complete {
            return;
        }
        let Ok(state) = checkpoint.check() else {
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

    /// What became of a change that was read. One that stands on the log twice counts once.
    #[must_use]
    pub fn verdict(&self, id: id::Record) -> Option<Verdict> {
        let decided = self
            .history
            .iter()
            .find(|decided| decided.change.id == id)?;
        Some(decided.verdict)
    }

    /// The change that set the revision `winner`, if it is still on the log.
    #[must_use]
    pub fn accepted_as(&self, revision: Revision) -> Option<&DecidedChange> {
        self.history
            .iter()
            .find(|decided| decided.verdict == Verdict::Accepted(revision))
    }
}
