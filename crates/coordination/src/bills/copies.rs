//! Copies of bills held for peers.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_ledger::Bill;
use pimento_units::id;
use tokio::time::Instant;

/// Copies, bounded in number and sorted by request and writer.
#[derive(Debug)]
pub struct Copies {
    capacity: usize,
    entries: Mutex<Vec<Entry>>,
}

#[derive(Debug)]
struct Entry {
    request: id::Request,
    node: id::Node,
    text: String,
    since: Instant,
}

/// A copy to be appended.
#[derive(Debug)]
pub struct Held {
    /// The request billed.
    pub request: id::Request,
    /// Whose bill.
    pub node: id::Node,
    /// The bill as JSON text.
    pub text: String,
}

impl Copies {
    /// Room for `capacity` copies.
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: Mutex::new(Vec::new()),
        }
    }

    /// Takes copies, all or none; refuses when full and what is not a bill.
    pub fn insert(&self, node: &id::Node, bills: Vec<String>) -> bool {
        let mut requests = Vec::with_capacity(bills.len());
        for bill in &bills {
            let Ok(bill) = serde_json::from_str::<Bill>(bill) else {
                return false;
            };
            requests.push(bill.request);
        }
        let mut entries = self.entries();
        if entries.len() + bills.len() > self.capacity {
            return false;
        }
        let since = Instant::now();
        for (request, text) in requests.into_iter().zip(bills) {
            let place = entries.binary_search_by(|e| (e.request, &e.node).cmp(&(request, node)));
            // A repeated call brings the same bill.
            if let Err(place) = place {
                let node = node.clone();
                entries.insert(
                    place,
                    Entry {
                        request,
                        node,
                        text,
                        since,
                    },
                );
            }
        }
        true
    }

    /// Drops copies of one writer. Another writer's bill of the same request is not known to be on
    /// the log.
    pub fn remove(&self, node: &id::Node, requests: &[id::Request]) {
        let mut sorted = requests.to_vec();
        sorted.sort_unstable();
        self.entries()
            .retain(|entry| &entry.node != node || sorted.binary_search(&entry.request).is_err());
    }

    /// Drops copies that were appended here.
    pub fn remove_all(&self, copies: &[Held]) {
        let mut entries = self.entries();
        for copy in copies {
            let place =
                entries.binary_search_by(|e| (e.request, &e.node).cmp(&(copy.request, &copy.node)));
            if let Ok(place) = place {
                entries.remove(place);
            }
        }
    }

    /// Copies held longer than `age`, or whose writer is not among `live`, at most `most`.
    pub fn due(&self, age: Duration, live: &[id::Node], most: usize) -> Vec<Held> {
        self.entries()
            .iter()
            .filter(|entry| entry.since.elapsed() >= age || !live.contains(&entry.node))
            .take(most)
            .map(|entry| Held {
                request: entry.request,
                node: entry.node.clone(),
                text: entry.text.clone(),
            })
            .collect()
    }

    /// Copies held.
    pub fn len(&self) -> usize {
        self.entries().len()
    }

    fn entries(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
