//! The announcements that VMs exchange about roll-outs: when each is due, and what is taken from others.

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::id;

use super::Rollouts;
use super::announcement::Announcement;
use super::announcement::NodeAnnouncement;
use super::state::RolloutState;

/// The longest time between announcements of a VM, which show the others that it is alive.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);

/// The shortest time between announcements, for changes such as a failure of the new version.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(700);

/// Time between announcements while the new version gets more requests than in the trial. The whole rise takes a
/// second or two, in which a fault under load shows for the first time.
const RISING_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);

/// What this VM last announced to its zone, and when.
#[derive(Debug, Default)]
pub(super) struct LastAnnounced {
    at: Moment,
    announcements: Vec<Announcement>,
}

impl Rollouts {
    /// Takes in another VM's announcement.
    pub fn receive(&mut self, received: &NodeAnnouncement, now: Moment) {
        let endpoints = self.target_endpoints(&received.announcement.pool);
        if let Some(rollout) = self.get_mut(&received.announcement.pool) {
            rollout.receive(&received.node, &received.announcement, now);
            if rollout.ended().is_none() {
                rollout.detect_regression(endpoints);
            }
        }
        self.put_target_in_place(&received.announcement.pool);
    }

    /// This VM's announcements. `drained` tells whether all requests of this VM to a service are at the
    /// given version.
    #[must_use]
    pub fn announcements(
        &self,
        drained: impl Fn(&id::Pool, &id::Version) -> bool,
        now: Moment,
    ) -> Vec<Announcement> {
        let announced = self
            .newest
            .iter()
            .filter(|rollout| rollout.is_announced(now));
        announced
            .map(|rollout| {
                let drained = drained(&rollout.order.rollout.pool, rollout.target());
                rollout.announcement(self.phase(rollout, now), drained, now)
            })
            .collect()
    }

    /// The same if it is time to send them to the zone; otherwise nothing.
    pub fn due_announcements(
        &mut self,
        drained: impl Fn(&id::Pool, &id::Version) -> bool,
        now: Moment,
    ) -> Vec<Announcement> {
        let since = now.since(self.last_announced.at);
        let announced = |rollout: &RolloutState| rollout.is_announced(now);
        let (least, most) = if self.any_rising(now) {
            (RISING_ANNOUNCE_INTERVAL, RISING_ANNOUNCE_INTERVAL)
        } else {
            (MIN_ANNOUNCE_INTERVAL, ANNOUNCE_INTERVAL)
        };
        if since < least || !self.newest.iter().any(announced) {
            return Vec::new();
        }
        let announcements = self.announcements(drained, now);
        let before = &self.last_announced.announcements;
        if since < most && !announcements_differ(&announcements, before) {
            return Vec::new();
        }
        self.last_announced = LastAnnounced {
            at: now,
            announcements: announcements.clone(),
        };
        announcements
    }

    /// Whether a roll-out has not ended, and its new version gets more requests than in the trial.
    fn is_rising(&self, rollout: &RolloutState, now: Moment) -> bool {
        rollout.is_running() && !self.phase(rollout, now).pins_known_sessions()
    }

    /// Whether any roll-out is in the seconds in which its new version gets more requests than in the trial.
    #[must_use]
    pub fn any_rising(&self, now: Moment) -> bool {
        self.newest.iter().any(|r| self.is_rising(r, now))
    }

    /// The last announcements of the other VMs, to be forwarded.
    #[must_use]
    pub fn received_announcements(&self, now: Moment) -> Vec<NodeAnnouncement> {
        let announced = self
            .newest
            .iter()
            .filter(|rollout| rollout.is_announced(now));
        announced
            .flat_map(|rollout| rollout.received_announcements(now))
            .collect()
    }
}

/// Whether others should soon know of the difference between the announcements.
#[must_use]
pub fn announcements_differ(now: &[Announcement], before: &[Announcement]) -> bool {
    now.len() != before.len()
        || now
            .iter()
            .zip(before)
            .any(|(one, other)| one.is_urgent_after(other))
}
