//! Home regions: where the requests of a route or of a customer may run.
//!
//! A request goes from the VM that its caller connected to straight to an endpoint. VMs tell each other
//! hashes and lengths of prompts, never bodies, so that the choice of the endpoint is all there is to keep.

use compact_str::CompactString;
use pimento_units::id;

/// The zones that home regions allow, sorted; none if they allow all. `zones` are all zones with their
/// regions, sorted by zone. Where both a route and a customer have home regions, both apply.
#[must_use]
pub fn allowed_zones(
    zones: &[(id::Zone, String)],
    route: &[CompactString],
    customer: &[CompactString],
) -> Option<Vec<id::Zone>> {
    if route.is_empty() && customer.is_empty() {
        return None;
    }
    let allows = |homes: &[CompactString], region: &str| {
        homes.is_empty() || homes.iter().any(|home| home == region)
    };
    let allowed = zones
        .iter()
        .filter(|(_, region)| allows(route, region) && allows(customer, region));
    Some(allowed.map(|(zone, _)| zone.clone()).collect())
}
