//! The last records that changed a view, for other VMs whose view lacks them.
//!
//! Without this each VM of a zone reads the log for each change: when a tenth of a service's endpoints
//! are replaced, sixty VMs made thousands of calls to learn the same few records.

use std::collections::VecDeque;

use bytes::Bytes;
use pimento_units::Offset;

use crate::topic::Record;

/// Records kept: what all endpoints of a service write when they are replaced together, twice over.
const KEPT: usize = 1_024;

/// The largest record that is handed on by datagrams, in bytes. A configuration of a few routes and some
/// dozen customers is half as large. Those that lack a larger one ask for it.
const LARGEST: usize = 8 << 10;

/// Bytes of records that go in one datagram together, with what else it says: more would not fit the
/// smallest usual path. A larger record goes alone, and in fragments.
const TOGETHER: usize = 900;

/// The last records that changed a view.
#[derive(Debug, Default)]
pub struct Recent {
    /// From this offset on all of them are here.
    from: Offset,
    records: VecDeque<Record>,
}

/// Bytes that a record takes in a datagram, nearly.
fn size(record: &Record) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Bytes::len)
}

/// A record to be kept. A small one is copied, since its value is a part of a whole answer of the log,
/// which it would keep as well; a large one is most of its answer.
#[must_use]
pub fn copy(record: &Record) -> Record {
    if size(record) > LARGEST {
        return record.clone();
    }
    Record {
        offset: record.offset,
        key: record.key.clone(),
        value: record.value.as_deref().map(Bytes::copy_from_slice),
    }
}

impl Recent {
    /// Forgets all, since records before `from` may be missing.
    pub fn reset(&mut self, from: Offset) {
        self.from = from;
        self.records.clear();
    }

    /// Takes a record that changed the view.
    pub fn push(&mut self, record: &Record) {
        if size(record) > LARGEST {
            self.forget_large(&record.key);
        } else if self.records.len() == KEPT
            && let Some(oldest) = self.records.pop_front()
        {
            self.from = oldest.offset.next();
        }
        self.records.push_back(copy(record));
    }

    /// Forgets the large record that is kept, as a newer one comes: one is as much as a small VM can
    /// hold. Nobody misses it if the newer one has its key, and else all before it is of no use.
    fn forget_large(&mut self, key: &str) {
        let Some(place) = self.records.iter().position(|r| size(r) > LARGEST) else {
            return;
        };
        let forgotten = self.records.remove(place);
        if let Some(other) = forgotten.filter(|forgotten| forgotten.key != key) {
            self.from = other.offset.next();
            let from = self.from;
            self.records.retain(|record| record.offset >= from);
        }
    }

    /// The records from `from` on; none if one is missing.
    #[must_use]
    pub fn records_from(&self, from: Offset) -> Option<Vec<Record>> {
        let records = self.records.iter().filter(|r| r.offset >= from);
        (from >= self.from).then(|| records.cloned().collect())
    }

    /// The same in parts that fit a datagram each; none also if one is too large for that.
    #[must_use]
    pub fn chunks_from(&self, from: Offset) -> Option<Vec<Vec<Record>>> {
        let records = self.records_from(from)?;
        if records.iter().any(|record| size(record) > LARGEST) {
            return None;
        }
        let mut parts: Vec<Vec<Record>> = Vec::new();
        let mut filled = TOGETHER;
        for record in records {
            let own = size(&record);
            if filled + own > TOGETHER {
                parts.push(Vec::new());
                filled = 0;
            }
            filled += own;
            if let Some(part) = parts.last_mut() {
                part.push(record);
            }
        }
        Some(parts)
    }
}
