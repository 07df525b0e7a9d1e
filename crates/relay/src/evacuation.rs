//! Evacuated zones: operators order that nothing be sent to a zone's endpoints until they take the order
//! back.
//!
//! The VMs of the zone go on serving callers, by the endpoints of other zones. When an evacuation ends, the
//! endpoints of the zone may have become cold without this VM having read so. They count as cold until
//! their registrations must have been read.

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::id;

/// Time after the end of an evacuation for which the zone's endpoints count as cold. An endpoint writes its
/// registration about once a second, and a VM reads it up to a second and a half later.
const ASSUMED_COLD: Duration = Duration::from_secs(3);

/// The evacuations that are in force, and those that ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Evacuated zones, sorted.
    zones: Vec<id::Zone>,
    /// When this VM learned that an evacuation had ended, sorted by zone.
    ended: Vec<(id::Zone, Moment)>,
}

impl Evacuations {
    /// Adds an order. Returns false if it was known.
    pub fn begin(&mut self, zone: id::Zone) -> bool {
        match self.zones.binary_search(&zone) {
            Ok(_) => false,
            Err(index) => {
                self.zones.insert(index, zone);
                true
            }
        }
    }

    /// Removes an order. Returns false if there was none.
    pub fn end(&mut self, zone: &id::Zone, now: Moment) -> bool {
        let Ok(index) = self.zones.binary_search(zone) else {
            return false;
        };
        let zone = self.zones.remove(index);
        match self.ended.binary_search_by(|(known, _)| known.cmp(&zone)) {
            Ok(index) => self.ended[index].1 = now,
            Err(index) => self.ended.insert(index, (zone, now)),
        }
        true
    }

    /// Whether an evacuation of a zone is known to have ended.
    #[must_use]
    pub fn has_ended(&self, zone: &id::Zone) -> bool {
        let found = self.ended.binary_search_by(|(known, _)| known.cmp(zone));
        found.is_ok() && !self.contains(zone)
    }

    /// Whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &id::Zone) -> bool {
        self.zones.binary_search(zone).is_ok()
    }

    /// How much longer the endpoints of a zone count as cold; zero if they don't.
    #[must_use]
    pub fn cold_remaining(&self, zone: &id::Zone, now: Moment) -> Duration {
        let found = self.ended.binary_search_by(|(known, _)| known.cmp(zone));
        found.map_or(Duration::ZERO, |index| {
            (self.ended[index].1 + ASSUMED_COLD).since(now)
        })
    }
}
