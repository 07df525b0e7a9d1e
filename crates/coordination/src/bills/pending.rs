//! Own bills that are not yet on the log.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use pimento_ledger::Bill;
use pimento_units::id;
use tokio::sync::OwnedSemaphorePermit;

/// A bill's number in this process, in the order of insertion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Number(u64);

/// Own bills, sorted by number.
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
    /// Its second holder, the last one if it had several. A bill that never had one may still be
    /// dropped, since its caller has not got the last byte, and must not be appended behind the
    /// caller's back.
    holder: Option<id::Node>,
    _room: OwnedSemaphorePermit,
}

/// A bill to be sent.
#[derive(Debug, Clone)]
pub struct Item {
    /// Its number.
    pub number: Number,
    /// The request billed.
    pub request: id::Request,
    /// The bill as JSON text.
    pub text: String,
    /// The peer that holds a copy.
    pub holder: Option<id::Node>,
}

impl Pending {
    /// Adds a bill; none if it can't be written as text.
    pub fn insert(&self, bill: &Bill, room: OwnedSemaphorePermit) -> Option<Number> {
        let text = serde_json::to_string(bill).ok()?;
        let mut table = self.table();
        let number = Number(table.next);
        table.next += 1;
        table.entries.push(Entry {
            number,
            request: bill.request,
            text,
            holder: None,
            _room: room,
        });
        Some(number)
    }

    /// Removes a bill.
    pub fn remove(&self, number: Number) {
        let mut table = self.table();
        if let Ok(place) = table.place(number) {
            table.entries.remove(place);
        }
    }

    /// Removes bills that are on the log. Both are sorted, and most often the oldest go.
    pub fn remove_all(&self, numbers: &[Number]) {
        let mut table = self.table();
        table
            .entries
            .retain(|entry| numbers.binary_search(&entry.number).is_err());
    }

    /// Notes who holds copies.
    pub fn held(&self, numbers: &[Number], holder: &id::Node) {
        let mut table = self.table();
        for number in numbers {
            if let Ok(place) = table.place(*number) {
                table.entries[place].holder = Some(holder.clone());
            }
        }
    }

    /// Those of `numbers` that still wait.
    pub fn items(&self, numbers: &[Number]) -> Vec<Item> {
        let table = self.table();
        numbers
            .iter()
            .filter_map(|number| table.place(*number).ok())
            .map(|place| table.entries[place].item())
            .collect()
    }

    /// The oldest bills that had a second holder, at most `most`.
    pub fn oldest(&self, most: usize) -> Vec<Item> {
        self.table()
            .entries
            .iter()
            .filter(|entry| entry.holder.is_some())
            .take(most)
            .map(Entry::item)
            .collect()
    }

    /// Bills whose second holder is not among `live`, at most `most`.
    pub fn orphans(&self, live: &[id::Node], most: usize) -> Vec<Number> {
        let gone = |holder: &id::Node| !live.contains(holder);
        let orphan = |entry: &&Entry| entry.holder.as_ref().is_some_and(gone);
        self.table()
            .entries
            .iter()
            .filter(orphan)
            .map(|entry| entry.number)
            .take(most)
            .collect()
    }

    /// Bills that wait.
    pub fn len(&self) -> usize {
        self.table().entries.len()
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    fn place(&self, number: Number) -> Result<usize, usize> {
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
