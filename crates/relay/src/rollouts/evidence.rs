//! The evidence of all VMs on the new version of a roll-out, and what it decides.

use std::time::Duration;

use compact_str::CompactString;
use pimento_policy::choice;
use pimento_policy::shift;
use pimento_policy::shift::Period;
use pimento_policy::shift::Phase;
use pimento_policy::shift::Readiness;
use pimento_units::Moment;
use pimento_units::id;

use super::announcement::End;
use super::announcement::Outcome;
use super::announcement::RequestCounts;
use super::announcement::Route;
use super::state::Rise;
use super::state::RolloutState;
use super::state::Step;
use crate::config::Exposure;
use crate::node::millis;

/// Answers at all VMs that are looked at for a version that turned bad once in place. Each costs a look at all routes.
const MAX_WATCHED_ANSWERS: u32 = 2_000;

/// The shortest time over which requests are counted for a rate, in seconds.
const MIN_RATE_SECONDS: f64 = 0.5;

/// What a VM knows beside the announcements when it looks at a roll-out.
#[derive(Debug, Clone, Copy)]
pub struct Situation {
    /// The phase.
    pub phase: Phase,
    /// The bound on requests to the new version.
    pub exposure: Exposure,
    /// Whether none of this VM's requests is at the old version.
    pub drained: bool,
    /// The number of VMs that are known, including this one.
    pub known_vms: usize,
}

impl RolloutState {
    /// Takes note of the phase, and logs it if it is another one than before.
    pub fn enter_phase(&mut self, phase: Phase, now: Moment) {
        if self.logged_phase == Some(phase.name()) {
            return;
        }
        self.logged_phase = Some(phase.name());
        let counts = self.target_counts();
        if !phase.pins_known_sessions() {
            self.rise.get_or_insert(Rise {
                at: now,
                answers: counts.attempts,
                sent: self.sent.all,
            });
        }
        log::info!(
            pool = self.order.rollout.pool.as_str(),
            version = self.target().as_str(),
            phase = phase.name(),
            age_ms = millis(self.age(now)),
            sent_new = self.sent.new,
            sent = self.sent.all,
            answers = counts.attempts,
            failed = counts.failed,
            heard = self.live_peers(now).count(),
            pinned = self.sessions.pinned();
            "rollout: Phase began."
        );
    }

    /// Logs on whose word and on which evidence this VM finds that the roll-out has ended.
    pub fn log_verdict(&self, end: End, known_vms: usize, now: Moment) {
        let counts = self.target_counts();
        let drained = self.live_peers(now).filter(|p| p.announcement.drained);
        log::info!(
            pool = self.order.rollout.pool.as_str(),
            version = self.target().as_str(),
            end:?,
            age_ms = millis(self.age(now)),
            sent_new = self.sent.new,
            sent = self.sent.all,
            answers = counts.attempts,
            failed = counts.failed,
            heard = self.live_peers(now).count(),
            drained = drained.count(),
            routes:? = self.all_routes(),
            known_vms;
            "rollout: The end is due to be reported."
        );
    }

    /// Whether answers still tell something: until the end, and for some time after the new version was put in
    /// place, so that operators hear of one that fails from then on.
    #[must_use]
    pub fn counts_evidence(&self) -> bool {
        match self.ended() {
            None => true,
            Some(End::Done) => !self.watched,
            Some(End::RolledBack) => false,
        }
    }

    /// Counts a request of a route. `new` is set if it used the new version.
    pub fn count(&mut self, route: &str, new: bool, endpoint: &id::Endpoint, outcome: Outcome) {
        if new && outcome == Outcome::Failed {
            let hash = choice::hash(endpoint.as_str());
            if let Err(place) = self.failing.binary_search(&hash) {
                self.failing.insert(place, hash);
            }
        }
        let route = route_mut(&mut self.routes, route);
        let longest = route.old.longest_counted();
        let counts = if new { &mut route.new } else { &mut route.old };
        counts.count(outcome, longest);
        if self.ended() == Some(End::Done) {
            self.watched = self.target_counts().attempts >= MAX_WATCHED_ANSWERS;
        }
    }

    /// The counts of all VMs, for each route.
    fn all_routes(&self) -> Vec<Route> {
        let mut routes = self.routes.clone();
        let peers = self.peers.iter();
        for other in peers.flat_map(|peer| &peer.announcement.routes) {
            let route = route_mut(&mut routes, &other.name);
            route.new.add(&other.new);
            route.old.add(&other.old);
        }
        routes
    }

    /// The evidence of all VMs, for each route.
    fn evidence(&self) -> Vec<shift::RouteEvidence> {
        let route_evidence = |route: &Route| shift::RouteEvidence {
            new: route.new.evidence(),
            old: route.old.evidence(),
        };
        self.all_routes().iter().map(route_evidence).collect()
    }

    /// Requests of all routes on the new version, at any VM.
    #[must_use]
    pub fn target_counts(&self) -> RequestCounts {
        let peers = self.peers.iter();
        let peer_routes = peers.flat_map(|peer| &peer.announcement.routes);
        let mut counts = RequestCounts::default();
        for route in self.routes.iter().chain(peer_routes) {
            counts.add(&route.new);
        }
        counts
    }

    /// The number of endpoints of the new version that failed a request, at any VM.
    fn failing_count(&self) -> usize {
        let peers = self.peers.iter();
        let peer_failing = peers.flat_map(|peer| &peer.announcement.failing);
        let mut all: Vec<u64> = self.failing.iter().chain(peer_failing).copied().collect();
        all.sort_unstable();
        all.dedup();
        all.len()
    }

    /// Decides whether the new version is bad by the evidence of all VMs. `endpoints` is the number of
    /// its endpoints.
    pub fn detect_regression(&mut self, endpoints: usize) {
        if self.bad.is_some() {
            return;
        }
        let reported = self.peers.iter().any(|peer| peer.announcement.bad);
        let cause = if reported {
            Some(CompactString::const_new("reported by another VM"))
        } else {
            let period = match self.ended() {
                Some(End::Done) => Period::InPlace,
                _ => Period::Shifting,
            };
            let cause =
                shift::regression(&self.evidence(), self.failing_count(), endpoints, period);
            cause.map(|cause| CompactString::from(format!("{cause:?}")))
        };
        if let Some(cause) = cause {
            if self.ended() == Some(End::Done) {
                log::error!(
                    "rollout: {} of {} turned bad after it was put in place: {cause}.",
                    self.order.rollout.target,
                    self.order.rollout.pool
                );
            }
            log::warn!(
                "rollout: {} of {} is bad: {cause}; {:?}.",
                self.order.rollout.target,
                self.order.rollout.pool,
                self.routes
            );
            self.bad = Some(cause);
        }
    }

    /// Whether the bound on requests holds if all of this VM's use the new version until the deadline.
    fn stays_within_bound(&self, exposure: Exposure, now: Moment) -> bool {
        let left = self.order.rollout.time_limit.saturating_sub(self.age(now));
        let rate = self.request_rate(now);
        let bound = self.bound(exposure);
        left.is_zero() || bound.allows_all_for(self.sent, rate, left)
    }

    /// Requests that this VM sends in a second: since the order, or since the rise if there are more of them now.
    pub(super) fn request_rate(&self, now: Moment) -> f64 {
        let rate = |sent: u32, since: Moment| {
            let seconds = now.since(since).as_secs_f64();
            f64::from(sent) / seconds.max(MIN_RATE_SECONDS)
        };
        let mean = rate(self.sent.all, self.order.read_at);
        let rising = self
            .rise
            .map(|rise| rate(self.sent.all - rise.sent, rise.at));
        rising.map_or(mean, |rising| rising.max(mean))
    }

    /// The mean of the other VMs' rates of requests since the order; zero if none is known.
    pub(super) fn mean_rate(&self, now: Moment) -> f64 {
        let rates = self.live_peers(now).map(|peer| {
            let routes = peer.announcement.routes.iter();
            let answers = routes.map(|r| f64::from(r.new.attempts) + f64::from(r.old.attempts));
            let age = Duration::from_millis(u64::from(peer.announcement.age_ms));
            answers.sum::<f64>() / age.as_secs_f64().max(MIN_RATE_SECONDS)
        });
        let rates: Vec<f64> = rates.collect();
        let count = u32::try_from(rates.len()).unwrap_or(u32::MAX);
        rates.iter().sum::<f64>() / f64::from(count.max(1))
    }

    /// What is to be done about the roll-out now.
    ///
    /// A VM that receives announcements of its own zone only hears fewer than it knows. If it reported the end
    /// early, it would cut streams of other zones' callers, or miss what they saw of the version.
    #[must_use]
    pub fn next_step(&self, situation: &Situation, now: Moment) -> Step {
        if !self.resolved {
            return Step::Wait;
        }
        if self.bad.is_some() {
            return Step::Report(End::RolledBack);
        }
        let evidence = self.evidence();
        let others_drained = self.live_peers(now).all(|p| p.announcement.drained);
        let answers = self.target_counts().attempts;
        let readiness = Readiness {
            age: self.age(now),
            time_limit: self.order.rollout.time_limit,
            moved: situation.phase == Phase::Moved,
            within_bound: self.stays_within_bound(situation.exposure, now),
            drained: situation.drained && others_drained,
            heard: self.live_peers(now).count() + 1,
            known: situation.known_vms,
            answers: answers.saturating_sub(self.rise.map_or(answers, |rise| rise.answers)),
            covers_routes: shift::covers_routes(&evidence),
            doubtful: shift::is_doubtful(&evidence),
        };
        if readiness.is_done() {
            return Step::Report(End::Done);
        }
        Step::Wait
    }
}

/// The entry of a route, added if it is missing. `routes` is sorted by name.
fn route_mut<'a>(routes: &'a mut Vec<Route>, name: &str) -> &'a mut Route {
    let found = routes.binary_search_by(|route| route.name.as_str().cmp(name));
    let place = found.unwrap_or_else(|place| {
        let route = Route {
            name: name.into(),
            new: RequestCounts::default(),
            old: RequestCounts::default(),
        };
        routes.insert(place, route);
        place
    });
    &mut routes[place]
}
