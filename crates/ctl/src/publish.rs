//! Appends changes to the configuration stream and reads their verdicts back.
//!
//! The response to an append may be lost after the append took effect. Each change therefore
//! carries an id, by which its verdict is found in the stream and by which a record that is
//! appended twice counts once. Of two concurrent changes to the same revision the first on the log
//! wins; the other gets [`Verdict::Conflict`].

use std::fmt;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use compact_str::CompactString;
use pimento_contract::Change;
use pimento_contract::Subject;
use pimento_contract::Value;
use pimento_contract::change::Entry;
use pimento_contract::fold::Verdict;
use pimento_contract::version;
use pimento_coordination::log;
use pimento_coordination::log::Log;
use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_units::Revision;
use pimento_units::Wall;
use pimento_units::id;
use serde::Serialize;
use tokio::time::Instant;
use uuid::Uuid;

use crate::exit::Error;
use crate::snapshot::Snapshot;
use crate::stream;

/// The outcome of one change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The subject of the change.
    #[serde(serialize_with = "display")]
    pub subject: Subject,
    /// The id of the change.
    pub id: id::Record,
    /// Whether it is in force.
    pub verdict: Verdict,
    /// On a conflict, the author of the revision that won, if the log still retains its change.
    pub winner: Option<CompactString>,
}

fn display<S: serde::Serializer>(
    value: &impl fmt::Display,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let subject = &self.subject;
        match self.verdict {
            Verdict::Accepted(revision) => write!(f, "{subject}: in force as revision {revision}"),
            Verdict::Conflict(revision) => {
                write!(f, "{subject}: not published, revision {revision} won")?;
                match &self.winner {
                    Some(winner) => write!(f, " (by {winner})"),
                    None => Ok(()),
                }
            }
            Verdict::Mismatch => write!(
                f,
                "{subject}: not published, the value belongs to another subject"
            ),
        }
    }
}

/// Creates a change of `subject` with its revision in `snapshot` as the base.
#[must_use]
pub fn change(snapshot: &Snapshot, subject: Subject, value: Option<Value>, by: &str) -> Change {
    Change {
        id: id::Record(Uuid::now_v7()),
        base: snapshot.state.revision(&subject),
        subject,
        value,
        by: by.into(),
        at: now(),
    }
}

fn now() -> Wall {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Wall::from_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Creates changes for the values that differ from the configuration in force, ordered such that no
/// contract comes before the subjects that it references.
#[must_use]
pub fn changes(snapshot: &Snapshot, values: Vec<Value>, by: &str) -> Vec<Change> {
    let mut values = values;
    values.sort_by_key(publish_order);
    let differs = |value: &Value| {
        let current = snapshot.state.item(&value.subject());
        current.is_none_or(|item| item.value != *value)
    };
    values
        .into_iter()
        .filter(differs)
        .map(|value| change(snapshot, value.subject(), Some(value), by))
        .collect()
}

/// Replaces status and stage in `values` by those in force: a withdrawn version stays withdrawn,
/// and a roll-out whose stages are unchanged keeps its stage and status. Otherwise publishing an
/// amended contract along with the older files of its folder would reinstate a bad version. Returns
/// the subjects that it altered.
pub fn preserve_progress(snapshot: &Snapshot, values: &mut [Value]) -> Vec<Subject> {
    let mut preserved = Vec::new();
    for value in values {
        let subject = value.subject();
        let current = snapshot.state.item(&subject).map(|item| &item.value);
        let differs = match (&mut *value, current) {
            (Value::Version(new), Some(Value::Version(old))) => {
                let reverts = old.status == version::Status::Withdrawn && new.status != old.status;
                if reverts {
                    new.status = old.status;
                }
                reverts
            }
            (Value::Rollout(new), Some(Value::Rollout(old))) if new.stages == old.stages => {
                let reverts = (new.stage, new.status) != (old.stage, old.status);
                (new.stage, new.status) = (old.stage, old.status);
                reverts
            }
            _ => false,
        };
        if differs {
            preserved.push(subject);
        }
    }
    preserved
}

/// Sort key of [`changes`]. Readers apply changes one by one, so the order within one append
/// matters.
fn publish_order(value: &Value) -> u8 {
    match value {
        Value::Pool(_) => 0,
        Value::Version(_) => 1,
        Value::Service(_) => 2,
        Value::Contract(_) => 3,
        Value::Rollout(_) => 4,
    }
}

/// Appends `changes` and reads their verdicts back. Retries until `deadline`.
///
/// # Errors
///
/// [`Error::Log`] if the changes are certainly not on the log, [`Error::Unconfirmed`] if they are
/// or may be but their verdicts could not be read back.
pub async fn publish(
    log: &impl Log,
    snapshot: &mut Snapshot,
    changes: &[Change],
    deadline: Instant,
) -> Result<Vec<Outcome>, Error> {
    if changes.is_empty() {
        return Ok(Vec::new());
    }
    let records = records(changes)?;
    let mut uncertain = false;
    loop {
        let failure = match log.append(Stream::Configuration, records.clone()).await {
            Ok(first) => return await_outcomes(log, snapshot, changes, first, deadline).await,
            Err(error) => error,
        };
        // After a lost response the changes may be on the log, whatever later attempts return,
        // until they are read back.
        uncertain |= !matches!(failure, log::Error::Refused { .. });
        if uncertain
            && snapshot.refresh(log, deadline).await.is_ok()
            && all_decided(snapshot, changes)
        {
            return Ok(outcomes(snapshot, changes));
        }
        match stream::backoff(failure, deadline).await {
            Ok(()) => {}
            Err(_) if uncertain => return Err(unconfirmed(changes)),
            Err(source) => return Err(Error::Log { source }),
        }
    }
}

fn records(changes: &[Change]) -> Result<Vec<String>, Error> {
    changes
        .iter()
        .map(|change| serde_json::to_string(&Entry::Change(change.clone())))
        .collect::<Result<_, _>>()
        .map_err(|error| Error::failed(error.to_string()))
}

/// Reads the stream until all changes have a verdict. `first` is the offset of the first change, as
/// the log returned it.
async fn await_outcomes(
    log: &impl Log,
    snapshot: &mut Snapshot,
    changes: &[Change],
    first: Offset,
    deadline: Instant,
) -> Result<Vec<Outcome>, Error> {
    let end = Offset(first.0 + changes.len() as u64);
    while snapshot.state.offset < end && Instant::now() < deadline {
        if snapshot.refresh(log, deadline).await.is_err() {
            break;
        }
    }
    if all_decided(snapshot, changes) {
        return Ok(outcomes(snapshot, changes));
    }
    Err(unconfirmed(changes))
}

fn all_decided(snapshot: &Snapshot, changes: &[Change]) -> bool {
    changes
        .iter()
        .all(|change| snapshot.verdict(change.id).is_some())
}

fn outcomes(snapshot: &Snapshot, changes: &[Change]) -> Vec<Outcome> {
    let outcome = |change: &Change| {
        let verdict = snapshot.verdict(change.id)?;
        let winner = match verdict {
            Verdict::Conflict(revision) => winner(snapshot, revision),
            Verdict::Accepted(_) | Verdict::Mismatch => None,
        };
        Some(Outcome {
            subject: change.subject.clone(),
            id: change.id,
            verdict,
            winner,
        })
    };
    changes.iter().filter_map(outcome).collect()
}

fn winner(snapshot: &Snapshot, revision: Revision) -> Option<CompactString> {
    let decided = snapshot.accepted_as(revision)?;
    Some(decided.change.by.clone())
}

fn unconfirmed(changes: &[Change]) -> Error {
    let mut message = String::from(
        "the verdicts could not be read back from the log; these changes may be in force \
         (look for their ids in `pimentoctl history`):",
    );
    for change in changes {
        message.push_str("\n  ");
        message.push_str(&change.id.to_string());
        message.push(' ');
        message.push_str(&change.subject.to_string());
    }
    Error::Unconfirmed { message }
}

/// Checks that all changes were accepted.
///
/// # Errors
///
/// [`Error::Conflict`] with one line for each change that was not.
pub fn require_accepted(outcomes: &[Outcome]) -> Result<(), Error> {
    let lost = |outcome: &&Outcome| !matches!(outcome.verdict, Verdict::Accepted(_));
    let lines: Vec<String> = outcomes
        .iter()
        .filter(lost)
        .map(ToString::to_string)
        .collect();
    if lines.is_empty() {
        return Ok(());
    }
    let message = lines.join("\n");
    Err(Error::Conflict { message })
}
