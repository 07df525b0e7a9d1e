//! Roll-outs under way: which version a request uses, and what was seen of each.
//!
//! The decisions are `pimento_policy::shift`'s; here they get the orders, the ages and the evidence
//! of all VMs. [`controller`] shares the evidence over the log and tells operators of the end.

pub mod announcement;
pub mod controller;

use std::time::Duration;

use compact_str::CompactString;
use pimento_policy::rollout;
use pimento_policy::shift;
use pimento_policy::shift::Phase;
use pimento_units::Moment;
use pimento_units::Offset;
use pimento_units::id;
use uuid::Uuid;

use self::announcement::Announcement;
use self::announcement::Sum;
use crate::codec::Stage;
use crate::config::Exposure;
use crate::operators::Order;
use crate::sessions::Sessions;

/// What was seen of one route on both versions, here.
#[derive(Debug, Clone)]
struct Route {
    name: CompactString,
    new: Sum,
    old: Sum,
}

/// Another VM's last word on a roll-out.
#[derive(Debug, Clone)]
struct Peer {
    node: id::Node,
    said: Announcement,
    heard: Moment,
}

/// A roll-out that was ordered.
#[derive(Debug)]
pub struct Rollout {
    order: Order,
    /// How old the order was when it was read here, as other VMs tell.
    behind: Duration,
    stage: Stage,
    /// Cause for which the new version counts as bad.
    bad: Option<CompactString>,
    /// Sorted by name.
    routes: Vec<Route>,
    /// Endpoints of the new version that failed a request, as hashes, sorted.
    failing: Vec<u64>,
    /// Sorted by node.
    peers: Vec<Peer>,
}

/// How one request ended, as evidence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// Answered, with the seconds until its first byte.
    Served(f64),
    /// The endpoint failed it.
    Failed,
}

/// The versions of a service's endpoints that may be used, with how many there are of each.
#[derive(Debug)]
struct Present {
    pool: id::Pool,
    /// The version in use when no roll-out is under way.
    settled: id::Version,
    /// Sorted by version.
    versions: Vec<(id::Version, usize)>,
}

/// All roll-outs, and the sessions' versions.
#[derive(Debug)]
pub struct Rollouts {
    config: shift::Config,
    exposure: Exposure,
    /// The newest of each service, sorted by service.
    newest: Vec<Rollout>,
    /// Sorted by service.
    present: Vec<Present>,
    sessions: Sessions,
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

impl Rollout {
    fn new(order: Order, stage: Stage) -> Self {
        Self {
            order,
            behind: Duration::ZERO,
            stage,
            bad: None,
            routes: Vec::new(),
            failing: Vec::new(),
            peers: Vec::new(),
        }
    }

    /// How old the order is.
    fn age(&self, now: Moment) -> Duration {
        now.since(self.order.read) + self.behind
    }

    fn target(&self) -> &id::Version {
        &self.order.rollout.target
    }

    fn route(&mut self, name: &str) -> &mut Route {
        let found = self.routes.binary_search_by(|r| r.name.as_str().cmp(name));
        let place = found.unwrap_or_else(|place| {
            let route = Route {
                name: name.into(),
                new: Sum::default(),
                old: Sum::default(),
            };
            self.routes.insert(place, route);
            place
        });
        &mut self.routes[place]
    }

    /// The evidence of all VMs, for each route.
    fn tallies(&self) -> Vec<shift::Tally> {
        let mut routes = self.routes.clone();
        for peer in &self.peers {
            for said in &peer.said.routes {
                match routes.binary_search_by(|r| r.name.cmp(&said.name)) {
                    Ok(place) => {
                        routes[place].new.add(&said.new);
                        routes[place].old.add(&said.old);
                    }
                    Err(place) => {
                        let route = Route {
                            name: said.name.clone(),
                            new: said.new,
                            old: said.old,
                        };
                        routes.insert(place, route);
                    }
                }
            }
        }
        let tally = |route: &Route| shift::Tally {
            new: route.new.evidence(),
            old: route.old.evidence(),
        };
        routes.iter().map(tally).collect()
    }

    /// Endpoints of the new version that failed a request, at any VM.
    fn failing(&self) -> usize {
        let peers = self.peers.iter().flat_map(|peer| &peer.said.failing);
        let mut all: Vec<u64> = self.failing.iter().chain(peers).copied().collect();
        all.sort_unstable();
        all.dedup();
        all.len()
    }
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
        }
    }

    fn find(&self, pool: &id::Pool) -> Result<usize, usize> {
        self.newest
            .binary_search_by(|r| r.order.rollout.pool.cmp(pool))
    }

    fn get(&self, pool: &id::Pool) -> Option<&Rollout> {
        self.find(pool).ok().map(|place| &self.newest[place])
    }

    fn get_mut(&mut self, pool: &id::Pool) -> Option<&mut Rollout> {
        self.find(pool).ok().map(|place| &mut self.newest[place])
    }

    /// Takes an order; false if it is known.
    fn order(&mut self, order: Order, stage: Stage) -> bool {
        match self.find(&order.rollout.pool) {
            Ok(place) if self.newest[place].order.offset >= order.offset => return false,
            Ok(place) => self.newest[place] = Rollout::new(order, stage),
            Err(place) => self.newest.insert(place, Rollout::new(order, stage)),
        }
        true
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
        if present.count(target) == 0 || rollout.bad.is_some() {
            return Some(old.clone());
        }
        match rollout.stage {
            Stage::Done => return Some(target.clone()),
            Stage::Undone => return Some(old.clone()),
            Stage::Running => {}
        }
        let phase = self.phase(rollout, now);
        let used = self.sessions.version(session, now);
        if used == Some(target) {
            return Some(target.clone());
        }
        if matches!(phase, Phase::Trial(_)) && used.is_some() {
            return Some(old.clone());
        }
        let place = id::Session(Uuid::from_u64_pair(session, session));
        let moves = rollout::moves(place, target, phase.weight());
        Some(if moves { target } else { old }.clone())
    }

    /// Endpoints of the version that is moved to.
    fn endpoints(&self, pool: &id::Pool) -> usize {
        let target = self.get(pool).map(Rollout::target);
        let present = self.present(pool);
        present.zip(target).map_or(0, |(p, target)| p.count(target))
    }

    /// The version that a service moves to, if it does.
    fn target(&self, pool: &id::Pool) -> Option<id::Version> {
        self.get(pool).map(|rollout| rollout.target().clone())
    }

    fn phase(&self, rollout: &Rollout, now: Moment) -> Phase {
        let lasts = rollout.order.rollout.lasts;
        self.config
            .phase(rollout.age(now), lasts, self.exposure.share)
    }

    /// Notes that a request of a session is sent to a version, or was answered by it.
    pub fn note(&mut self, session: u64, version: &id::Version, now: Moment) {
        self.sessions.note(session, version, now);
    }

    /// Whether a version is known to be bad.
    #[must_use]
    pub fn bad(&self, pool: &id::Pool, version: &id::Version) -> bool {
        let rollout = self.get(pool).filter(|r| r.target() == version);
        rollout.is_some_and(|r| r.bad.is_some() || r.stage == Stage::Undone)
    }

    /// Counts how a request ended.
    pub fn record(&mut self, seen: &Seen<'_>) {
        let endpoints = self.endpoints(seen.pool);
        let Some(rollout) = self.get_mut(seen.pool) else {
            return;
        };
        if rollout.stage != Stage::Running {
            return;
        }
        let new = rollout.target() == seen.version;
        let failed = seen.outcome == Outcome::Failed;
        if new && failed {
            let hash = pimento_policy::choice::key(seen.endpoint.as_str());
            if let Err(place) = rollout.failing.binary_search(&hash) {
                rollout.failing.insert(place, hash);
            }
        }
        let route = rollout.route(seen.route);
        let sum = if new { &mut route.new } else { &mut route.old };
        sum.count(seen.outcome);
        if new {
            rollout.judge(endpoints);
        }
    }
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

impl Rollout {
    /// Whether the new version is bad, by the evidence of all VMs.
    fn judge(&mut self, endpoints: usize) {
        if self.bad.is_some() {
            return;
        }
        let told = self.peers.iter().any(|peer| peer.said.bad);
        let cause = if told {
            Some(CompactString::const_new("another VM says so"))
        } else {
            let cause = shift::verdict(&self.tallies(), self.failing(), endpoints);
            cause.map(|cause| CompactString::from(format!("{cause:?}")))
        };
        if let Some(cause) = cause {
            log::warn!(
                "rollout: {} of {} is bad: {cause}; {:?}.",
                self.order.rollout.target,
                self.order.rollout.pool,
                self.routes
            );
            self.bad = Some(cause);
        }
    }

    /// Takes another VM's word.
    fn hear(&mut self, node: &id::Node, said: Announcement, now: Moment) {
        if said.order != self.order.offset {
            return;
        }
        let age = Duration::from_millis(said.age_ms);
        let own = self.age(now);
        self.behind += age.saturating_sub(own);
        let peer = Peer {
            node: node.clone(),
            said,
            heard: now,
        };
        match self.peers.binary_search_by(|p| p.node.cmp(node)) {
            Ok(place) => self.peers[place] = peer,
            Err(place) => self.peers.insert(place, peer),
        }
    }

    /// The order's place in its topic.
    fn offset(&self) -> Offset {
        self.order.offset
    }
}
