//! What nodes pass on to each other with their heartbeats.

/// The most gossip of a kind kept. At 120 VMs replaced a day departures of more than a month fit; an
/// endpoint that left longer ago is on no list any more.
const MAX: usize = 4_096;

/// Facts that are true for good once they are, such as that one life of an endpoint is leaving.
///
/// A rumour is never taken back: the platform's list lags, and an older copy of it that still shows
/// an endpoint as live would otherwise bring it back into use while it shuts down.
#[derive(Debug)]
pub struct Gossip<T> {
    /// Sorted.
    known: Vec<Known<T>>,
    added: u64,
}

#[derive(Debug)]
struct Known<T> {
    rumour: T,
    sent: u32,
    order: u64,
}

impl<T> Default for Gossip<T> {
    fn default() -> Self {
        Self {
            known: Vec::new(),
            added: 0,
        }
    }
}

impl<T: Ord + Clone> Gossip<T> {
    /// Adds a rumour; false if it was known.
    pub fn add(&mut self, rumour: T) -> bool {
        let Err(at) = self.place(&rumour) else {
            return false;
        };
        if self.known.len() == MAX {
            self.forget();
            return self.add(rumour);
        }
        self.added += 1;
        let known = Known {
            rumour,
            sent: 0,
            order: self.added,
        };
        self.known.insert(at, known);
        true
    }

    /// Adds what a peer passes on.
    pub fn learn(&mut self, gossip: impl IntoIterator<Item = T>) {
        for rumour in gossip {
            self.add(rumour);
        }
    }

    /// Whether it is known.
    #[must_use]
    pub fn contains(&self, rumour: &T) -> bool {
        self.place(rumour).is_ok()
    }

    /// All, sorted.
    #[must_use]
    pub fn all(&self) -> Vec<T> {
        self.known.iter().map(|k| k.rumour.clone()).collect()
    }

    /// Those that were added after so many, and how many there are by now.
    #[must_use]
    pub fn since(&self, added: u64) -> (Vec<T>, u64) {
        let fresh = self.known.iter().filter(|k| k.order > added);
        (fresh.map(|k| k.rumour.clone()).collect(), self.added)
    }

    /// At most `max` to send: those sent least often, the newest first among them, so that a burst
    /// gets through in turn.
    pub fn pick(&mut self, max: usize) -> Vec<T> {
        let mut order: Vec<usize> = (0..self.known.len()).collect();
        order.sort_by_key(|at| (self.known[*at].sent, u64::MAX - self.known[*at].order));
        order.truncate(max);
        order
            .into_iter()
            .map(|at| {
                self.known[at].sent += 1;
                self.known[at].rumour.clone()
            })
            .collect()
    }

    fn place(&self, rumour: &T) -> Result<usize, usize> {
        self.known.binary_search_by(|k| k.rumour.cmp(rumour))
    }

    fn forget(&mut self) {
        let oldest = self.known.iter().map(|k| k.order).min();
        self.known.retain(|k| Some(k.order) != oldest);
    }
}
