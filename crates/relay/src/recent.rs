//! A cache of the most recent records that changed a view, for other VMs whose views lack them.
//!
//! Without it each VM of a zone would read the log for each change, so that the calls grow with the number of
//! changes and of VMs.

use std::collections::VecDeque;

use bytes::Bytes;
use pimento_units::Offset;

use crate::topic::Record;

/// The records that are cached at least. A view with more keys than half of them caches two for each key, as
/// many as the endpoints of a service write when they are all replaced together.
const MIN_RECORDS: usize = 1_024;
const RECORDS_PER_KEY: usize = 2;

/// The largest record that is sent in datagrams, in bytes. A configuration of a few routes and some dozen
/// customers is half as large. VMs that lack a larger record request it over a connection.
const MAX_DATAGRAM_RECORD: usize = 8 << 10;

/// The most bytes of records that share one datagram. With its other contents more would exceed the
/// smallest usual MTU. A larger record gets a datagram of its own, which is fragmented.
const MAX_CHUNK: usize = 900;

/// The most recent records that changed a view.
#[derive(Debug, Default)]
pub struct Recent {
    /// The cache is complete from this offset on.
    from: Offset,
    records: VecDeque<Record>,
}

/// The approximate number of bytes that a record takes in a datagram.
fn size(record: &Record) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Bytes::len)
}

/// A copy of a record for the cache. The value of a small record is copied, because it is a slice of a whole
/// answer of the log, which it would keep in memory. A large value is most of its answer and is shared.
#[must_use]
pub fn copy(record: &Record) -> Record {
    if size(record) > MAX_DATAGRAM_RECORD {
        return record.clone();
    }
    Record {
        offset: record.offset,
        key: record.key.clone(),
        value: record.value.as_deref().map(Bytes::copy_from_slice),
    }
}

impl Recent {
    /// Clears the cache. Records before `from` may be missing from now on.
    pub fn reset(&mut self, from: Offset) {
        self.from = from;
        self.records.clear();
    }

    /// Adds a record that changed a view of `keys` keys.
    pub fn push(&mut self, record: &Record, keys: usize) {
        let most = MIN_RECORDS.max(keys.saturating_mul(RECORDS_PER_KEY));
        if size(record) > MAX_DATAGRAM_RECORD {
            self.evict_large(&record.key);
        } else if self.records.len() >= most
            && let Some(oldest) = self.records.pop_front()
        {
            self.from = oldest.offset.next();
        }
        self.records.push_back(copy(record));
    }

    /// Evicts the cached large record before a newer one is added: a small VM's memory has room for one
    /// only. If the newer one has the same key, no VM needs the older one. Otherwise all records before the
    /// evicted one are of no use and are evicted as well.
    fn evict_large(&mut self, key: &str) {
        let large = |record: &Record| size(record) > MAX_DATAGRAM_RECORD;
        let Some(place) = self.records.iter().position(large) else {
            return;
        };
        let evicted = self.records.remove(place);
        if let Some(other) = evicted.filter(|evicted| evicted.key != key) {
            self.from = other.offset.next();
            let from = self.from;
            self.records.retain(|record| record.offset >= from);
        }
    }

    /// The records from `from` on; none if one of them is not cached.
    #[must_use]
    pub fn records_from(&self, from: Offset) -> Option<Vec<Record>> {
        let records = self.records.iter().filter(|r| r.offset >= from);
        (from >= self.from).then(|| records.cloned().collect())
    }

    /// The records from `from` on, in chunks that fit a datagram each; none if one of them is not cached or
    /// too large for a datagram.
    #[must_use]
    pub fn chunks_from(&self, from: Offset) -> Option<Vec<Vec<Record>>> {
        let records = self.records_from(from)?;
        if records
            .iter()
            .any(|record| size(record) > MAX_DATAGRAM_RECORD)
        {
            return None;
        }
        let mut chunks: Vec<Vec<Record>> = Vec::new();
        let mut filled = MAX_CHUNK;
        for record in records {
            let bytes = size(&record);
            if filled + bytes > MAX_CHUNK {
                chunks.push(Vec::new());
                filled = 0;
            }
            filled += bytes;
            if let Some(chunk) = chunks.last_mut() {
                chunk.push(record);
            }
        }
        Some(chunks)
    }
}
