//! Folds the configuration stream into a state.
//!
//! The fold checks checkpoints, accepts newer states from peers, and retains the newest records for
//! peers that lag.

use std::collections::VecDeque;

use pimento_contract::State;
use pimento_contract::change::Checkpoint;
use pimento_contract::change::Entry;
use pimento_contract::fold::Verdict;
use pimento_units::Offset;
use pimento_units::Wall;
use pimento_wire::peer::Answer;

use crate::follower::Fold;

/// Number of records retained for peers that lag. At the target size they cover five hours.
const MAX_RECENT: usize = 256;
/// Bytes of records retained for peers that lag. A contract has a few kilobytes.
const MAX_RECENT_BYTES: usize = 1 << 20;

/// The configuration state, and the newest records that led to it.
#[derive(Debug, Default)]
pub(super) struct StateFold {
    state: State,
    /// The log's oldest record, while records between the state and that record are missing.
    gap_end: Option<Offset>,
    recent: VecDeque<(Offset, String)>,
    recent_bytes: usize,
    /// Changes accepted since the last checkpoint on the stream.
    accepted: u64,
    /// When the log appended the last checkpoint.
    checkpoint_at: Option<Wall>,
    invalid_checkpoints: u64,
}

impl StateFold {
    /// The current state.
    pub(super) const fn state(&self) -> &State {
        &self.state
    }

    /// Whether records between the state and the log's oldest record are missing.
    pub(super) const fn has_gap(&self) -> bool {
        self.gap_end.is_some()
    }

    /// Number of checkpoints that were ignored.
    pub(super) const fn invalid_checkpoints(&self) -> u64 {
        self.invalid_checkpoints
    }

    /// Number of changes accepted since the last checkpoint, and when the log appended it.
    pub(super) const fn since_checkpoint(&self) -> (u64, Option<Wall>) {
        (self.accepted, self.checkpoint_at)
    }

    /// What a peer lacks that has all records before `offset`: the records, or the whole state if they
    /// are not retained.
    pub(super) fn answer_pull(&self, offset: Offset) -> Answer {
        if offset >= self.state.offset {
            return Answer::Nothing;
        }
        let retained = self
            .recent
            .front()
            .is_some_and(|(first, _)| *first <= offset);
        if retained {
            let missing = self.recent.iter().filter(|(at, _)| *at >= offset);
            let records = missing.cloned().collect();
            return Answer::Records { records };
        }
        let checkpoint = Checkpoint::of(&self.state);
        match serde_json::to_string(&checkpoint) {
            Ok(checkpoint) => Answer::State { checkpoint },
            Err(_) => Answer::Nothing,
        }
    }

    /// Applies records from a peer; false if there is a gap before them.
    pub(super) fn apply_records(&mut self, records: &[(Offset, String)]) -> bool {
        for (offset, record) in records {
            if *offset > self.state.offset {
                return false;
            }
            if *offset == self.state.offset {
                self.apply_record(*offset, None, record);
            }
        }
        true
    }

    /// Adopts a peer's state if it is newer and matches its hash.
    pub(super) fn adopt(&mut self, checkpoint: &str) -> bool {
        let Ok(checkpoint) = serde_json::from_str::<Checkpoint>(checkpoint) else {
            self.invalid_checkpoints += 1;
            return false;
        };
        match checkpoint.into_state() {
            Ok(state) => self.replace_state(state),
            Err(error) => {
                self.invalid_checkpoints += 1;
                log::warn!("configuration: state from a peer ignored: {error}");
                false
            }
        }
    }

    /// Replaces the state by a newer one; false if `state` is not newer. An older state would revert
    /// the changes since.
    fn replace_state(&mut self, state: State) -> bool {
        if state.offset <= self.state.offset {
            return false;
        }
        self.state = state;
        self.recent.clear();
        self.recent_bytes = 0;
        if self
            .gap_end
            .is_some_and(|oldest| self.state.offset >= oldest)
        {
            self.gap_end = None;
        }
        true
    }

    /// Applies the record at the state's offset.
    fn apply_record(&mut self, offset: Offset, at: Option<Wall>, record: &str) {
        let before = self.state.offset;
        if record.is_empty() {
            // A peer sends an empty record for a checkpoint or for an unreadable record. Neither
            // changes the state.
            self.state.skip(offset);
            self.retain(offset, record);
            return;
        }
        match serde_json::from_str::<Entry>(record) {
            Ok(Entry::Change(change)) => {
                let verdict = self.state.apply(offset, &change);
                log::info!(
                    "configuration: {} by {}: {verdict:?}",
                    change.subject,
                    change.by
                );
                if matches!(verdict, Verdict::Accepted(_)) {
                    self.accepted += 1;
                }
                self.retain(offset, record);
            }
            Ok(Entry::Checkpoint(checkpoint)) => {
                self.check_checkpoint(checkpoint, at);
                self.state.skip(offset);
                // A checkpoint does not change the state, so peers need only its offset.
                self.retain(offset, "");
            }
            Err(error) => {
                log::warn!("configuration: record {offset} can't be read: {error}");
                self.state.skip(offset);
                self.retain(offset, "");
            }
        }
        debug_assert!(self.state.offset > before);
    }

    /// Records a checkpoint of the stream if it is valid, and counts it as invalid otherwise.
    fn check_checkpoint(&mut self, checkpoint: Checkpoint, at: Option<Wall>) {
        if self.is_valid(checkpoint) {
            self.accepted = 0;
            self.checkpoint_at = at.or(self.checkpoint_at);
            return;
        }
        self.invalid_checkpoints += 1;
        log::warn!("configuration: checkpoint ignored: it does not match the records before it");
    }

    /// Whether a checkpoint matches its hash and, with the records since applied to it, gives the
    /// current state. If these records are not retained, only the hash is checked.
    fn is_valid(&self, checkpoint: Checkpoint) -> bool {
        let Ok(mut state) = checkpoint.into_state() else {
            return false;
        };
        if state.offset > self.state.offset {
            return false;
        }
        let first = self.recent.front().map_or(self.state.offset, |(at, _)| *at);
        if state.offset < first {
            return true;
        }
        let since = self.recent.iter().filter(|(at, _)| *at >= state.offset);
        for (offset, record) in since.cloned().collect::<Vec<_>>() {
            match serde_json::from_str::<Entry>(&record) {
                Ok(Entry::Change(change)) => {
                    state.apply(offset, &change);
                }
                Ok(Entry::Checkpoint(_)) | Err(_) => state.skip(offset),
            }
        }
        state == self.state
    }

    fn retain(&mut self, offset: Offset, record: &str) {
        self.recent_bytes += record.len();
        self.recent.push_back((offset, record.to_owned()));
        while self.recent.len() > MAX_RECENT || self.recent_bytes > MAX_RECENT_BYTES {
            let Some((_, oldest)) = self.recent.pop_front() else {
                return;
            };
            self.recent_bytes -= oldest.len();
        }
    }

    /// Starts from the checkpoint in `record`, if it holds one that closes the gap before `oldest`.
    fn start_from_checkpoint(&mut self, oldest: Offset, at: Wall, record: &str) {
        let Ok(Entry::Checkpoint(checkpoint)) = serde_json::from_str::<Entry>(record) else {
            return;
        };
        // The log has dropped the records before `oldest`: an earlier checkpoint leaves a gap too.
        if checkpoint.offset < oldest {
            return;
        }
        match checkpoint.into_state() {
            Ok(state) => {
                if self.replace_state(state) {
                    self.checkpoint_at = Some(at);
                    self.accepted = 0;
                }
            }
            Err(error) => {
                self.invalid_checkpoints += 1;
                log::warn!("configuration: checkpoint ignored: {error}");
            }
        }
    }
}

impl Fold for StateFold {
    fn apply(&mut self, offset: Offset, at: Wall, record: &str) {
        if let Some(oldest) = self.gap_end {
            self.start_from_checkpoint(oldest, at, record);
        } else if offset == self.state.offset {
            self.apply_record(offset, Some(at), record);
        } else if offset > self.state.offset {
            // The log has no gaps, so a record was not read. Applying later records without it would
            // give a state that no prefix of the log gives.
            self.records_dropped(offset);
        }
    }

    fn records_dropped(&mut self, oldest: Offset) {
        if oldest > self.state.offset {
            self.gap_end = Some(oldest);
        }
    }

    fn resume(&self, next: Offset) -> Offset {
        if self.gap_end.is_some() {
            return next;
        }
        self.state.offset
    }
}
