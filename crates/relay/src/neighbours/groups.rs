//! Division of a zone's VMs into groups, so that what a VM sends does not grow with the zone.
//!
//! The VMs of a group send to each other, and the best of them, its leader, also to the leaders of the other
//! groups. The groups are equal ranges of the hashes of the VMs' names. VMs that know different numbers of
//! others may divide the zone differently for a moment; the finer division wins as soon as they hear of each
//! other, and until then some of them only hear from fewer VMs.

use pimento_policy::choice;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

/// The most VMs of a group on average. A VM that sends to so many every 600 ms sends 80 datagrams a second.
const MAX_GROUP: usize = 48;

/// The highest level, so that a group always has a place in [`GroupId`].
const MAX_LEVEL: u8 = 16;

/// How finely a zone is divided: into two to the power of this many groups.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Level(u8);

/// A group of a zone at some level.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(u32);

impl Level {
    /// The coarsest division of a zone of `vms` VMs into groups that are small enough.
    #[must_use]
    pub fn for_vms(vms: usize) -> Self {
        let fits = |level: &u8| vms >> level <= MAX_GROUP;
        Self((0..MAX_LEVEL).find(fits).unwrap_or(MAX_LEVEL))
    }

    /// Whether the zone has several groups.
    #[must_use]
    pub const fn is_divided(self) -> bool {
        self.0 > 0
    }

    /// The number of groups.
    #[must_use]
    pub const fn groups(self) -> u32 {
        1 << if self.0 < MAX_LEVEL {
            self.0
        } else {
            MAX_LEVEL
        }
    }

    /// The group of the VM with this key, the hash of its name.
    #[must_use]
    pub fn group(self, key: u64) -> GroupId {
        // The key as a fraction of all keys, times the number of groups.
        let group = (u128::from(key) * u128::from(self.groups())) >> u64::BITS;
        GroupId(u32::try_from(group).unwrap_or(u32::MAX))
    }

    /// The group of a VM.
    #[must_use]
    pub fn group_of(self, node: &id::Node) -> GroupId {
        self.group(choice::hash(node.as_str()))
    }

    /// All groups.
    pub fn all(self) -> impl Iterator<Item = GroupId> {
        (0..self.groups()).map(GroupId)
    }
}
