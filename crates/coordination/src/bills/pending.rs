//! Bills of this node that are not yet on the log.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use pimento_ledger::Bill;
use pimento_units::id;
use tokio::sync::OwnedSemaphorePermit;

/// The sequence number of a bill in this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Number(u64);

/// Bills of this node, sorted by number.
#[derive(Debug, Default)]
pub struct Pending(Mutex<Table>);

#[derive(Debug, Default)]
struct Table {
    next: u64,
    entries: Vec<Entry>,
}

#[derive(Debug)]
struct Entry {
    number: Number,
    request: id::Request,
    text: String,
    /// The most recent peer that confirmed a copy. A bill without one must not be appended in the
    /// background: it may still be dropped, since its caller has not got the last byte.
    holder: Option<id::Node>,
    _permit: OwnedSemaphorePermit,
}

/// A bill to be copied or appended.
#[derive(Debug, Clone)]
pub struct Item {
    /// Sequence number.
    pub number: Number,
    /// The request billed.
    pub request: id::Request,
    /// The bill as JSON text.
    pub text: String,
    /// The peer that holds a copy.
    pub holder: Option<id::Node>,
}

impl Pending {
    /// Inserts a bill; none if it cannot be encoded.
    pub fn insert(&self, bill: &Bill, permit: OwnedSemaphorePermit) -> Option<Number> {
        let text = serde_json::to_string(bill).ok()?;
        let mut table = self.table();
        let number = Number(table.next);
        table.next += 1;
        table.entries.push(Entry {
            number,
            request: bill.request,
            text,
            holder: None,
            _permit: permit,
        });
        Some(number)
    }

    /// Removes a bill.
    pub fn remove(&self, number: Number) {
        let mut table = self.table();
        if let Ok(position) = table.position(number) {
            table.entries.remove(position);
        }
    }

    /// Removes bills that are on the log. `numbers` must be sorted.
    pub fn remove_all(&self, numbers: &[Number]) {
        let mut table = self.table();
        table
            .entries
            .retain(|entry| numbers.binary_search(&entry.number).is_err());
    }

    /// Records the holder of copies.
    pub fn set_holder(&self, numbers: &[Number], holder: &id::Node) {
        let mut table = self.table();
        for number in numbers {
            if let Ok(position) = table.position(*number) {
                table.entries[position].holder = Some(holder.clone());
            }
        }
    }

    /// Those of `numbers` that are still pending.
    pub fn items(&self, numbers: &[Number]) -> Vec<Item> {
        let table = self.table();
        numbers
            .iter()
            .filter_map(|number| table.position(*number).ok())
            .map(|position| table.entries[position].item())
            .collect()
    }

    /// The oldest bills that have had a second holder, at most `limit`.
    pub fn oldest_copied(&self, limit: usize) -> Vec<Item> {
        self.table()
            .entries
            .iter()
            .filter(|entry| entry.holder.is_some())
            .take(limit)
            .map(Entry::item)
            .collect()
    }

    /// At most `limit` bills whose second holder is not among `live`.
    pub fn orphans(&self, live: &[id::Node], limit: usize) -> Vec<Number> {
        let gone = |holder: &id::Node| !live.contains(holder);
        let orphan = |entry: &&Entry| entry.holder.as_ref().is_some_and(gone);
        self.table()
            .entries
            .iter()
            .filter(orphan)
            .map(|entry| entry.number)
            .take(limit)
            .collect()
    }

    /// The number of pending bills.
    pub fn len(&self) -> usize {
        self.table().entries.len()
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    fn position(&self, number: Number) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&number, |entry| entry.number)
    }
}

impl Entry {
    fn item(&self) -> Item {
        Item {
            number: self.number,
            request: self.request,
            text: self.text.clone(),
            holder: self.holder.clone(),
        }
    }
}
