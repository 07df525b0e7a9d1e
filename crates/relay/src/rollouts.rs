//! Roll-outs under way: which version a request uses, and what was seen of each.
//!
//! The decisions are `pimento_policy::shift`'s; here they get the orders, the ages and the evidence
//! of all VMs. [`controller`] shares the evidence and tells operators of the end.

pub mod announcement;
pub mod controller;
pub mod progress;

use std::time::Duration;

use pimento_policy::rollout;
use pimento_policy::shift;
use pimento_policy::shift::Phase;
use pimento_units::Moment;
use pimento_units::id;
use uuid::Uuid;

use self::announcement::Announcement;
use self::announcement::End;
use self::announcement::Kept;
use self::announcement::Outcome;
use self::announcement::Said;
use self::announcement::Sum;
use self::progress::Hearing;
use self::progress::Progress;
use self::progress::Step;
use crate::config::Exposure;
use crate::operators::RolloutOrder;
use crate::sessions::Sessions;

/// How often a VM announces at least, so that the others know that it lives.
const ANNOUNCE: Duration = Duration::from_secs(2);

/// How soon it announces news, such as a failure of the new version.
const NEWS: Duration = Duration::from_millis(700);

/// Before the deadline operators are told in any case, whoever has not been heard of.
const MARGIN: Duration = Duration::from_secs(2);

/// The versions of a service's endpoints that may be used, with how many there are of each.
#[derive(Debug)]
struct Present {
    pool: id::Pool,
    /// The version in use when no roll-out is under way.
    settled: id::Version,
    /// Sorted by version.
    versions: Vec<(id::Version, usize)>,
}

impl Present {
    fn count(&self, version: &id::Version) -> usize {
        let found = self.versions.binary_search_by(|(v, _)| v.cmp(version));
        found.map_or(0, |place| self.versions[place].1)
    }

    /// The version with the most endpoints beside `target`.
    fn other(&self, target: &id::Version) -> Option<&id::Version> {
        let others = self.versions.iter().filter(|(v, _)| v != target);
        others.max_by_key(|(_, count)| *count).map(|(v, _)| v)
    }
}

/// When this VM last announced, and what.
#[derive(Debug, Default)]
struct Told {
    at: Moment,
    what: Vec<Announcement>,
}

/// All roll-outs, and the sessions' versions.
#[derive(Debug)]
pub struct Rollouts {
    config: shift::Config,
    exposure: Exposure,
    /// The newest of each service, sorted by service.
    newest: Vec<Progress>,
    /// Sorted by service.
    present: Vec<Present>,
    sessions: Sessions,
    /// To the zone.
    told: Told,
}

/// The fixed place of a session among all.
const fn place(session: u64) -> id::Session {
    id::Session(Uuid::from_u64_pair(session, session))
}

/// A request that ended, as evidence.
#[derive(Debug, Clone, Copy)]
pub struct Seen<'a> {
    /// The service.
    pub pool: &'a id::Pool,
    /// The route.
    pub route: &'a str,
    /// The version.
    pub version: &'a id::Version,
    /// The endpoint.
    pub endpoint: &'a id::Endpoint,
    /// How it ended.
    pub outcome: Outcome,
}

impl Rollouts {
    /// None ordered yet.
    #[must_use]
    pub fn new(exposure: Exposure, session: Duration) -> Self {
        Self {
            config: shift::Config::default(),
            exposure,
            newest: Vec::new(),
            present: Vec::new(),
            sessions: Sessions::new(session),
            told: Told::default(),
        }
    }

    fn find(&self, pool: &id::Pool) -> Result<usize, usize> {
        self.newest
            .binary_search_by(|r| r.order.rollout.pool.cmp(pool))
    }

    fn get(&self, pool: &id::Pool) -> Option<&Progress> {
        self.find(pool).ok().map(|place| &self.newest[place])
    }

    fn get_mut(&mut self, pool: &id::Pool) -> Option<&mut Progress> {
        self.find(pool).ok().map(|place| &mut self.newest[place])
    }

    /// Whether endpoints of several versions of a service may be used, so that there is one to choose.
    #[must_use]
    pub fn mixed(&self, pool: &id::Pool) -> bool {
        let present = self.present(pool);
        present.is_some_and(|present| present.versions.len() > 1)
    }

    /// Whether an order was taken.
    #[must_use]
    pub fn knows(&self, order: &RolloutOrder) -> bool {
        let known = self.get(&order.rollout.pool);
        known.is_some_and(|known| known.offset() >= order.offset)
    }

    /// Takes an order; `ended` tells how it ended before this process began.
    pub fn order(&mut self, order: RolloutOrder, ended: Option<End>, now: Moment) {
        let mut progress = Progress::new(order, ended.map(|end| (end, now)));
        if ended.is_none() {
            for session in self.sessions.active(now) {
                if self.tried(session, progress.target()) {
                    progress.keep(session, true);
                }
            }
        }
        match self.find(&progress.order.rollout.pool) {
            Ok(place) => self.newest[place] = progress,
            Err(place) => self.newest.insert(place, progress),
        }
    }

    /// Takes the versions of a service's endpoints that may be used, sorted, with their numbers.
    pub fn see(&mut self, pool: &id::Pool, versions: Vec<(id::Version, usize)>) {
        let most = versions.iter().max_by_key(|(_, count)| *count);
        let Some((most, _)) = most.cloned() else {
            return;
        };
        let place = self.present.binary_search_by(|p| p.pool.cmp(pool));
        let place = place.unwrap_or_else(|place| {
            let present = Present {
                pool: pool.clone(),
                settled: most.clone(),
                versions: Vec::new(),
            };
            self.present.insert(place, present);
            place
        });
        let present = &mut self.present[place];
        present.versions = versions;
        if present.count(&present.settled) == 0 {
            present.settled = most;
        }
    }

    fn present(&self, pool: &id::Pool) -> Option<&Present> {
        let found = self.present.binary_search_by(|p| p.pool.cmp(pool));
        found.ok().map(|place| &self.present[place])
    }

    /// The version that a request uses; none if its service has no endpoints.
    ///
    /// Endpoints of a version that nobody ordered are left alone as long as there are others: their
    /// order may be on its way.
    #[must_use]
    pub fn version(&self, pool: &id::Pool, session: u64, now: Moment) -> Option<id::Version> {
        let present = self.present(pool)?;
        let Some(rollout) = self.get(pool) else {
            return Some(present.settled.clone());
        };
        let target = rollout.target();
        let Some(old) = present.other(target) else {
            return Some(target.clone());
        };
        if present.count(target) == 0 || rollout.is_bad() {
            return Some(old.clone());
        }
        if rollout.ended() == Some(End::Done) {
            return Some(target.clone());
        }
        let phase = self.phase(rollout, now);
        let used = self.sessions.version(session, now);
        if used == Some(target) {
            return Some(target.clone());
        }
        if phase.keeps() && (used.is_some() || rollout.keeps(session)) {
            return Some(old.clone());
        }
        let moves = rollout::moves(place(session), target, phase.weight());
        Some(if moves { target } else { old }.clone())
    }

    /// Endpoints of the version that is moved to.
    fn endpoints(&self, pool: &id::Pool) -> usize {
        let target = self.get(pool).map(Progress::target);
        let present = self.present(pool);
        present.zip(target).map_or(0, |(p, target)| p.count(target))
    }

    /// The version that a service moves to, if it does.
    #[must_use]
    pub fn target(&self, pool: &id::Pool) -> Option<id::Version> {
        self.get(pool).map(|rollout| rollout.target().clone())
    }

    fn phase(&self, rollout: &Progress, now: Moment) -> Phase {
        let lasts = rollout.order.rollout.time_limit;
        self.config
            .phase(rollout.age(now), lasts, self.exposure.share)
    }

    /// Notes that a request of a session is sent to a version of a service, or was answered by it.
    pub fn note(&mut self, pool: &id::Pool, session: u64, version: &id::Version, now: Moment) {
        self.sessions.record(session, version, now);
        let Some(rollout) = self.get(pool).filter(|r| r.ended().is_none()) else {
            return;
        };
        let target = rollout.target();
        let kept = target != version && self.phase(rollout, now).keeps();
        if !kept || !self.tried(session, target) {
            return;
        }
        if let Some(rollout) = self.get_mut(pool) {
            rollout.keep(session, true);
        }
    }

    /// Whether the trial's share would move a session.
    fn tried(&self, session: u64, target: &id::Version) -> bool {
        let share = self.config.share(self.exposure.share);
        rollout::moves(place(session), target, share)
    }

    /// Sessions that used the old version here and that other VMs were not told of yet, each with its
    /// order.
    pub fn untold(&mut self) -> Vec<Kept> {
        let mut untold = Vec::new();
        for rollout in &mut self.newest {
            let order = rollout.offset();
            let sessions = rollout.take_untold().into_iter();
            untold.extend(sessions.map(|session| Kept { order, session }));
        }
        untold
    }

    /// Another VM says that a session used the old version.
    pub fn keep(&mut self, kept: Kept) {
        let order = self.newest.iter_mut().find(|r| r.offset() == kept.order);
        if let Some(rollout) = order {
            rollout.keep(kept.session, false);
        }
    }

    /// Whether a version is known to be bad.
    #[must_use]
    pub fn bad(&self, pool: &id::Pool, version: &id::Version) -> bool {
        let rollout = self.get(pool).filter(|r| r.target() == version);
        rollout.is_some_and(Progress::is_bad)
    }

    /// Counts how a request ended.
    pub fn record(&mut self, seen: &Seen<'_>) {
        let endpoints = self.endpoints(seen.pool);
        let Some(rollout) = self.get_mut(seen.pool) else {
            return;
        };
        if rollout.ended().is_some() {
            return;
        }
        let new = rollout.target() == seen.version;
        rollout.count(seen.route, new, seen.endpoint, seen.outcome);
        if new {
            rollout.judge(endpoints);
        }
    }

    /// Services with a roll-out under way.
    #[must_use]
    pub fn running(&self) -> Vec<id::Pool> {
        let running = self.newest.iter().filter(|r| r.ended().is_none());
        running.map(|r| r.order.rollout.pool.clone()).collect()
    }

    /// Answers of the new version by the evidence of all VMs, by service.
    #[must_use]
    pub fn sums(&self) -> Vec<(id::Pool, Sum)> {
        let newest = self.newest.iter();
        newest
            .map(|rollout| (rollout.order.rollout.pool.clone(), rollout.sum()))
            .collect()
    }

    /// Takes another VM's word.
    pub fn hear(&mut self, said: &Said, now: Moment) {
        let endpoints = self.endpoints(&said.what.pool);
        if let Some(rollout) = self.get_mut(&said.what.pool) {
            rollout.hear(&said.node, &said.what, now);
            if rollout.ended().is_none() {
                rollout.judge(endpoints);
            }
        }
    }

    /// What this VM says of all roll-outs that are news. `left` tells whether none of its requests
    /// is at another version than the one moved to.
    #[must_use]
    pub fn announcements(
        &self,
        left: impl Fn(&id::Pool, &id::Version) -> bool,
        now: Moment,
    ) -> Vec<Announcement> {
        let news = self.newest.iter().filter(|rollout| rollout.is_news(now));
        news.map(|rollout| {
            let left = left(&rollout.order.rollout.pool, rollout.target());
            rollout.announcement(self.phase(rollout, now), left, now)
        })
        .collect()
    }

    /// The same if the zone is to be told now.
    pub fn due(
        &mut self,
        left: impl Fn(&id::Pool, &id::Version) -> bool,
        now: Moment,
    ) -> Vec<Announcement> {
        let since = now.since(self.told.at);
        if since < NEWS || self.newest.iter().all(|rollout| !rollout.is_news(now)) {
            return Vec::new();
        }
        let what = self.announcements(left, now);
        if since < ANNOUNCE && !differ(&what, &self.told.what) {
            return Vec::new();
        }
        self.told = Told {
            at: now,
            what: what.clone(),
        };
        what
    }

    /// What the other VMs said, to be passed on.
    #[must_use]
    pub fn heard(&self, now: Moment) -> Vec<Said> {
        let news = self.newest.iter().filter(|rollout| rollout.is_news(now));
        news.flat_map(|rollout| rollout.heard(now)).collect()
    }

    /// What operators are to be told of a roll-out. `left` tells whether none of this VM's requests is
    /// at the old version.
    #[must_use]
    pub fn step(&self, pool: &id::Pool, left: bool, hearing: Hearing, now: Moment) -> Step {
        let Some(rollout) = self.get(pool) else {
            return Step::Wait;
        };
        let phase = self.phase(rollout, now);
        rollout.step(phase, left, hearing, MARGIN, now)
    }

    fn end(&mut self, pool: &id::Pool, end: End, now: Moment) {
        if let Some(rollout) = self.get_mut(pool) {
            rollout.end(end, now);
        }
    }

    fn rank(&self, pool: &id::Pool, own: &id::Node, now: Moment) -> u32 {
        self.get(pool).map_or(0, |rollout| rollout.rank(own, now))
    }
}

/// Whether announcements say something that others should know soon.
#[must_use]
pub fn differ(now: &[Announcement], before: &[Announcement]) -> bool {
    now.len() != before.len()
        || now
            .iter()
            .zip(before)
            .any(|(one, other)| one.differs(other))
}
