//! The view of a topic, to which each record is applied once and in order.

use std::time::Duration;

use compact_str::CompactString;
use pimento_progress::Progress;
use pimento_units::Moment;
use pimento_units::Offset;

use super::Fold;
use super::Proof;
use super::ReadCounts;
use super::RecordContext;
use crate::position::Era;
use crate::position::Position;
use crate::recent;
use crate::recent::Recent;
use crate::snapshot::Snapshot;
use crate::topic::Batch;
use crate::topic::Record;
use crate::zone::Stamp;

/// Ranges buffered until the records before them arrive: as many as a hundred endpoints need that register
/// at once. If more arrive early, the VM reads the log itself.
const MAX_EARLY: usize = 64;

/// Time after a restoration of the log within which what its copy lacks may be written again. Until then it
/// stays in force.
const RETENTION: Duration = Duration::from_secs(3);

/// Records from another VM: all those between two offsets that changed its view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordRange {
    /// The first offset.
    pub from: Offset,
    /// The offset after the last.
    pub to: Offset,
    /// The records.
    pub records: Vec<Record>,
}

/// The state built from a topic, with its position on the topic and what proves its age.
#[derive(Debug)]
pub struct View<F> {
    /// The state built from the records.
    pub fold: F,
    /// Newest offset of each key, sorted by key.
    pub seen: Vec<(CompactString, Offset)>,
    /// The offset of the next read; none before the first read.
    pub next: Option<Offset>,
    /// The offset after the last record that changed the view.
    pub change_end: Offset,
    /// The most recent of the records that changed the view.
    pub recent: Recent,
    /// The newest record of each key that has a value, sorted by key, for VMs that start.
    pub newest: Vec<Record>,
    /// Ranges that arrived before the records that precede them, sorted by their first offset.
    early: Vec<RecordRange>,
    /// The end of the changes that other VMs announced: the highest [`Proof::change_end`] received.
    known_end: Offset,
    /// When that offset was first announced.
    known_end_at: Moment,
    /// The newest proof, until the view holds all changes that it covers.
    pending_proof: Option<Proof>,
    /// Since when the view has lacked an announced change.
    pub behind_since: Option<Moment>,
    /// The progress of the running read of the follower's own task.
    pub running_read: Option<Progress>,
    /// Reads in a row that timed out.
    pub unanswered_reads: u32,
    /// Outcomes of the reads so far.
    pub read_counts: ReadCounts,
    /// The latest moment at which the view is known to have held the whole topic: when the last complete
    /// read was sent, or what another VM's proof or snapshot says.
    pub proven_at: Option<Moment>,
    /// Other VMs' last stamps that had arrived by `proven_at`, sorted by VM.
    pub stamps: Vec<Stamp>,
    /// The era of the view's records.
    pub era: Era,
    /// The era that the log is known to be in. Views of earlier ones are out of date.
    pub log_era: Era,
    /// Until when keys stay that the log has lacked since it was restored.
    retained_until: Option<Moment>,
    /// Since when the log has been reachable, directly or through another VM; none while it is not.
    pub connected_since: Option<Moment>,
    /// When the log was last found to be unreachable.
    pub lost_at: Option<Moment>,
}

impl<F: Fold> View<F> {
    /// A view before the first read.
    pub fn new(fold: F) -> Self {
        Self {
            fold,
            seen: Vec::new(),
            next: None,
            change_end: Offset::default(),
            recent: Recent::default(),
            newest: Vec::new(),
            early: Vec::new(),
            known_end: Offset::default(),
            known_end_at: Moment::ZERO,
            pending_proof: None,
            behind_since: None,
            running_read: None,
            unanswered_reads: 0,
            read_counts: ReadCounts::default(),
            proven_at: None,
            stamps: Vec::new(),
            era: Era::default(),
            log_era: Era::default(),
            retained_until: None,
            connected_since: None,
            lost_at: None,
        }
    }

    /// Applies a record unless one of its key with the same or a newer offset was applied. That happens
    /// because the pages of the newest records are not taken at one moment, and because reads may overlap.
    /// Returns whether the view changed.
    pub fn apply(&mut self, record: &Record, now: Moment) -> bool {
        self.apply_in_era(record, false, now)
    }

    /// The same. `restored` is set if the record may be of the copy from which the log came back.
    fn apply_in_era(&mut self, record: &Record, restored: bool, now: Moment) -> bool {
        let found = self.seen.binary_search_by(|(key, _)| key.cmp(&record.key));
        let before = found.ok().map(|place| self.seen[place].1);
        if before.is_some_and(|before| before >= record.offset) {
            return false;
        }
        match found {
            Ok(place) => self.seen[place].1 = record.offset,
            Err(place) => self.seen.insert(place, (record.key.clone(), record.offset)),
        }
        let context = self.context(restored && before.is_some(), now);
        if self.fold.apply(record, context) {
            self.update_newest(record);
            self.push_recent(record);
            return true;
        }
        let era = |offset| Position::from(offset).era;
        let crosses = before.is_some_and(|before| era(before) < era(record.offset));
        crosses && self.confirm(record, restored)
    }

    fn context(&self, restored: bool, now: Moment) -> RecordContext {
        RecordContext {
            received: now,
            connected_since: self.connected_since.unwrap_or(now),
            initial: self.proven_at.is_none(),
            restored,
        }
    }

    fn push_recent(&mut self, record: &Record) {
        self.change_end = self.change_end.max(record.offset.next());
        self.recent.push(record, self.newest.len());
    }

    /// Records that the log holds a key in a new era whose known value stays in force. The other VMs are told,
    /// or they would take it for lost. Returns whether the key has a value.
    fn confirm(&mut self, record: &Record, restored: bool) -> bool {
        let found = self.newest.binary_search_by(|r| r.key.cmp(&record.key));
        let Ok(place) = found else {
            return false;
        };
        self.newest[place].offset = record.offset;
        if !restored {
            let known = self.newest[place].clone();
            self.push_recent(&known);
        }
        true
    }

    /// Stores a record that changed the view for VMs that start. They need no record that changed nothing:
    /// it has no more effect than the one before it.
    fn update_newest(&mut self, record: &Record) {
        let found = self.newest.binary_search_by(|r| r.key.cmp(&record.key));
        match (found, record.value.is_some()) {
            (Ok(place), true) => self.newest[place] = recent::copy(record),
            (Ok(place), false) => {
                self.newest.remove(place);
            }
            (Err(place), true) => self.newest.insert(place, recent::copy(record)),
            (Err(_), false) => {}
        }
    }

    /// Adopts another VM's whole view, which is proven as of a moment of this VM's clock. Returns false if the
    /// log was restored since it was read.
    pub fn adopt(&mut self, snapshot: &Snapshot, proven: Option<Moment>, now: Moment) -> bool {
        if Position::from(snapshot.to).era < self.log_era {
            return false;
        }
        self.replace(&snapshot.records, snapshot.to, now);
        self.proven_at = self.proven_at.max(proven);
        true
    }

    /// Records that the log came back from an older copy, and that the view must be read anew.
    pub fn log_restored(&mut self, era: Era) {
        self.log_era = self.log_era.max(era);
        self.next = None;
    }

    /// Applies records that follow those in the view. Returns whether the view changed.
    pub fn extend(&mut self, batch: &Batch, now: Moment) -> bool {
        let mut changed = false;
        for record in &batch.records {
            changed |= self.apply(record, now);
        }
        let last = batch.records.last().map(|record| record.offset.next());
        self.advance(last.unwrap_or(batch.end));
        changed
    }

    /// Replaces the contents of the view by the newest records of all keys up to `end`. Returns whether the
    /// view, or its era, changed.
    pub fn replace(&mut self, newest: &[Record], end: Offset, now: Moment) -> bool {
        let restored = self.enter_era(end, now);
        let mut changed = false;
        for record in newest {
            changed |= self.apply_in_era(record, restored, now);
        }
        changed |= self.remove_missing(newest, end, now);
        if restored {
            // The other VMs must learn of the new era as well, although nothing else may have changed.
            self.change_end = end;
        }
        self.recent.reset(end);
        self.advance(end);
        changed || restored
    }

    /// Enters the era of a position if that is a later one. Returns whether it is.
    fn enter_era(&mut self, end: Offset, now: Moment) -> bool {
        let era = Position::from(end).era;
        if era <= self.era {
            return false;
        }
        self.era = era;
        self.log_era = self.log_era.max(era);
        self.retained_until = Some(now + RETENTION);
        true
    }

    /// Removes the keys that were not written again since the log was restored, once the time for it is over.
    /// Returns whether the view changed. Each VM does so by itself.
    pub fn expire_retained(&mut self, now: Moment) -> bool {
        if self.retained_until.is_none_or(|until| now < until) {
            return false;
        }
        self.retained_until = None;
        let start = Position::start(self.era).into();
        let missing = self.seen.iter().filter(|(_, offset)| *offset < start);
        let missing: Vec<CompactString> = missing.map(|(key, _)| key.clone()).collect();
        let context = self.context(false, now);
        let mut changed = false;
        for key in missing {
            let removal = Record {
                offset: start,
                key,
                value: None,
            };
            if self
                .newest
                .binary_search_by(|r| r.key.cmp(&removal.key))
                .is_ok()
            {
                changed |= self.fold.apply(&removal, context);
                self.update_newest(&removal);
            }
        }
        changed
    }

    /// Applies a range of records, and those that were waiting for it, once the view holds everything
    /// before it. Returns whether the view changed.
    ///
    /// Datagrams overtake each other within milliseconds. Without the buffer for early ones each VM of a
    /// zone would read the log itself whenever some dozen endpoints register at once.
    pub fn receive(&mut self, range: RecordRange, now: Moment) -> bool {
        let place = self.early.partition_point(|known| known.from <= range.from);
        self.early.insert(place, range);
        let mut changed = false;
        while let Some(range) = self.next_range() {
            for record in &range.records {
                changed |= self.apply(record, now);
            }
            self.advance(range.to);
        }
        let next = self.next;
        self.early.retain(|range| Some(range.to) > next);
        self.early.truncate(MAX_EARLY);
        changed
    }

    /// Removes a range that continues where the view ends from the buffer.
    fn next_range(&mut self) -> Option<RecordRange> {
        let next = self.next?;
        let continues = |range: &RecordRange| range.from <= next && next < range.to;
        let place = self.early.iter().position(continues)?;
        Some(self.early.remove(place))
    }

    /// Receives another VM's proof: there were changes up to an offset, and none after it as of a moment.
    pub fn receive_proof(&mut self, proof: Proof, now: Moment) {
        if proof.change_end > self.known_end {
            self.known_end = proof.change_end;
            self.known_end_at = now;
        }
        let newer = |known: Proof| known.stamp < proof.stamp;
        if self.pending_proof.is_none_or(newer) {
            self.pending_proof = Some(proof);
        }
        if self.lacks_changes() {
            self.behind_since.get_or_insert(now);
        }
        self.apply_pending_proof();
    }

    /// Applies the pending proof if the view holds all changes that it covers.
    fn apply_pending_proof(&mut self) {
        let holds = |proof: &Proof| self.next.is_some_and(|next| next >= proof.change_end);
        if let Some(proof) = self.pending_proof.filter(holds) {
            self.proven_at = self.proven_at.max(Some(proof.stamp));
            // Without this a VM that takes over as the reader would read all renewals since the last change.
            self.next = self.next.max(Some(proof.read_end));
            self.pending_proof = None;
        }
    }

    /// Records that the view holds everything before `offset`.
    pub fn advance(&mut self, offset: Offset) {
        self.next = self.next.max(Some(offset));
        if !self.lacks_changes() {
            self.behind_since = None;
        }
        self.apply_pending_proof();
    }

    /// Drops the end that another VM announced if the log holds no records up to it, and returns whether it
    /// did. The caller has read up to the end of the topic with a read sent at `sent`. An end announced
    /// before must be wrong if the view still lacks its records, because a log that loses
    /// records begins a new era. If it
    /// stayed, this VM would read all the time and refuse callers until the log holds as many records.
    pub fn drop_false_end(&mut self, sent: Moment) -> bool {
        let wrong = self.lacks_changes() && self.known_end_at <= sent;
        if wrong {
            self.known_end = self.next.unwrap_or_default();
            self.behind_since = None;
        }
        wrong
    }

    /// Whether the log was restored since the view was read.
    pub fn is_out_of_era(&self) -> bool {
        self.era < self.log_era
    }

    /// Whether another VM announced a change that the view does not hold, or nothing was read yet.
    pub fn lacks_changes(&self) -> bool {
        self.next.is_none_or(|next| next < self.known_end)
    }

    /// Removes the keys that are not among the newest records of the log any more, but for those that it may
    /// only have lost.
    fn remove_missing(&mut self, newest: &[Record], before: Offset, now: Moment) -> bool {
        let retained = self
            .retained_until
            .map(|_| Position::start(self.era).into());
        let is_retained = |offset: Offset| retained.is_some_and(|start| offset < start);
        let mut present: Vec<&CompactString> = newest.iter().map(|r| &r.key).collect();
        present.sort_unstable();
        let removed: Vec<CompactString> = self
            .seen
            .iter()
            .filter(|(_, offset)| *offset < before && !is_retained(*offset))
            .filter(|(key, _)| present.binary_search(&key).is_err())
            .map(|(key, _)| key.clone())
            .collect();
        let mut changed = false;
        for key in removed {
            let record = Record {
                offset: Offset(before.0.saturating_sub(1)),
                key,
                value: None,
            };
            changed |= self.apply(&record, now);
        }
        changed
    }
}
