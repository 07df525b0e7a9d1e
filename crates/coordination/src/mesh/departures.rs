//! Endpoints known to be leaving.

use pimento_wire::peer::Departure;

/// The most departures kept. At 120 VMs replaced a day this is more than a month; an endpoint that
/// left longer ago is on no list any more.
const MAX: usize = 4_096;

/// Endpoints known to be leaving, each for one life.
///
/// A departure is never taken back: the platform's list lags, and an older copy of it that still
/// shows the endpoint as live would otherwise bring it back into use while it shuts down.
#[derive(Debug, Default)]
pub struct Departures {
    known: Vec<Known>,
    added: u64,
}

#[derive(Debug)]
struct Known {
    departure: Departure,
    sent: u32,
    order: u64,
}

impl Departures {
    /// Adds a departure; false if it was known.
    pub fn add(&mut self, departure: Departure) -> bool {
        let Err(at) = self.place(&departure) else {
            return false;
        };
        if self.known.len() == MAX {
            self.forget();
            return self.add(departure);
        }
        self.added += 1;
        let known = Known {
            departure,
            sent: 0,
            order: self.added,
        };
        self.known.insert(at, known);
        true
    }

    /// Whether this life of the endpoint is known to be leaving.
    #[must_use]
    pub fn contains(&self, departure: &Departure) -> bool {
        self.place(departure).is_ok()
    }

    /// All, sorted.
    #[must_use]
    pub fn all(&self) -> Vec<Departure> {
        self.known.iter().map(|k| k.departure.clone()).collect()
    }

    /// At most `max` to send: those sent least often, the newest first among them, so that a burst
    /// of departures gets through in turn.
    pub fn pick(&mut self, max: usize) -> Vec<Departure> {
        let mut order: Vec<usize> = (0..self.known.len()).collect();
        order.sort_by_key(|at| (self.known[*at].sent, u64::MAX - self.known[*at].order));
        order.truncate(max);
        order
            .into_iter()
            .map(|at| {
                self.known[at].sent += 1;
                self.known[at].departure.clone()
            })
            .collect()
    }

    fn place(&self, departure: &Departure) -> Result<usize, usize> {
        self.known.binary_search_by(|k| k.departure.cmp(departure))
    }

    fn forget(&mut self) {
        let oldest = self.known.iter().map(|k| k.order).min();
        self.known.retain(|k| Some(k.order) != oldest);
    }
}
