//! Roll-outs under way: which version a request uses, and the evidence on each version.
//!
//! A roll-out is here a move to another version by a deadline, as [`pimento_policy::shift`] decides it. It is
//! not the staged one of [`pimento_policy::rollout`], of which it only uses the positions of sessions and the
//! type of evidence. This module supplies the orders, their ages and the evidence of all VMs. [`controller`]
//! shares the evidence and reports the end to the operators.

pub mod announcement;
pub mod controller;
pub mod state;
pub mod versions;

use std::time::Duration;

use pimento_policy::exposure::Part;
use pimento_policy::exposure::Sent;
use pimento_policy::rollout;
use pimento_policy::shift;
use pimento_policy::shift::Known;
use pimento_policy::shift::Phase;
use pimento_policy::shift::Progress;
use pimento_policy::shift::Side;
use pimento_units::Moment;
use pimento_units::id;
use uuid::Uuid;

use self::announcement::Announcement;
use self::announcement::End;
use self::announcement::NodeAnnouncement;
use self::announcement::Outcome;
use self::announcement::PinnedSession;
use self::announcement::RequestCounts;
use self::state::RolloutState;
use self::state::Step;
use self::versions::Held;
use self::versions::PoolVersions;
use crate::config::Exposure;
use crate::operators::ReadOrder;
use crate::sessions::Sessions;

/// The longest time between announcements of a VM, which show the others that it is alive.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);

/// The shortest time between announcements, for changes such as a failure of the new version.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(700);

/// Time between announcements while the new version gets more requests than in the trial. The whole rise takes a
/// second or two, in which a fault under load shows for the first time.
const RISING_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);

/// What keeps its version in a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All requests of this session.
    Session(u64),
    /// One request that belongs to no session, with a random number of its own.
    Request(u64),
}

impl Scope {
    /// The position among all sessions and requests.
    const fn id(self) -> id::Session {
        let (Self::Session(number) | Self::Request(number)) = self;
        session_id(number)
    }
}

impl From<u64> for Scope {
    fn from(session: u64) -> Self {
        Self::Session(session)
    }
}

/// Which version a request uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Whichever there is: no usable endpoint of the service is known.
    Any,
    /// This one.
    Version(id::Version),
    /// None for now: the bound on requests to the new version is reached, and the old one can't take it.
    Neither,
}

/// What this VM last announced to its zone, and when.
#[derive(Debug, Default)]
struct LastAnnounced {
    at: Moment,
    announcements: Vec<Announcement>,
}

/// The roll-outs of all services, and the sessions' versions.
#[derive(Debug)]
pub struct Rollouts {
    config: shift::Config,
    exposure: Exposure,
    /// The newest roll-out of each service, sorted by service.
    newest: Vec<RolloutState>,
    /// Sorted by service.
    pools: Vec<PoolVersions>,
    sessions: Sessions,
    last_announced: LastAnnounced,
    /// The number of VMs that are known, including this one.
    vms: usize,
}

/// The id by which a session is placed among all sessions.
const fn session_id(session: u64) -> id::Session {
    id::Session(Uuid::from_u64_pair(session, session))
}

/// A request that ended, as evidence.
#[derive(Debug, Clone, Copy)]
pub struct FinishedRequest<'a> {
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
    /// No roll-out yet. A session is over after `session` without a request.
    #[must_use]
    pub fn new(exposure: Exposure, session: Duration) -> Self {
        Self {
            config: shift::Config::default(),
            exposure,
            newest: Vec::new(),
            pools: Vec::new(),
            sessions: Sessions::new(session),
            last_announced: LastAnnounced::default(),
            vms: 1,
        }
    }

    /// Sets the number of known VMs of all zones, including this one.
    pub fn set_vms(&mut self, vms: usize) {
        self.vms = vms;
        for rollout in &mut self.newest {
            rollout.set_vms(vms);
        }
    }

    fn find(&self, pool: &id::Pool) -> Result<usize, usize> {
        self.newest
            .binary_search_by(|r| r.order.rollout.pool.cmp(pool))
    }

    fn get(&self, pool: &id::Pool) -> Option<&RolloutState> {
        self.find(pool).ok().map(|place| &self.newest[place])
    }

    fn get_mut(&mut self, pool: &id::Pool) -> Option<&mut RolloutState> {
        self.find(pool).ok().map(|place| &mut self.newest[place])
    }

    /// Whether a service has usable endpoints of several versions, so that there is a choice to make.
    #[must_use]
    pub fn has_several_versions(&self, pool: &id::Pool) -> bool {
        let versions = self.pool_versions(pool);
        versions.is_some_and(PoolVersions::has_several)
    }

    /// Whether this order, or a later one for the same service, was added.
    #[must_use]
    pub fn has_order(&self, order: &ReadOrder) -> bool {
        let known = self.get(&order.rollout.pool);
        known.is_some_and(|known| known.offset() >= order.offset)
    }

    /// The orders that have ended, and how.
    #[must_use]
    pub fn ended_orders(&self) -> Vec<(ReadOrder, End)> {
        let ended = |rollout: &RolloutState| Some((rollout.order.clone(), rollout.ended()?));
        self.newest.iter().filter_map(ended).collect()
    }

    /// Takes an order for the known one of its service if the operators wrote that again because the log had
    /// lost it. It goes on under the new offset.
    pub fn adopt_repeated_order(&mut self, order: &ReadOrder) {
        if let Some(known) = self.get_mut(&order.rollout.pool)
            && known.order.is_repeated_by(order)
        {
            known.order.offset = order.offset;
        }
    }

    /// Adds an order. Whether one that was there before this process started has ended is not known yet.
    pub fn add_order(&mut self, order: ReadOrder, now: Moment) {
        let mut rollout = RolloutState::new(order);
        rollout.set_vms(self.vms);
        if !rollout.order.initial {
            for session in self.sessions.active(now) {
                if self.is_in_trial(session, rollout.target()) {
                    rollout.pin_session(session, true);
                }
            }
        }
        let pool = &rollout.order.rollout.pool;
        if let Some(versions) = self.pools.iter_mut().find(|p| p.pool == *pool)
            && let Some(old) = versions.other(rollout.target()).cloned()
        {
            versions.put_in_place(old);
        }
        match self.find(pool) {
            Ok(place) => self.newest[place] = rollout,
            Err(place) => self.newest.insert(place, rollout),
        }
    }

    /// Sets how an order that was there before this process started has gone on: it ended, or is still under way.
    pub fn resolve(&mut self, order: &ReadOrder, ended: Option<End>, now: Moment) {
        let pool = &order.rollout.pool;
        if let Some(rollout) = self.get_mut(pool).filter(|r| r.offset() == order.offset) {
            rollout.resolve();
        }
        if let Some(end) = ended {
            self.end(pool, end, now);
        }
    }

    /// The orders of which it is not known whether they have ended.
    #[must_use]
    pub fn unresolved(&self) -> Vec<ReadOrder> {
        let unresolved = self.newest.iter().filter(|rollout| !rollout.is_resolved());
        unresolved.map(|rollout| rollout.order.clone()).collect()
    }

    /// Sets the versions that a service's usable endpoints hold, sorted. An empty list changes nothing.
    pub fn update_versions(&mut self, pool: &id::Pool, held: Vec<Held>) {
        let place = self.pools.binary_search_by(|p| p.pool.cmp(pool));
        let place = place.unwrap_or_else(|place| {
            self.pools.insert(place, PoolVersions::new(pool.clone()));
            place
        });
        let no_order = self.get(pool).is_none();
        let known = &mut self.pools[place];
        let changed = known.update(held);
        if changed && no_order && known.has_several() {
            log::info!(
                pool = pool.as_str(),
                version = known.stable().map(id::Version::as_str);
                "rollout: Several versions and no order are known, using the first one."
            );
        }
    }

    fn pool_versions(&self, pool: &id::Pool) -> Option<&PoolVersions> {
        let found = self.pools.binary_search_by(|p| p.pool.cmp(pool));
        found.ok().map(|place| &self.pools[place])
    }

    /// The version that a request uses.
    ///
    /// Endpoints of a version without an order get no requests as long as there are others: the order
    /// may not have been read yet.
    #[must_use]
    pub fn version(&self, pool: &id::Pool, scope: impl Into<Scope>, now: Moment) -> Choice {
        let Some(versions) = self.pool_versions(pool) else {
            return Choice::Any;
        };
        let Some(rollout) = self.get(pool) else {
            let stable = versions.stable().cloned();
            return stable.map_or(Choice::Any, Choice::Version);
        };
        let target = rollout.target();
        match self.known(rollout, versions, scope.into(), now).side() {
            Some(Side::Old) => {
                let old = versions.other(target).cloned();
                old.map_or(Choice::Any, Choice::Version)
            }
            Some(Side::New) => Choice::Version(target.clone()),
            None => Choice::Neither,
        }
    }

    /// What is known of a roll-out for a request of this scope.
    fn known(
        &self,
        rollout: &RolloutState,
        versions: &PoolVersions,
        scope: Scope,
        now: Moment,
    ) -> Known {
        let target = rollout.target();
        let phase = self.phase(rollout, now);
        let session = match scope {
            Scope::Session(session) => Some(session),
            Scope::Request(_) => None,
        };
        let used = session.and_then(|session| self.sessions.version(session, now));
        let side = |used: &id::Version| if used == target { Side::New } else { Side::Old };
        let last = used.map(side);
        let known = last.is_some() || session.is_some_and(|s| rollout.is_pinned(s));
        Known {
            progress: Self::progress(rollout, versions),
            old_usable: versions.other(target).is_some(),
            new_usable: versions.count(target) > 0,
            last,
            pinned: phase.pins_known_sessions() && known,
            joins: self.admits(rollout, scope, phase, now),
            within_bound: self.is_within_bound(rollout, Part::WHOLE, now),
        }
    }

    /// How a roll-out has gone on. One of which that is not known has ended with the new version in place if no
    /// endpoint of another one was seen: the old ones stop at once then.
    fn progress(rollout: &RolloutState, versions: &PoolVersions) -> Progress {
        match rollout.progress() {
            Progress::Unknown if !versions.has_seen_other(rollout.target()) => Progress::Done,
            progress => progress,
        }
    }

    /// Whether a request of this scope is in the share that uses the new version. Sessions are chosen alike by
    /// all VMs; by its own count, one VM would send a session back that another one has let join.
    fn admits(&self, rollout: &RolloutState, scope: Scope, phase: Phase, now: Moment) -> bool {
        let (share, part) = match (scope, phase) {
            (Scope::Request(_), Phase::Trial(_)) => {
                let share = self.config.request_share(phase, self.exposure.share);
                (share, self.config.trial_part)
            }
            _ => (phase.weight(), Part::WHOLE),
        };
        let in_share = rollout::uses_new_version(scope.id(), rollout.target(), share);
        in_share && self.is_within_bound(rollout, part, now)
    }

    fn is_within_bound(&self, rollout: &RolloutState, part: Part, now: Moment) -> bool {
        let bound = rollout.bound(self.exposure);
        rollout.is_over(now) || bound.allows(rollout.sent(), part)
    }

    /// Whether a request may be sent to a version now. What it may use may have changed since it was chosen.
    #[must_use]
    pub fn may_send(
        &self,
        pool: &id::Pool,
        scope: Scope,
        version: &id::Version,
        now: Moment,
    ) -> bool {
        let new = self.get(pool).is_some_and(|r| r.target() == version);
        let same = |choice| match choice {
            Choice::Any => true,
            Choice::Version(chosen) => chosen == *version,
            Choice::Neither => false,
        };
        !new || same(self.version(pool, scope, now))
    }

    /// The number of endpoints of a roll-out's new version.
    fn target_endpoints(&self, pool: &id::Pool) -> usize {
        let target = self.get(pool).map(RolloutState::target);
        let versions = self.pool_versions(pool);
        versions
            .zip(target)
            .map_or(0, |(known, target)| known.count(target))
    }

    /// The new version of a service's last roll-out, ended or not; none if it had none.
    #[must_use]
    pub fn target(&self, pool: &id::Pool) -> Option<id::Version> {
        self.get(pool).map(|rollout| rollout.target().clone())
    }

    fn phase(&self, rollout: &RolloutState, now: Moment) -> Phase {
        let time_limit = rollout.order.rollout.time_limit;
        self.config
            .phase(rollout.age(now), time_limit, self.exposure.share)
    }

    /// Records that a request of a session is sent to a version of a service, or was answered by it.
    pub fn record_session(
        &mut self,
        pool: &id::Pool,
        session: u64,
        version: &id::Version,
        now: Moment,
    ) {
        self.sessions.record(session, version, now);
        let Some(rollout) = self.get(pool).filter(|r| r.ended().is_none()) else {
            return;
        };
        let target = rollout.target();
        let pinned = target != version && self.phase(rollout, now).pins_known_sessions();
        if !pinned || !self.is_in_trial(session, target) {
            return;
        }
        if let Some(rollout) = self.get_mut(pool) {
            rollout.pin_session(session, true);
        }
    }

    /// Records that a request is sent to a version of a service.
    pub fn record_sent(&mut self, pool: &id::Pool, version: &id::Version) {
        if let Some(rollout) = self.get_mut(pool) {
            rollout.count_sent(version);
        }
    }

    /// The requests that this VM sent since each service's last order, to the new version and to all.
    #[must_use]
    pub fn sent_counts(&self) -> Vec<(id::Pool, Sent)> {
        let newest = self.newest.iter();
        newest
            .map(|rollout| (rollout.order.rollout.pool.clone(), rollout.sent()))
            .collect()
    }

    /// Whether a session is in the share that the trial would move.
    fn is_in_trial(&self, session: u64, target: &id::Version) -> bool {
        let share = self.config.trial_share(self.exposure.share);
        rollout::uses_new_version(session_id(session), target, share)
    }

    /// Sessions that used the old version at this VM and were not announced to other VMs yet.
    pub fn take_pending_sessions(&mut self) -> Vec<PinnedSession> {
        let mut pending = Vec::new();
        for rollout in &mut self.newest {
            let order = rollout.offset();
            let sessions = rollout.take_pending_sessions().into_iter();
            pending.extend(sessions.map(|session| PinnedSession { order, session }));
        }
        pending
    }

    /// Pins a session that used the old version at another VM.
    pub fn pin_session(&mut self, pinned: PinnedSession) {
        let order = self.newest.iter_mut().find(|r| r.offset() == pinned.order);
        if let Some(rollout) = order {
            rollout.pin_session(pinned.session, false);
        }
    }

    /// Whether a version is known to be bad.
    #[must_use]
    pub fn is_bad(&self, pool: &id::Pool, version: &id::Version) -> bool {
        let rollout = self.get(pool).filter(|r| r.target() == version);
        rollout.is_some_and(RolloutState::is_bad)
    }

    /// Counts a request that ended.
    pub fn record(&mut self, request: &FinishedRequest<'_>) {
        let endpoints = self.target_endpoints(request.pool);
        let Some(rollout) = self.get_mut(request.pool) else {
            return;
        };
        if !rollout.counts_evidence() {
            return;
        }
        let new = rollout.target() == request.version;
        rollout.count(request.route, new, request.endpoint, request.outcome);
        if new {
            rollout.detect_regression(endpoints);
        }
    }

    /// The last roll-outs whose new version was found to be bad, and whether that was only after it was in place.
    #[must_use]
    pub fn bad_versions(&self) -> Vec<(id::Pool, bool)> {
        let bad = self.newest.iter().filter(|rollout| rollout.is_bad());
        bad.map(|rollout| {
            let in_place = rollout.ended() == Some(End::Done);
            (rollout.order.rollout.pool.clone(), in_place)
        })
        .collect()
    }

    /// Services with a roll-out that is known to be under way.
    #[must_use]
    pub fn running(&self) -> Vec<id::Pool> {
        let running = self.newest.iter().filter(|r| r.is_running());
        running.map(|r| r.order.rollout.pool.clone()).collect()
    }

    /// The requests on the new version at all VMs, by service.
    #[must_use]
    pub fn target_counts(&self) -> Vec<(id::Pool, RequestCounts)> {
        let newest = self.newest.iter();
        newest
            .map(|rollout| {
                let pool = rollout.order.rollout.pool.clone();
                (pool, rollout.target_counts())
            })
            .collect()
    }

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

    /// What is to be done about a roll-out now. `drained` is set if none of this VM's requests is at the
    /// old version.
    #[must_use]
    pub fn next_step(&mut self, pool: &id::Pool, drained: bool, now: Moment) -> Step {
        let Some(phase) = self.get(pool).map(|rollout| self.phase(rollout, now)) else {
            return Step::Wait;
        };
        let known_vms = self.vms;
        let Some(rollout) = self.get_mut(pool) else {
            return Step::Wait;
        };
        rollout.enter_phase(phase, now);
        rollout.next_step(phase, drained, known_vms, now)
    }

    /// Logs why the end of a roll-out is to be reported.
    fn log_verdict(&self, pool: &id::Pool, end: End, now: Moment) {
        if let Some(rollout) = self.get(pool) {
            rollout.log_verdict(end, self.vms, now);
        }
    }

    fn end(&mut self, pool: &id::Pool, end: End, now: Moment) {
        let Some(rollout) = self.get_mut(pool) else {
            return;
        };
        rollout.end(end, now);
        self.put_target_in_place(pool);
    }

    /// Takes the target of a roll-out that is done for the version in place.
    fn put_target_in_place(&mut self, pool: &id::Pool) {
        let done = self.get(pool).filter(|r| r.ended() == Some(End::Done));
        let Some(target) = done.map(|rollout| rollout.target().clone()) else {
            return;
        };
        if let Some(versions) = self.pools.iter_mut().find(|p| p.pool == *pool) {
            versions.put_in_place(target);
        }
    }

    fn rank(&self, pool: &id::Pool, own: &id::Node, now: Moment) -> u32 {
        self.get(pool).map_or(0, |rollout| rollout.rank(own, now))
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
