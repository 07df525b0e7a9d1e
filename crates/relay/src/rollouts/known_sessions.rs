//! Which of the sessions in the trial's share have used which version, at any VM.

use std::time::Duration;

use pimento_policy::shift::Side;
use pimento_units::Moment;

use crate::outbox::Outbox;

/// How often each session is told. Datagrams are lost, each on its own.
const REPEATS: u32 = 4;

/// Time between two times that a session is told.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);

/// A session in the trial's share, and the version that it used first since the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sighting {
    /// The session.
    pub session: u64,
    /// The version.
    pub side: Side,
}

/// Who told of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// This VM saw it.
    Own,
    /// A VM of its group, which tells all others of the group itself.
    Group,
    /// A VM of another group or zone, which told only this one.
    Remote,
}

/// The sessions in the trial's share of one roll-out.
#[derive(Debug)]
pub struct KnownSessions {
    /// Those that used the old version first and stay there until the share rises. Sorted.
    pinned: Vec<u64>,
    /// Those that use the new version. Sorted.
    joined: Vec<u64>,
    /// Whether another VM has told this one all sessions that it knew.
    pub complete: bool,
    for_group: Outbox<Sighting>,
    for_remote: Outbox<Sighting>,
}

impl Default for KnownSessions {
    fn default() -> Self {
        Self {
            pinned: Vec::new(),
            joined: Vec::new(),
            complete: false,
            for_group: Outbox::new(REPEAT_INTERVAL),
            for_remote: Outbox::new(REPEAT_INTERVAL),
        }
    }
}

/// Sessions of both versions as sightings.
pub fn sightings(pinned: &[u64], joined: &[u64]) -> impl Iterator<Item = Sighting> {
    let sighting = |side| {
        move |session: &u64| Sighting {
            session: *session,
            side,
        }
    };
    let pinned = pinned.iter().map(sighting(Side::Old));
    pinned.chain(joined.iter().map(sighting(Side::New)))
}

impl KnownSessions {
    /// The version that a session uses; none if it is not known.
    #[must_use]
    pub fn side(&self, session: u64) -> Option<Side> {
        // Two VMs may see a session first at the same moment. All sessions end up on the new version.
        if self.joined.binary_search(&session).is_ok() {
            return Some(Side::New);
        }
        let pinned = self.pinned.binary_search(&session).is_ok();
        pinned.then_some(Side::Old)
    }

    /// The number of those on the old version.
    #[must_use]
    pub const fn pinned(&self) -> usize {
        self.pinned.len()
    }

    /// Records a session, which is then told to those who need to hear of it from this VM. Returns whether it is
    /// new to this VM.
    pub fn add(&mut self, sighting: Sighting, source: Source) -> bool {
        let known = match sighting.side {
            Side::Old => &mut self.pinned,
            Side::New => &mut self.joined,
        };
        let Err(place) = known.binary_search(&sighting.session) else {
            return false;
        };
        known.insert(place, sighting.session);
        if source != Source::Group {
            self.for_group.add(sighting, REPEATS, Moment::ZERO);
        }
        if source == Source::Own {
            self.for_remote.add(sighting, REPEATS, Moment::ZERO);
        }
        true
    }

    /// The sessions to tell to the group now.
    pub fn take_for_group(&mut self, now: Moment) -> Vec<Sighting> {
        self.for_group.take_due(now)
    }

    /// The sessions to tell to other groups and zones now.
    pub fn take_for_remote(&mut self, now: Moment) -> Vec<Sighting> {
        self.for_remote.take_due(now)
    }

    /// All of them.
    #[must_use]
    pub fn all(&self) -> Vec<Sighting> {
        sightings(&self.pinned, &self.joined).collect()
    }
}
