//! A topic's view: each record applied once and in order.

use compact_str::CompactString;
use pimento_progress::Progress;
use pimento_units::Moment;
use pimento_units::Offset;

use super::Fold;
use super::Proof;
use super::ReadCounts;
use super::RecordContext;
use crate::recent;
use crate::recent::Recent;
use crate::snapshot::Snapshot;
use crate::topic::Batch;
use crate::topic::Record;
use crate::zone::Stamp;

/// Parts kept that came before those that go first: what a hundred endpoints that register at once take.
/// Beyond, the VM reads by itself.
const AHEAD: usize = 64;

/// Records of another VM: all that change the view between two offsets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordRange {
    /// The first offset.
    pub from: Offset,
    /// The offset after the last.
    pub to: Offset,
    /// The records.
    pub records: Vec<Record>,
}

/// A view with its place in the topic, and how it is proven.
#[derive(Debug)]
pub struct View<F> {
    /// What the records are folded into.
    pub fold: F,
    /// Newest offset of each key, sorted by key.
    pub seen: Vec<(CompactString, Offset)>,
    /// Where to read on; none before the first read.
    pub next: Option<Offset>,
    /// The offset after the last record that changed the view.
    pub changed: Offset,
    /// The last of those records.
    pub recent: Recent,
    /// The newest of each key that has a value, sorted by key: what a VM that starts needs.
    pub newest: Vec<Record>,
    /// Parts that came before those that go first, sorted by where they begin.
    ahead: Vec<RecordRange>,
    /// The offset up to which another VM knows of changes.
    wanted: Offset,
    /// When that was heard first.
    heard: Moment,
    /// The newest proof whose changes the view may lack yet.
    promised: Option<Proof>,
    /// Since when the view lacks some of them.
    pub behind: Option<Moment>,
    /// What has come of the own read that is under way.
    pub reading: Option<Progress>,
    /// Reads in a row of which nothing came in time.
    pub silent: u32,
    /// How the reads so far went.
    pub read_counts: ReadCounts,
    /// When the last read that reached the end was sent.
    pub proven_at: Option<Moment>,
    /// Other VMs' stamps that had come by then.
    pub stamps: Vec<Stamp>,
    /// Since when reads are answered; none while they are not.
    pub connected_since: Option<Moment>,
}

impl<F: Fold> View<F> {
    /// A view before the first read.
    pub fn new(fold: F) -> Self {
        Self {
            fold,
            seen: Vec::new(),
            next: None,
            changed: Offset::default(),
            recent: Recent::default(),
            newest: Vec::new(),
            ahead: Vec::new(),
            wanted: Offset::default(),
            heard: Moment::ZERO,
            promised: None,
            behind: None,
            reading: None,
            silent: 0,
            read_counts: ReadCounts::default(),
            proven_at: None,
            stamps: Vec::new(),
            connected_since: None,
        }
    }

    /// Applies a record unless a newer one of its key was seen: pages of the newest records are no
    /// snapshot, and two reads may overlap.
    pub fn apply(&mut self, record: &Record, now: Moment) -> bool {
        match self.seen.binary_search_by(|(key, _)| key.cmp(&record.key)) {
            Ok(place) if self.seen[place].1 >= record.offset => return false,
            Ok(place) => self.seen[place].1 = record.offset,
            Err(place) => self.seen.insert(place, (record.key.clone(), record.offset)),
        }
        let context = RecordContext {
            received: now,
            connected_since: self.connected_since.unwrap_or(now),
            initial: self.proven_at.is_none(),
        };
        let changed = self.fold.apply(record, context);
        if changed {
            self.changed = self.changed.max(record.offset.next());
            self.recent.push(record);
            self.keep(record);
        }
        changed
    }

    /// Keeps a record for VMs that start. One that changed nothing says no more than the one before.
    fn keep(&mut self, record: &Record) {
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

    /// Takes another VM's view whole, which is proven as of a moment of the own clock.
    pub fn adopt(&mut self, snapshot: &Snapshot, proven: Option<Moment>, now: Moment) {
        self.replace(&snapshot.records, snapshot.to, now);
        self.proven_at = self.proven_at.max(proven);
    }

    /// Takes the records that follow those which the view holds; whether it changed.
    pub fn extend(&mut self, batch: &Batch, now: Moment) -> bool {
        let mut changed = false;
        for record in &batch.records {
            changed |= self.apply(record, now);
        }
        let last = batch.records.last().map(|record| record.offset.next());
        self.reach(last.unwrap_or(batch.end));
        changed
    }

    /// Takes the newest of all keys, up to an offset, in place of what the view holds; whether it changed.
    pub fn replace(&mut self, newest: &[Record], end: Offset, now: Moment) -> bool {
        let mut changed = false;
        for record in newest {
            changed |= self.apply(record, now);
        }
        changed |= self.drop_missing(newest, end, now);
        self.recent.reset(end);
        self.reach(end);
        changed
    }

    /// Takes a range once the view holds all before it; whether the view changed. Datagrams overtake each
    /// other within milliseconds. Without keeping those that came early, each VM of a zone read the log
    /// for itself when some dozen endpoints registered at once.
    pub fn receive(&mut self, range: RecordRange, now: Moment) -> bool {
        let place = self.ahead.partition_point(|known| known.from <= range.from);
        self.ahead.insert(place, range);
        let mut changed = false;
        while let Some(range) = self.fitting() {
            for record in &range.records {
                changed |= self.apply(record, now);
            }
            self.reach(range.to);
        }
        let next = self.next;
        self.ahead.retain(|range| Some(range.to) > next);
        self.ahead.truncate(AHEAD);
        changed
    }

    /// A range that goes on where the view ends.
    fn fitting(&mut self) -> Option<RecordRange> {
        let next = self.next?;
        let fits = |range: &RecordRange| range.from <= next && next < range.to;
        let place = self.ahead.iter().position(fits)?;
        Some(self.ahead.remove(place))
    }

    /// Another VM knows of changes up to an offset, and that there were none after them as of a moment.
    pub fn want(&mut self, proof: Proof, now: Moment) {
        if proof.changed > self.wanted {
            self.wanted = proof.changed;
            self.heard = now;
        }
        if self.promised.is_none_or(|known| known.stamp < proof.stamp) {
            self.promised = Some(proof);
        }
        if self.lacks() {
            self.behind.get_or_insert(now);
        }
        self.redeem();
    }

    /// The view is proven by another VM's word once it holds all that this one knew.
    fn redeem(&mut self) {
        let holds = |proof: &Proof| self.next.is_some_and(|next| next >= proof.changed);
        if let Some(proof) = self.promised.filter(holds) {
            self.proven_at = self.proven_at.max(Some(proof.stamp));
            self.promised = None;
        }
    }

    /// The view now holds all records before an offset.
    pub fn reach(&mut self, offset: Offset) {
        self.next = self.next.max(Some(offset));
        if !self.lacks() {
            self.behind = None;
        }
        self.redeem();
    }

    /// The view holds all that the log held at `sent`. Whether another VM had told of more by then:
    /// records are never lost, so that it was wrong. Its word would keep this VM reading, and make it
    /// refuse its callers, until the log holds as much.
    pub fn refute(&mut self, sent: Moment) -> bool {
        let wrong = self.lacks() && self.heard <= sent;
        if wrong {
            self.wanted = self.next.unwrap_or_default();
            self.behind = None;
        }
        wrong
    }

    /// Whether another VM knows of a change that the view does not hold.
    pub fn lacks(&self) -> bool {
        self.next.is_none_or(|next| next < self.wanted)
    }

    /// Drops the keys that a reading of the newest records no longer has.
    fn drop_missing(&mut self, newest: &[Record], before: Offset, now: Moment) -> bool {
        let mut there: Vec<&CompactString> = newest.iter().map(|r| &r.key).collect();
        there.sort_unstable();
        let gone: Vec<CompactString> = self
            .seen
            .iter()
            .filter(|(key, offset)| *offset < before && there.binary_search(&key).is_err())
            .map(|(key, _)| key.clone())
            .collect();
        let mut changed = false;
        for key in gone {
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
