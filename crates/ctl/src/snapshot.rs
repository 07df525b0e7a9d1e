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
pub struct Past {
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
    pub history: Vec<Past>,
    /// The oldest record that was still kept when the reading began.
    pub oldest: Offset,
    /// Whether the state is known: false if retention has passed early records and no checkpoint
    /// that fits its hash covers them.
    pub whole: bool,
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
        let take = |record| records.push(record);
        let extent = stream::read(log, Stream::Configuration, from, deadline, take).await?;
        let mut snapshot = Self {
            oldest: extent.oldest,
            whole: extent.oldest == from,
            ..Self::default()
        };
        for record in records {
            snapshot.take(&record);
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
        let take = |record| self.take(&record);
        stream::read(log, Stream::Configuration, from, deadline, take).await?;
        Ok(())
    }

    fn take(&mut self, record: &platform::Entry) {
        let offset = record.offset;
        match serde_json::from_str(&record.record) {
            Ok(Entry::Change(change)) if offset >= self.state.offset => {
                let verdict = self.state.apply(offset, &change);
                self.history.push(Past {
                    offset,
                    change,
                    verdict,
                });
            }
            Ok(Entry::Checkpoint(checkpoint)) => {
                self.adopt(checkpoint);
                self.state.skip(offset);
            }
            // A record that can't be read is passed over by every reader alike.
            Ok(Entry::Change(_)) | Err(_) => self.state.skip(offset),
        }
    }

    /// Takes the state of a checkpoint if the records before it are gone, unless some between its
    /// state and the oldest record are gone too. Changes after its state are applied again.
    fn adopt(&mut self, checkpoint: pimento_contract::change::Checkpoint) {
        if self.whole {
            return;
        }
        let Ok(state) = checkpoint.check() else {
            return;
        };
        if state.offset < self.oldest {
            return;
        }
        self.state = state;
        self.whole = true;
        for past in &mut self.history {
            if past.offset >= self.state.offset {
                past.verdict = self.state.apply(past.offset, &past.change);
            } else if let Some(decision) = self.state.decision(past.change.id) {
                past.verdict = decision.verdict;
            }
        }
    }

    /// What became of a change that was read. One that stands on the log twice counts once.
    #[must_use]
    pub fn verdict(&self, id: id::Record) -> Option<Verdict> {
        let past = self.history.iter().find(|past| past.change.id == id)?;
        Some(past.verdict)
    }

    /// The change that set the revision `winner`, if it is still on the log.
    #[must_use]
    pub fn winner(&self, winner: Revision) -> Option<&Past> {
        self.history
            .iter()
            .find(|past| past.verdict == Verdict::Accepted(winner))
    }
}
