//! What the leader of a group passes on between its group and the leaders of the others.

use super::limit::Limit;
use crate::rollouts::announcement::NodeAnnouncement;

/// The most limits of endpoints that wait to be passed on. They are repeated, so that later ones follow.
const MAX_LIMITS: usize = 256;

/// What waits to be passed on: the newest of each kind.
#[derive(Debug, Default)]
pub struct Relayed {
    announcements: Vec<NodeAnnouncement>,
    limits: Vec<Limit>,
}

impl Relayed {
    /// Adds an announcement about a roll-out, in place of an earlier one of the same VM.
    pub fn add_announcement(&mut self, announcement: NodeAnnouncement) {
        let same = |known: &NodeAnnouncement| {
            known.node == announcement.node
                && known.announcement.pool == announcement.announcement.pool
        };
        match self.announcements.iter_mut().find(|known| same(known)) {
            Some(known) => *known = announcement,
            None => self.announcements.push(announcement),
        }
    }

    /// Adds an endpoint's limit, in place of an earlier one of the same endpoint and kind.
    pub fn add_limit(&mut self, limit: Limit) {
        match self.limits.iter().position(|known| limit.replaces(known)) {
            Some(place) => self.limits[place] = limit,
            None if self.limits.len() < MAX_LIMITS => self.limits.push(limit),
            None => {}
        }
    }

    /// Takes all of it.
    pub fn take(&mut self) -> (Vec<NodeAnnouncement>, Vec<Limit>) {
        let announcements = std::mem::take(&mut self.announcements);
        (announcements, std::mem::take(&mut self.limits))
    }
}
