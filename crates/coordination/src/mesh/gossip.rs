//! Facts that nodes spread with their heartbeats.

/// The largest number of facts of one kind. With 120 VMs replaced a day, the departures of more than a
/// month fit. An endpoint that left longer ago is not listed any more.
const MAX_FACTS: usize = 4_096;

/// Facts that nodes only add, such as that one incarnation of an endpoint is leaving.
///
/// No node withdraws a fact; only the oldest are removed, at the bound. The platform's list lags: an
/// older copy of it that still shows an endpoint as live would otherwise bring the endpoint back into
/// use while it shuts down.
#[derive(Debug)]
pub struct Gossip<T> {
    /// Sorted by fact.
    entries: Vec<Entry<T>>,
    added: u64,
}

#[derive(Debug)]
struct Entry<T> {
    fact: T,
    times_sent: u32,
    order: u64,
}

impl<T> Default for Gossip<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            added: 0,
        }
    }
}

impl<T: Ord + Clone> Gossip<T> {
    /// Adds a fact; false if it was known.
    pub fn add(&mut self, fact: T) -> bool {
        let Err(at) = self.find(&fact) else {
            return false;
        };
        if self.entries.len() == MAX_FACTS {
            self.remove_oldest();
            return self.add(fact);
        }
        self.added += 1;
        let entry = Entry {
            fact,
            times_sent: 0,
            order: self.added,
        };
        self.entries.insert(at, entry);
        true
    }

    /// Adds the facts that a peer sent.
    pub fn merge(&mut self, facts: impl IntoIterator<Item = T>) {
        for fact in facts {
            self.add(fact);
        }
    }

    /// Whether a fact is known.
    #[must_use]
    pub fn contains(&self, fact: &T) -> bool {
        self.find(fact).is_ok()
    }

    /// All facts, sorted.
    #[must_use]
    pub fn all(&self) -> Vec<T> {
        self.entries
            .iter()
            .map(|entry| entry.fact.clone())
            .collect()
    }

    /// The facts added after the first `added` ones, and the number added so far.
    #[must_use]
    pub fn added_after(&self, added: u64) -> (Vec<T>, u64) {
        let newer = self.entries.iter().filter(|entry| entry.order > added);
        (newer.map(|entry| entry.fact.clone()).collect(), self.added)
    }

    /// Selects at most `max` facts to send: those sent least often, and among them the newest first, so
    /// that all facts of a burst are sent in turn.
    pub fn select(&mut self, max: usize) -> Vec<T> {
        let mut order: Vec<usize> = (0..self.entries.len()).collect();
        order.sort_by_key(|at| {
            (
                self.entries[*at].times_sent,
                u64::MAX - self.entries[*at].order,
            )
        });
        order.truncate(max);
        order
            .into_iter()
            .map(|at| {
                self.entries[at].times_sent += 1;
                self.entries[at].fact.clone()
            })
            .collect()
    }

    fn find(&self, fact: &T) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.fact.cmp(fact))
    }

    fn remove_oldest(&mut self) {
        let oldest = self.entries.iter().map(|entry| entry.order).min();
        self.entries.retain(|entry| Some(entry.order) != oldest);
    }
}
