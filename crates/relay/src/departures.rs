//! Endpoints that said in their responses that they leave.
//!
//! What an endpoint says itself goes before what the log lists: its registration may be late, or the log
//! out of reach. A departure belongs to one life of an endpoint, so that its next one is used at once.

use std::cmp::Reverse;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_units::Moment;

use crate::incarnation::Incarnation;

/// How long a departure is remembered: longer than any endpoint takes to leave. One that stays after all is
/// used again then.
const MEMORY: Duration = Duration::from_mins(10);

/// The most departures that are remembered.
const MAX_DEPARTURES: usize = 4_096;

/// How long a departure is told to other VMs. Datagrams may be lost, and follow each other several times a
/// second.
const TELLING: Duration = Duration::from_secs(2);

/// The most departures that are told at a time: they go in every datagram.
const MAX_TOLD: usize = 32;

/// A departure that is remembered.
#[derive(Debug, Clone, Copy)]
struct Known {
    departure: Incarnation,
    since: Moment,
}

/// The departures that are known.
#[derive(Debug, Default)]
pub struct Departures {
    /// Sorted by departure.
    known: Mutex<Vec<Known>>,
}

impl Departures {
    fn lock(&self) -> MutexGuard<'_, Vec<Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a departure. Returns whether it is new.
    pub fn record(&self, departure: Incarnation, now: Moment) -> bool {
        let mut known = self.lock();
        known.retain(|known| now.since(known.since) < MEMORY);
        let place = known.binary_search_by(|known| known.departure.cmp(&departure));
        let Err(place) = place else {
            return false;
        };
        if known.len() >= MAX_DEPARTURES {
            log::warn!("departures: Too many endpoints leave; one is not remembered.");
            return false;
        }
        let since = now;
        known.insert(place, Known { departure, since });
        true
    }

    /// Whether an endpoint has said that it leaves.
    #[must_use]
    pub fn contains(&self, departure: Incarnation, now: Moment) -> bool {
        let known = self.lock();
        let found = known.binary_search_by(|known| known.departure.cmp(&departure));
        found.is_ok_and(|place| now.since(known[place].since) < MEMORY)
    }

    /// The departures to tell other VMs now: the latest if there are many.
    #[must_use]
    pub fn to_tell(&self, now: Moment) -> Vec<Incarnation> {
        let known = self.lock();
        let recent = known
            .iter()
            .filter(|known| now.since(known.since) < TELLING);
        let mut recent: Vec<Known> = recent.copied().collect();
        recent.sort_unstable_by_key(|known| Reverse(known.since));
        recent.truncate(MAX_TOLD);
        recent.iter().map(|known| known.departure).collect()
    }
}
