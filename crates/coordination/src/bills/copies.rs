//! Bill copies held for peers.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_ledger::Bill;
use pimento_units::id;
use tokio::time::Instant;

/// A bounded table of bill copies, sorted by request and writer.
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
pub struct Due {
    /// The request billed.
    pub request: id::Request,
    /// The node that wrote the bill.
    pub node: id::Node,
    /// The bill as JSON text.
    pub text: String,
}

impl Copies {
    /// An empty table with room for `capacity` copies.
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: Mutex::new(Vec::new()),
        }
    }

    /// Inserts copies, all or none. Returns false if there is no room or if one is not a bill.
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
            // A repeated call carries the same bill.
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

    /// Removes copies of one writer. Another writer's bill for the same request may not be on the
    /// log yet, so its copy stays.
    pub fn remove(&self, node: &id::Node, requests: &[id::Request]) {
        let mut sorted = requests.to_vec();
        sorted.sort_unstable();
        self.entries()
            .retain(|entry| &entry.node != node || sorted.binary_search(&entry.request).is_err());
    }

    /// Removes copies that this node has appended.
    pub fn remove_all(&self, copies: &[Due]) {
        let mut entries = self.entries();
        for copy in copies {
            let place =
                entries.binary_search_by(|e| (e.request, &e.node).cmp(&(copy.request, &copy.node)));
            if let Ok(place) = place {
                entries.remove(place);
            }
        }
    }

    /// At most `limit` copies that are at least `age` old or whose writer is not among `live`.
    pub fn due(&self, age: Duration, live: &[id::Node], limit: usize) -> Vec<Due> {
        self.entries()
            .iter()
            .filter(|entry| entry.since.elapsed() >= age || !live.contains(&entry.node))
            .take(limit)
            .map(|entry| Due {
                request: entry.request,
                node: entry.node.clone(),
                text: entry.text.clone(),
            })
            .collect()
    }

    /// The number of copies.
    pub fn len(&self) -> usize {
        self.entries().len()
    }

    fn entries(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
