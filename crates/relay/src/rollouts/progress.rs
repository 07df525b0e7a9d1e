//! One roll-out: its order, what was seen of it here and elsewhere, and how it ended.

use std::time::Duration;

use compact_str::CompactString;
use pimento_policy::choice;
use pimento_policy::shift;
use pimento_policy::shift::Phase;
use pimento_units::Moment;
use pimento_units::Offset;
use pimento_units::id;

use super::announcement::Announcement;
use super::announcement::End;
use super::announcement::Outcome;
use super::announcement::Route;
use super::announcement::Said;
use super::announcement::Sum;
use crate::operators::RolloutOrder;

/// After this long without an announcement a VM is no longer waited for: it is down, or cut off
/// from the log, in which case it lets no keys in and sends nothing. Two announcements, and some.
const DEAD: Duration = Duration::from_millis(4_500);

/// An ended roll-out is announced for this long, for those that wait for word of it.
const ECHO: Duration = Duration::from_secs(10);

/// Failing endpoints that are named; two from different VMs are enough to tell that it is not one
/// sick endpoint.
const FAILING: usize = 8;

/// Another VM's last word.
#[derive(Debug, Clone)]
struct Peer {
    node: id::Node,
    said: Announcement,
    heard: Moment,
}

/// A roll-out that was ordered.
#[derive(Debug)]
pub struct Progress {
    /// The order.
    pub order: RolloutOrder,
    /// How old the order was when it was read here, as other VMs tell.
    behind: Duration,
    /// How it ended, and when that was known here.
    ended: Option<(End, Moment)>,
    /// Cause for which the new version counts as bad.
    bad: Option<CompactString>,
    /// Sorted by name.
    routes: Vec<Route>,
    /// Endpoints of the new version that failed a request, as hashes, sorted.
    failing: Vec<u64>,
    /// Sorted by node.
    peers: Vec<Peer>,
    /// Sessions that used the old version before the trial, at any VM, and that the trial's share
    /// would move; sorted.
    kept: Vec<u64>,
    /// Those of them that other VMs were not told of yet.
    untold: Vec<u64>,
}

/// Whose words a VM hears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hearing {
    /// Those of its zone, by datagrams.
    Zone,
    /// Those of all VMs, as it reads their topic.
    Everywhere,
}

/// What operators are to be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// That it has ended.
    Tell(End),
}

impl Progress {
    /// A roll-out that begins, or that ended before this process did.
    #[must_use]
    pub const fn new(order: RolloutOrder, ended: Option<(End, Moment)>) -> Self {
        Self {
            order,
            behind: Duration::ZERO,
            ended,
            bad: None,
            routes: Vec::new(),
            failing: Vec::new(),
            peers: Vec::new(),
            kept: Vec::new(),
            untold: Vec::new(),
        }
    }

    /// Whether a session used the old version before the trial.
    #[must_use]
    pub fn keeps(&self, session: u64) -> bool {
        self.kept.binary_search(&session).is_ok()
    }

    /// Notes a session that uses the old version; `own` if it does so at this VM.
    pub fn keep(&mut self, session: u64, own: bool) {
        let Err(place) = self.kept.binary_search(&session) else {
            return;
        };
        self.kept.insert(place, session);
        if own {
            self.untold.push(session);
        }
    }

    /// The sessions that other VMs are to be told of.
    pub fn take_untold(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.untold)
    }

    /// How old the order is.
    #[must_use]
    pub fn age(&self, now: Moment) -> Duration {
        now.since(self.order.read_at) + self.behind
    }

    /// The version that is moved to.
    #[must_use]
    pub const fn target(&self) -> &id::Version {
        &self.order.rollout.target
    }

    /// The order's place in its topic.
    #[must_use]
    pub const fn offset(&self) -> Offset {
        self.order.offset
    }

    /// How it ended.
    #[must_use]
    pub fn ended(&self) -> Option<End> {
        self.ended.map(|(end, _)| end)
    }

    /// Whether the new version is known to be bad.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.bad.is_some() || self.ended() == Some(End::Undone)
    }

    /// Whether others are to be told of it.
    #[must_use]
    pub fn is_news(&self, now: Moment) -> bool {
        self.ended.is_none_or(|(_, at)| now.since(at) < ECHO)
    }

    /// Takes its end.
    pub fn end(&mut self, end: End, now: Moment) {
        if self.ended.is_none() {
            log::info!(
                "rollout: {} to {} ended: {end:?}.",
                self.order.rollout.pool,
                self.order.rollout.target
            );
            self.ended = Some((end, now));
        }
    }

    /// Counts a request of a route on one of the versions.
    pub fn count(&mut self, route: &str, new: bool, endpoint: &id::Endpoint, outcome: Outcome) {
        if new && outcome == Outcome::Failed {
            let hash = choice::key(endpoint.as_str());
            if let Err(place) = self.failing.binary_search(&hash) {
                self.failing.insert(place, hash);
            }
        }
        let route = find(&mut self.routes, route);
        let sum = if new { &mut route.new } else { &mut route.old };
        sum.count(outcome);
    }

    /// The evidence of all VMs, for each route.
    fn tallies(&self) -> Vec<shift::Tally> {
        let mut routes = self.routes.clone();
        for said in self.peers.iter().flat_map(|peer| &peer.said.routes) {
            let route = find(&mut routes, &said.name);
            route.new.add(&said.new);
            route.old.add(&said.old);
        }
        let tally = |route: &Route| shift::Tally {
            new: route.new.evidence(),
            old: route.old.evidence(),
        };
        routes.iter().map(tally).collect()
    }

    /// Answers of the new version on all routes, at any VM.
    #[must_use]
    pub fn sum(&self) -> Sum {
        let peers = self.peers.iter().flat_map(|peer| &peer.said.routes);
        let mut sum = Sum::default();
        for route in self.routes.iter().chain(peers) {
            sum.add(&route.new);
        }
        sum
    }

    /// Endpoints of the new version that failed a request, at any VM.
    fn failing(&self) -> usize {
        let peers = self.peers.iter().flat_map(|peer| &peer.said.failing);
        let mut all: Vec<u64> = self.failing.iter().chain(peers).copied().collect();
        all.sort_unstable();
        all.dedup();
        all.len()
    }

    /// Whether the new version, which has so many endpoints, is bad by the evidence of all VMs.
    pub fn judge(&mut self, endpoints: usize) {
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
    pub fn hear(&mut self, node: &id::Node, said: &Announcement, now: Moment) {
        if said.order != self.order.offset {
            return;
        }
        let age = Duration::from_millis(u64::from(said.age_ms));
        self.behind += age.saturating_sub(self.age(now));
        if let Some(end) = said.ended {
            self.end(end, now);
        }
        match self.peers.binary_search_by(|p| p.node.cmp(node)) {
            // The same word may come directly and passed on; the younger one holds.
            Ok(place) if self.peers[place].said.age_ms > said.age_ms => {}
            Ok(place) => {
                self.peers[place].said = said.clone();
                self.peers[place].heard = now;
            }
            Err(place) => {
                let peer = Peer {
                    node: node.clone(),
                    said: said.clone(),
                    heard: now,
                };
                self.peers.insert(place, peer);
            }
        }
    }

    /// What this VM says. `left` tells whether none of its requests is at the old version.
    #[must_use]
    pub fn announcement(&self, phase: Phase, left: bool, now: Moment) -> Announcement {
        let age = self.age(now).as_millis();
        Announcement {
            pool: self.order.rollout.pool.clone(),
            order: self.offset(),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            routes: self.routes.clone(),
            failing: self.failing.iter().take(FAILING).copied().collect(),
            bad: self.bad.is_some(),
            left: phase == Phase::Moved && left,
            ended: self.ended(),
        }
    }

    /// What the other VMs that live said, to be passed on.
    pub fn heard(&self, now: Moment) -> impl Iterator<Item = Said> {
        self.live(now).map(|peer| Said {
            node: peer.node.clone(),
            what: peer.said.clone(),
        })
    }

    fn live(&self, now: Moment) -> impl Iterator<Item = &Peer> {
        let live = move |peer: &&Peer| now.since(peer.heard) < DEAD;
        self.peers.iter().filter(live)
    }

    /// What operators are to be told. `left` tells whether none of this VM's requests is at the old
    /// version, `margin` how long before the deadline they are told whoever has not been heard of.
    ///
    /// The old endpoints stop at once when operators hear that a roll-out is done. A VM that hears its
    /// zone alone can't know that the VMs of other zones have left them: their callers' streams would
    /// be cut.
    #[must_use]
    pub fn step(
        &self,
        phase: Phase,
        left: bool,
        hearing: Hearing,
        margin: Duration,
        now: Moment,
    ) -> Step {
        if self.bad.is_some() {
            return Step::Tell(End::Undone);
        }
        let all =
            left && hearing == Hearing::Everywhere && self.live(now).all(|peer| peer.said.left);
        let late = self.age(now) + margin >= self.order.rollout.time_limit;
        if phase == Phase::Moved && (all || late) {
            return Step::Tell(End::Done);
        }
        Step::Wait
    }

    /// The place of a VM among those that live.
    #[must_use]
    pub fn rank(&self, own: &id::Node, now: Moment) -> u32 {
        let before = self.live(now).filter(|peer| peer.node < *own).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }
}

fn find<'a>(routes: &'a mut Vec<Route>, name: &str) -> &'a mut Route {
    let found = routes.binary_search_by(|route| route.name.as_str().cmp(name));
    let place = found.unwrap_or_else(|place| {
        let route = Route {
            name: name.into(),
            new: Sum::default(),
            old: Sum::default(),
        };
        routes.insert(place, route);
        place
    });
    &mut routes[place]
}
