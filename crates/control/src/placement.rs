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
#[must_use]
pub fn assign(
    engines: &[Engine],
    demands: &[Demand],
    keep: &[id::Version],
    room: usize,
) -> Vec<Plan> {
    let mut plans: Vec<Plan> = engines
        .iter()
        .map(|engine| Plan {
            endpoint: engine.endpoint.clone(),
            versions: Vec::new(),
        })
        .collect();
    // One engine for each version first, so that a pool short of room starves no version.
    for demand in demands {
        spread(engines, &mut plans, &demand.version, 1, room);
    }
    for demand in demands {
        let wanted = replicas(demand.share, engines.len());
        spread(engines, &mut plans, &demand.version, wanted, room);
    }
    let demanded = demands.iter().map(|demand| &demand.version);
    for version in demanded.chain(keep) {
        retain(engines, &mut plans, version, room);
    }
    plans
}

fn replicas(share: Share, engines: usize) -> usize {
    let engines = engines as u64;
    let parts = u64::from(share.parts()) * engines;
    let wanted = parts.div_ceil(u64::from(PARTS)).clamp(1, engines.max(1));
    usize::try_from(wanted).unwrap_or(usize::MAX)
}

/// Adds `version` to plans until `wanted` of them have it: first where it is held, then where the
/// fewest versions are, then by rendezvous hash, so that all instances choose alike.
fn spread(
    engines: &[Engine],
    plans: &mut [Plan],
    version: &id::Version,
    wanted: usize,
    room: usize,
) {
    let done = plans.iter().filter(|plan| plan.has(version)).count();
    let mut places: Vec<usize> = (0..plans.len())
        .filter(|at| !plans[*at].has(version) && plans[*at].versions.len() < room)
        .collect();
    places.sort_by_key(|at| {
        let held = engines[*at].held.binary_search(version).is_ok();
        let rank = rendezvous(&engines[*at].endpoint, version);
        (!held, plans[*at].versions.len(), rank)
    });
    for at in places.into_iter().take(wanted.saturating_sub(done)) {
        plans[at].add(version);
    }
}

fn retain(engines: &[Engine], plans: &mut [Plan], version: &id::Version, room: usize) {
    for (engine, plan) in engines.iter().zip(plans) {
        let held = engine.held.binary_search(version).is_ok();
        if held && plan.versions.len() < room {
            plan.add(version);
        }
    }
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
}
