//! The VMs that share the limits and the cold starts of endpoints.

use pimento_policy::brittle;
use pimento_policy::choice;
use pimento_policy::cold;
use pimento_policy::throttle;
use pimento_policy::throttle::RateLimit;
use pimento_units::id;

/// The VMs of all zones, each by a hash of its name. The VMs of an endpoint's own zone share its limit, and
/// its calls while it is cold: they send most of its calls, and learn of each other within a second.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Participants {
    /// Hash of this VM's name.
    own: u64,
    /// The VMs of each zone, both sorted.
    zones: Vec<(id::Zone, Vec<u64>)>,
}

impl Participants {
    /// Creates the list from this VM and the VMs of each zone, including this one. Zones without VMs are
    /// dropped.
    #[must_use]
    pub fn new(own: u64, mut zones: Vec<(id::Zone, Vec<u64>)>) -> Self {
        zones.retain(|(_, vms)| !vms.is_empty());
        zones.sort();
        for (_, vms) in &mut zones {
            vms.sort_unstable();
        }
        Self { own, zones }
    }

    /// Returns the VMs that share an endpoint's limit: those of its zone or, if that has none, those of one
    /// other zone.
    fn of(&self, zone: &id::Zone, endpoint: u64) -> &[u64] {
        if let Ok(index) = self.zones.binary_search_by(|(known, _)| known.cmp(zone)) {
            return &self.zones[index].1;
        }
        let weight = |zone: &id::Zone| choice::hash(zone.as_str()) ^ endpoint;
        let other = self.zones.iter().max_by_key(|(zone, _)| weight(zone));
        other.map_or(&[], |(_, vms)| vms)
    }

    /// Returns the hash of this VM's name.
    pub(crate) const fn own(&self) -> u64 {
        self.own
    }

    /// Returns a VM's share of an endpoint's limit, in requests per second.
    pub(crate) fn share(&self, vm: u64, limit: RateLimit, zone: &id::Zone, endpoint: u64) -> f64 {
        throttle::share(limit, endpoint, vm, self.of(zone, endpoint))
    }

    /// Returns this VM's share of a brittle endpoint. VMs of zones other than these, which have endpoints of
    /// the service, share all endpoints, or they could serve nobody.
    pub(crate) fn brittle_share(
        &self,
        capacity: brittle::Capacity,
        zone: &id::Zone,
        endpoint: u64,
        with_endpoints: &[id::Zone],
    ) -> brittle::Share {
        let mut vms = self.of(zone, endpoint).to_vec();
        for (other, others) in &self.zones {
            if other != zone && with_endpoints.binary_search(other).is_err() {
                vms.extend(others);
            }
        }
        brittle::Share::new(capacity, endpoint, self.own, &vms)
    }

    /// Returns a VM's share of the calls to a cold endpoint, in calls per second.
    pub(crate) fn cold_share(
        &self,
        vm: u64,
        bound: cold::Bound,
        zone: &id::Zone,
        endpoint: u64,
    ) -> f64 {
        cold::share(bound, endpoint, vm, self.of(zone, endpoint))
    }
}
