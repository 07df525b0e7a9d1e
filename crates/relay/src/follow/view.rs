//! A topic's view: each record applied once and in order.

use compact_str::CompactString;
use pimento_progress::Progress;
use pimento_units::Moment;
use pimento_units::Offset;

use super::Fold;
use super::Tally;
use super::Told;
use crate::recent::Recent;
use crate::topic::Batch;
use crate::topic::Record;
use crate::zone::Stamp;

/// Parts kept that came before those that go first: what a hundred endpoints that register at once take.
/// Beyond, the VM reads by itself.
const AHEAD: usize = 64;

/// Records of another VM: all that change the view between two offsets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
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
    /// Parts that came before those that go first, sorted by where they begin.
    ahead: Vec<Part>,
    /// The offset up to which another VM knows of changes.
    wanted: Offset,
    /// When that was heard first.
    heard: Moment,
    /// Since when the view lacks some of them.
    pub behind: Option<Moment>,
    /// What has come of the own read that is under way.
    pub reading: Option<Progress>,
    /// Reads in a row of which nothing came in time.
    pub silent: u32,
    /// How the reads so far went.
    pub tally: Tally,
    /// When the last read that reached the end was sent.
    pub proven: Option<Moment>,
    /// Other VMs' stamps that had come by then.
    pub stamps: Vec<Stamp>,
    /// Since when reads are answered; none while they are not.
    pub touch: Option<Moment>,
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
            ahead: Vec::new(),
            wanted: Offset::default(),
            heard: Moment::ZERO,
            behind: None,
            reading: None,
            silent: 0,
            tally: Tally::default(),
            proven: None,
            stamps: Vec::new(),
            touch: None,
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
        let told = Told {
            at: now,
            touch: self.touch.unwrap_or(now),
            first: self.proven.is_none(),
        };
        let changed = self.fold.apply(record, told);
        if changed {
            self.changed = self.changed.max(record.offset.next());
            self.recent.push(record);
        }
        changed
    }

    /// Takes a part once the view holds all before it; whether the view changed. Datagrams overtake each
    /// other within milliseconds. Without keeping those that came early, each VM of a zone read the log
    /// for itself when some dozen endpoints registered at once.
    pub fn hand(&mut self, part: Part, now: Moment) -> bool {
        let place = self.ahead.partition_point(|known| known.from <= part.from);
        self.ahead.insert(place, part);
        let mut changed = false;
        while let Some(part) = self.fitting() {
            for record in &part.records {
                changed |= self.apply(record, now);
            }
            self.reach(part.to);
        }
        let next = self.next;
        self.ahead.retain(|part| Some(part.to) > next);
        self.ahead.truncate(AHEAD);
        changed
    }

    /// A part that goes on where the view ends.
    fn fitting(&mut self) -> Option<Part> {
        let next = self.next?;
        let fits = |part: &Part| part.from <= next && next < part.to;
        let place = self.ahead.iter().position(fits)?;
        Some(self.ahead.remove(place))
    }

    /// Another VM knows of changes up to an offset.
    pub fn want(&mut self, offset: Offset, now: Moment) {
        if offset > self.wanted {
            self.wanted = offset;
            self.heard = now;
        }
        if self.lacks() {
            self.behind.get_or_insert(now);
        }
    }

    /// The view now holds all records before an offset.
    pub fn reach(&mut self, offset: Offset) {
        self.next = self.next.max(Some(offset));
        if !self.lacks() {
            self.behind = None;
        }
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
    pub fn drop_missing(&mut self, batch: &Batch, now: Moment) -> bool {
        let before = batch.end;
        let gone: Vec<CompactString> = self
            .seen
            .iter()
            .filter(|(key, offset)| {
                *offset < before && !batch.records.iter().any(|record| record.key == *key)
            })
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
