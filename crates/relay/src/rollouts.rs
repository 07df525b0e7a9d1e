//! Roll-outs under way: which version a request uses, and the evidence on each version.
//!
//! A roll-out is here a move to another version by a deadline, as [`pimento_policy::shift`] decides it. It is
//! not the staged one of [`pimento_policy::rollout`], of which it only uses the positions of sessions and the
//! type of evidence. This module supplies the orders, their ages and the evidence of all VMs. [`controller`]
//! shares the evidence and reports the end to the operators.

pub mod announcement;
mod choice;
pub mod controller;
mod evidence;
mod exchange;
pub mod handover;
pub mod known_sessions;
pub mod room;
mod session_record;
pub mod state;
pub mod versions;

use std::time::Duration;

use pimento_policy::exposure::Sent;
use pimento_policy::shift;
use pimento_policy::shift::Phase;
use pimento_policy::shift::Side;
use pimento_units::Moment;
use pimento_units::id;

use self::announcement::End;
use self::announcement::Outcome;
use self::announcement::RequestCounts;
use self::evidence::Situation;
use self::exchange::LastAnnounced;
use self::known_sessions::Sighting;
use self::known_sessions::Source;
use self::state::RolloutState;
use self::state::Step;
use self::versions::Held;
use self::versions::PoolVersions;
use crate::config::Exposure;
use crate::operators::ReadOrder;
use crate::sessions::Sessions;

pub use self::choice::Choice;
pub use self::choice::Scope;
pub use self::exchange::announcements_differ;

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
    /// A number that tells this process from those before and after it.
    incarnation: u64,
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
    /// No roll-out yet. A session is over after `session` without a request. `incarnation` is a random number, which tells
    /// this process from those before and after it.
    #[must_use]
    pub fn new(exposure: Exposure, session: Duration, incarnation: u64) -> Self {
        Self {
            config: shift::Config::default(),
            exposure,
            newest: Vec::new(),
            pools: Vec::new(),
            sessions: Sessions::new(session),
            last_announced: LastAnnounced::default(),
            vms: 1,
            incarnation,
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

    /// Whether usable endpoints hold an order's target, so that it matters how the order has gone on.
    #[must_use]
    pub fn holds_target(&self, order: &ReadOrder) -> bool {
        let versions = self.pool_versions(&order.rollout.pool);
        versions.is_some_and(|known| known.count(&order.rollout.target) > 0)
    }

    /// Takes note that nobody can be asked for now how orders have gone on.
    pub fn status_is_out_of_reach(&mut self) {
        for rollout in &mut self.newest {
            rollout.status_out_of_reach = true;
        }
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
                    let side = Side::Old;
                    rollout.add_session(Sighting { session, side }, Source::Own);
                }
            }
        }
        let pool = &rollout.order.rollout.pool;
        if let Some(versions) = Self::versions_mut(&mut self.pools, pool)
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

    fn versions_mut<'a>(
        pools: &'a mut [PoolVersions],
        pool: &id::Pool,
    ) -> Option<&'a mut PoolVersions> {
        let found = pools.binary_search_by(|p| p.pool.cmp(pool));
        found.ok().map(|place| &mut pools[place])
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

    /// Whether a version is known to be bad.
    #[must_use]
    pub fn is_bad(&self, pool: &id::Pool, version: &id::Version) -> bool {
        let rollout = self.get(pool).filter(|r| r.target() == version);
        rollout.is_some_and(RolloutState::is_bad)
    }

    /// Counts a request that ended.
    pub fn record(&mut self, request: &FinishedRequest<'_>) {
        let endpoints = self.target_endpoints(request.pool);
        let counting = |rollout: &&mut RolloutState| rollout.counts_evidence();
        let Some(rollout) = self.get_mut(request.pool).filter(counting) else {
            return;
        };
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

    /// What is to be done about a roll-out now. `drained` is set if none of this VM's requests is at the
    /// old version.
    #[must_use]
    pub fn next_step(&mut self, pool: &id::Pool, drained: bool, now: Moment) -> Step {
        let Some(phase) = self.get(pool).map(|rollout| self.phase(rollout, now)) else {
            return Step::Wait;
        };
        let situation = Situation {
            phase,
            exposure: self.exposure,
            drained,
            known_vms: self.vms,
        };
        let Some(rollout) = self.get_mut(pool) else {
            return Step::Wait;
        };
        rollout.enter_phase(phase, now);
        rollout.next_step(&situation, now)
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
        if let Some(versions) = Self::versions_mut(&mut self.pools, pool) {
            versions.put_in_place(target);
        }
    }

    fn rank(&self, pool: &id::Pool, own: &id::Node, now: Moment) -> u32 {
        self.get(pool).map_or(0, |rollout| rollout.rank(own, now))
    }
}
