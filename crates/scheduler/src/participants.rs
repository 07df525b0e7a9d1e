//! The VMs that share what endpoints take.

use pimento_policy::choice;
use pimento_policy::throttle;
use pimento_policy::throttle::Limit;
use pimento_units::id;

/// The VMs of all zones, each by a hash of its name. An endpoint with a limit is shared by the VMs of its
/// own zone: they send it most of what it gets, and hear of each other within a second.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Participants {
    /// This VM.
    own: u64,
    /// Sorted by zone; the VMs of each, sorted.
    zones: Vec<(id::Zone, Vec<u64>)>,
}

impl Participants {
    /// This VM, and the VMs of each zone, this one among them. Zones without VMs are left out.
    #[must_use]
    pub fn new(own: u64, mut zones: Vec<(id::Zone, Vec<u64>)>) -> Self {
        zones.retain(|(_, vms)| !vms.is_empty());
        zones.sort();
        for (_, vms) in &mut zones {
            vms.sort_unstable();
        }
        Self { own, zones }
    }

    /// The VMs that share an endpoint: those of its zone, or of one other zone if it has none.
    fn of(&self, zone: &id::Zone, endpoint: u64) -> &[u64] {
        if let Ok(place) = self.zones.binary_search_by(|(known, _)| known.cmp(zone)) {
            return &self.zones[place].1;
        }
        let weight = |zone: &id::Zone| choice::hash(zone.as_str()) ^ endpoint;
        let other = self.zones.iter().max_by_key(|(zone, _)| weight(zone));
        other.map_or(&[], |(_, vms)| vms)
    }

    /// This VM's part of an endpoint's limit, in requests a second.
    pub(crate) fn share(&self, limit: Limit, zone: &id::Zone, endpoint: u64) -> f64 {
        throttle::share(limit, endpoint, self.own, self.of(zone, endpoint))
    }
}
