//! What a job requires of its endpoint.

use pimento_units::id;

use crate::endpoint_state::Member;

/// What a job requires of its endpoint. Jobs with the same requirement share a queue.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Requirement {
    /// The version that it must hold; `None` if any will do.
    pub version: Option<id::Version>,
    /// The zones that it may be in, sorted; `None` if any will do.
    pub zones: Option<Vec<id::Zone>>,
}

impl Requirement {
    /// Returns the requirement of a version, in any zone.
    #[must_use]
    pub const fn version(version: Option<id::Version>) -> Self {
        Self {
            version,
            zones: None,
        }
    }

    /// Returns whether an endpoint in this zone may run the job.
    #[must_use]
    pub fn allows_zone(&self, zone: &id::Zone) -> bool {
        let zones = self.zones.as_ref();
        zones.is_none_or(|zones| zones.binary_search(zone).is_ok())
    }

    /// Returns whether an endpoint may run the job.
    pub(crate) fn is_met_by(&self, member: &Member) -> bool {
        member.holds(self.version.as_ref()) && self.allows_zone(&member.zone)
    }
}
