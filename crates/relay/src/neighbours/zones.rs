//! What is known of the other zones: how many VMs they have, and how to reach some of them.

use std::net::SocketAddr;

use pimento_units::id;

use super::message::ZoneSummary;

/// The most VMs of another zone that are named to others.
pub const MAX_CONTACTS: usize = 4;

/// The other zones, sorted by name.
#[derive(Debug, Default)]
pub struct Zones {
    known: Vec<ZoneSummary>,
}

impl Zones {
    /// Adds what is known of a zone. The larger number of VMs counts, since a VM that starts knows only some of
    /// its zone, and too small a number would let each VM retry more than its share.
    pub fn merge(&mut self, zone: &id::Zone, vms: u32, contacts: &[(id::Node, SocketAddr)]) {
        let place = self.known.binary_search_by(|known| known.zone.cmp(zone));
        let place = place.unwrap_or_else(|place| {
            let unknown = ZoneSummary {
                zone: zone.clone(),
                vms: 0,
                contacts: Vec::new(),
            };
            self.known.insert(place, unknown);
            place
        });
        let known = &mut self.known[place];
        known.vms = known.vms.max(vms);
        for contact in contacts {
            if known.contacts.len() < MAX_CONTACTS && !known.contacts.contains(contact) {
                known.contacts.push(contact.clone());
            }
        }
    }

    /// The zones about which something is known.
    #[must_use]
    pub fn known(&self) -> &[ZoneSummary] {
        &self.known
    }

    /// The number of VMs of all zones, of which `own` has `own_vms`. Zones of which nothing is known count as
    /// large as the own one.
    #[must_use]
    pub fn total<'a>(
        &self,
        zones: impl IntoIterator<Item = &'a id::Zone>,
        own: &id::Zone,
        own_vms: usize,
    ) -> usize {
        let vms = |zone: &id::Zone| {
            let known = self.known.binary_search_by(|k| k.zone.cmp(zone)).ok();
            let known = known
                .map(|place| self.known[place].vms)
                .filter(|vms| *vms > 0);
            known.map_or(own_vms, |vms| usize::try_from(vms).unwrap_or(usize::MAX))
        };
        let others = zones.into_iter().filter(|zone| *zone != own).map(vms);
        others.fold(own_vms, usize::saturating_add)
    }
}
