//! The fold of the configuration stream with what is needed around it: checkpoints, states from
//! peers, and the newest records for peers that lag.

use std::collections::VecDeque;

use pimento_contract::State;
use pimento_contract::change::Checkpoint;
use pimento_contract::change::Entry;
use pimento_contract::fold::Verdict;
use pimento_units::Offset;
use pimento_units::Wall;
use pimento_wire::peer::Answer;

use crate::follower::Fold;

/// Records kept for peers that lag. At the target size these are the last five hours.
const TAIL: usize = 256;
/// Bytes of them. A contract has a few kilobytes.
const TAIL_BYTES: usize = 1 << 20;

/// State and surroundings.
#[derive(Debug, Default)]
pub(super) struct StateFold {
    state: State,
    /// Set while records are missing between the state and what the log still keeps.
    lapsed: Option<Offset>,
    tail: VecDeque<(Offset, String)>,
    tail_bytes: usize,
    /// Changes accepted since the last checkpoint on the stream.
    accepted: u64,
    /// When the log took the last checkpoint.
    checkpoint: Option<Wall>,
    invalid_checkpoints: u64,
}

impl StateFold {
    /// The state.
    pub(super) const fn state(&self) -> &State {
        &self.state
    }

    /// Whether records are missing before what the log still keeps.
    pub(super) const fn lapsed(&self) -> bool {
        self.lapsed.is_some()
    }

    /// Checkpoints ignored.
    pub(super) const fn invalid_checkpoints(&self) -> u64 {
        self.invalid_checkpoints
    }

    /// Changes accepted since the last checkpoint, and when the log took that.
    pub(super) const fn since_checkpoint(&self) -> (u64, Option<Wall>) {
        (self.accepted, self.checkpoint)
    }

    /// What a peer with the records before `offset` lacks.
    pub(super) fn since(&self, offset: Offset) -> Answer {
        if offset >= self.state.offset {
            return Answer::Nothing;
        }
        let kept = self.tail.front().is_some_and(|(first, _)| *first <= offset);
        if kept {
            let missing = self.tail.iter().filter(|(at, _)| *at >= offset);
            let records = missing.cloned().collect();
            return Answer::Records { records };
        }
        let checkpoint = Checkpoint::of(&self.state);
        match serde_json::to_string(&checkpoint) {
            Ok(checkpoint) => Answer::State { checkpoint },
            Err(_) => Answer::Nothing,
        }
    }

    /// Takes records from a peer; false if there is a gap before them.
    pub(super) fn take(&mut self, records: &[(Offset, String)]) -> bool {
        for (offset, record) in records {
            if *offset > self.state.offset {
                return false;
            }
            if *offset == self.state.offset {
                self.step(*offset, None, record);
            }
        }
        true
    }

    /// Takes a peer's state, if it is newer and fits its hash.
    pub(super) fn adopt(&mut self, checkpoint: &str) -> bool {
        let Ok(checkpoint) = serde_json::from_str::<Checkpoint>(checkpoint) else {
            self.invalid_checkpoints += 1;
            return false;
        };
        match checkpoint.check() {
            Ok(state) => self.advance(state),
            Err(error) => {
                self.invalid_checkpoints += 1;
                log::warn!("configuration: a peer's state was ignored: {error}");
                false
            }
        }
    }

    /// Replaces the state by a newer one. An older one is never taken: it would put back in force
    /// what was changed since.
    fn advance(&mut self, state: State) -> bool {
        if state.offset <= self.state.offset {
            return false;
        }
        self.state = state;
        self.tail.clear();
        self.tail_bytes = 0;
        if self
            .lapsed
            .is_some_and(|oldest| self.state.offset >= oldest)
        {
            self.lapsed = None;
        }
        true
    }

    /// Applies the record at the state's offset.
    fn step(&mut self, offset: Offset, at: Option<Wall>, record: &str) {
        let before = self.state.offset;
        if record.is_empty() {
            // A peer's word that nothing changes here: a checkpoint, or what could not be read.
            self.state.skip(offset);
            self.keep(offset, record);
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
                self.keep(offset, record);
            }
            Ok(Entry::Checkpoint(checkpoint)) => {
                self.judge(checkpoint, at);
                self.state.skip(offset);
                // A checkpoint changes nothing, so peers need its place only.
                self.keep(offset, "");
            }
            Err(error) => {
                log::warn!("configuration: the record at {offset} can't be read: {error}");
                self.state.skip(offset);
                self.keep(offset, "");
            }
        }
        debug_assert!(self.state.offset > before);
    }

    /// Takes note of a checkpoint that stands on the stream, if it is right.
    fn judge(&mut self, checkpoint: Checkpoint, at: Option<Wall>) {
        if self.right(checkpoint) {
            self.accepted = 0;
            self.checkpoint = at.or(self.checkpoint);
            return;
        }
        self.invalid_checkpoints += 1;
        log::warn!("configuration: a checkpoint does not fit the records before it");
    }

    /// Whether a checkpoint fits its hash, and gives this state when the records since are
    /// applied to it. Where these are not kept any more its hash has to do.
    fn right(&self, checkpoint: Checkpoint) -> bool {
        let Ok(mut state) = checkpoint.check() else {
            return false;
        };
        if state.offset > self.state.offset {
            return false;
        }
        let first = self.tail.front().map_or(self.state.offset, |(at, _)| *at);
        if state.offset < first {
            return true;
        }
        let since = self.tail.iter().filter(|(at, _)| *at >= state.offset);
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

    fn keep(&mut self, offset: Offset, record: &str) {
        self.tail_bytes += record.len();
        self.tail.push_back((offset, record.to_owned()));
        while self.tail.len() > TAIL || self.tail_bytes > TAIL_BYTES {
            let Some((_, oldest)) = self.tail.pop_front() else {
                return;
            };
            self.tail_bytes -= oldest.len();
        }
    }

    /// Looks for a checkpoint to start from, while records are missing.
    fn search(&mut self, oldest: Offset, at: Wall, record: &str) {
        let Ok(Entry::Checkpoint(checkpoint)) = serde_json::from_str::<Entry>(record) else {
            return;
        };
        // Records before `oldest` are gone, so an earlier checkpoint leaves a gap as well.
        if checkpoint.offset < oldest {
            return;
        }
        match checkpoint.check() {
            Ok(state) => {
                if self.advance(state) {
                    self.checkpoint = Some(at);
                    self.accepted = 0;
                }
            }
            Err(error) => {
                self.invalid_checkpoints += 1;
                log::warn!("configuration: a checkpoint was ignored: {error}");
            }
        }
    }
}

impl Fold for StateFold {
    fn apply(&mut self, offset: Offset, at: Wall, record: &str) {
        if let Some(oldest) = self.lapsed {
            self.search(oldest, at, record);
        } else if offset == self.state.offset {
            self.step(offset, Some(at), record);
        } else if offset > self.state.offset {
            // The log's records have no gaps; what looks like one is a record not read. Applying
            // past it would put a state in force that no prefix of the log gives.
            self.reset(offset);
        }
    }

    fn reset(&mut self, oldest: Offset) {
        if oldest > self.state.offset {
            self.lapsed = Some(oldest);
        }
    }

    fn resume(&self, next: Offset) -> Offset {
        if self.lapsed.is_some() {
            return next;
        }
        self.state.offset
    }
}
