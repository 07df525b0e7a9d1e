//! Which versions each engine of a pool should hold, sans-IO.
//!
//! A settled version goes to every engine, one that is being rolled in to as many as its next stage
//! needs, a halted one to one engine for the sessions that are on it. What an engine holds already
//! stays while there is room: loading costs the weight store's rate and evicts cached prefixes.

use pimento_contract::Rollout;
use pimento_contract::State;
use pimento_contract::rollout;
use pimento_contract::version;
use pimento_units::Share;
use pimento_units::id;
use pimento_units::share::PARTS;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An engine of one pool in one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Which.
    pub endpoint: id::Endpoint,
    /// Versions that it holds, sorted.
    pub held: Vec<id::Version>,
}

/// How widely a version should be held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// Which.
    pub version: id::Version,
    /// The share of the zone's engines; at least one engine whatever it is.
    pub share: Share,
}

/// What one engine should hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Which engine.
    pub endpoint: id::Endpoint,
    /// Versions, sorted.
    pub versions: Vec<id::Version>,
}

/// Demands of a pool, sorted by version: versions that take new work and that a contract allows.
#[must_use]
pub fn demands(state: &State, pool: &id::Pool) -> Vec<Demand> {
    let wanted = |version: &&pimento_contract::Version| {
        version.pool == *pool
            && version.status == version::Status::Serving
            && state.contracts().any(|c| c.allows(&version.id))
    };
    state
        .versions()
        .filter(wanted)
        .map(|version| Demand {
            version: version.id.clone(),
            share: share(state, &version.id),
        })
        .collect()
}

fn share(state: &State, version: &id::Version) -> Share {
    let incoming = state.rollouts().find(|rollout| rollout.to == *version);
    match incoming {
        None => Share::ONE,
        Some(rollout) => match rollout.status {
            rollout::Status::Done => Share::ONE,
            rollout::Status::Halted => Share::ZERO,
            rollout::Status::Running => next_weight(rollout),
        },
    }
}

/// The next stage's weight: engines must hold the version before sessions move to it.
fn next_weight(rollout: &Rollout) -> Share {
    let next = rollout.stages.get(rollout.stage + 1);
    next.copied().unwrap_or(Share::ONE)
}

/// Assigns versions to engines. `keep` are versions without demand that stay where they are held
/// while there is room; `room` is the most versions that an engine holds.
///
/// Carried out and computed anew, an assignment stays as it is: else versions would be loaded back
/// and forth for ever where room is short.
#[must_use]
pub fn assign(
    engines: &[Engine],
    demands: &[Demand],
    keep: &[id::Version],
    room: usize,
) -> Vec<Plan> {
    let mut board = Board::new(engines, demands, keep, room);
    board.trim();
    // One engine for each version first, so that a pool short of room starves no version.
    for demand in demands {
        board.raise(&demand.version, 1, 1);
    }
    for demand in demands {
        let wanted = board.wanted(&demand.version);
        board.raise(&demand.version, wanted, 0);
    }
    board.plans
}

/// An assignment under construction.
struct Board {
    plans: Vec<Plan>,
    /// Engines wanted for each version, sorted by version; none for those kept without demand.
    wants: Vec<(id::Version, usize)>,
    room: usize,
}

impl Board {
    /// Begins with what the engines hold and may go on holding.
    fn new(engines: &[Engine], demands: &[Demand], keep: &[id::Version], room: usize) -> Self {
        let kept = keep.iter().map(|version| (version.clone(), 0));
        let demanded = demands.iter().map(|demand| {
            let wanted = replicas(demand.share, engines.len());
            (demand.version.clone(), wanted)
        });
        let mut wants: Vec<_> = kept.chain(demanded).collect();
        wants.sort();
        let known = |version: &&id::Version| wants.iter().any(|(other, _)| other == *version);
        let plan = |engine: &Engine| Plan {
            endpoint: engine.endpoint.clone(),
            versions: engine.held.iter().filter(known).cloned().collect(),
        };
        Self {
            plans: engines.iter().map(plan).collect(),
            wants,
            room,
        }
    }

    fn wanted(&self, version: &id::Version) -> usize {
        let mut wants = self.wants.iter();
        wants
            .find(|(other, _)| other == version)
            .map_or(0, |(_, wanted)| *wanted)
    }

    fn placed(&self, version: &id::Version) -> usize {
        self.plans.iter().filter(|plan| plan.has(version)).count()
    }

    /// Drops versions from engines that hold more than they should, most dispensable first.
    fn trim(&mut self) {
        for at in 0..self.plans.len() {
            while self.plans[at].versions.len() > self.room {
                let Some(version) = self.dispensable(at, |_, _| true) else {
                    break;
                };
                self.plans[at].remove(&version);
            }
        }
    }

    /// The version on an engine that exceeds its wanted number most, of those that `may` go by
    /// their placed and wanted numbers.
    fn dispensable(&self, at: usize, may: impl Fn(usize, usize) -> bool) -> Option<id::Version> {
        let plan = &self.plans[at];
        let counts = plan.versions.iter().map(|version| {
            let (placed, wanted) = (self.placed(version), self.wanted(version));
            (version, placed, wanted)
        });
        let candidates = counts.filter(|(_, placed, wanted)| may(*placed, *wanted));
        let most = candidates.max_by_key(|(version, placed, wanted)| {
            let rank = rendezvous(&plan.endpoint, version);
            (placed.saturating_sub(*wanted), *placed, rank)
        });
        most.map(|(version, _, _)| version.clone())
    }

    /// Adds a version to engines until `wanted` of them have it: where there is room, or in place
    /// of a version that is placed more often than wanted. If `spare` is set, a version that keeps
    /// that many engines may go too.
    fn raise(&mut self, version: &id::Version, wanted: usize, spare: usize) {
        while self.placed(version) < wanted {
            let Some((at, out)) = self.place(version, spare) else {
                return;
            };
            if let Some(out) = out {
                self.plans[at].remove(&out);
            }
            self.plans[at].add(version);
        }
    }

    /// The best engine for one more replica, and what must go for it. Ties are broken by rendezvous
    /// hash, so that all instances choose alike.
    fn place(&self, version: &id::Version, spare: usize) -> Option<(usize, Option<id::Version>)> {
        let rest = (0..self.plans.len()).filter(|at| !self.plans[*at].has(version));
        let rank = |at: &usize| {
            let plan = &self.plans[*at];
            (plan.versions.len(), rendezvous(&plan.endpoint, version))
        };
        let best = rest.clone().min_by_key(rank)?;
        if self.plans[best].versions.len() < self.room {
            return Some((best, None));
        }
        let may = |placed: usize, wanted: usize| placed > wanted || (spare > 0 && placed > spare);
        rest.into_iter()
            .find_map(|at| Some((at, Some(self.dispensable(at, may)?))))
    }
}

fn replicas(share: Share, engines: usize) -> usize {
    let engines = engines as u64;
    let parts = u64::from(share.parts()) * engines;
    let wanted = parts.div_ceil(u64::from(PARTS)).clamp(1, engines.max(1));
    usize::try_from(wanted).unwrap_or(usize::MAX)
}

fn rendezvous(endpoint: &id::Endpoint, version: &id::Version) -> u64 {
    let seed = xxh3_64_with_seed(endpoint.as_str().as_bytes(), 0);
    xxh3_64_with_seed(version.as_str().as_bytes(), seed)
}

impl Plan {
    fn has(&self, version: &id::Version) -> bool {
        self.versions.binary_search(version).is_ok()
    }

    fn add(&mut self, version: &id::Version) {
        if let Err(at) = self.versions.binary_search(version) {
            self.versions.insert(at, version.clone());
        }
    }

    fn remove(&mut self, version: &id::Version) {
        self.versions.retain(|other| other != version);
    }
}
