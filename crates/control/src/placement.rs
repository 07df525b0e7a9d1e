//! Assigns versions to the engines of a pool, without a clock or I/O.
//!
//! A version without a roll-out, or whose roll-out is done, goes to every engine. A version that is
//! being rolled out goes to as many engines as its next stage needs. A version whose roll-out was
//! halted goes to one engine, for the sessions that still use it. Versions already loaded stay
//! where they are while there is capacity: loading uses up the weight store's rate limit and evicts
//! cached prefixes.

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
    /// Its name.
    pub endpoint: id::Endpoint,
    /// Versions that it holds, sorted.
    pub held: Vec<id::Version>,
}

/// The share of engines that should hold a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The version.
    pub version: id::Version,
    /// Share of the zone's engines. The number of engines is rounded up and is at least one.
    pub share: Share,
}

/// The versions that one engine should hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The engine.
    pub endpoint: id::Endpoint,
    /// Versions, sorted.
    pub versions: Vec<id::Version>,
}

/// Demands of a pool, sorted by version: versions that are in service and that a contract allows.
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

/// Weight of the next stage, since engines must hold the version before sessions move to it.
fn next_weight(rollout: &Rollout) -> Share {
    let next = rollout.stages.get(rollout.stage + 1);
    next.copied().unwrap_or(Share::ONE)
}

/// Assigns versions to engines. `retained` lists versions without demand that stay where they are
/// loaded while there is capacity; `capacity` is the maximum number of versions per engine.
///
/// The result is a fixed point: with the assignment applied, the function returns the same plans.
/// Otherwise engines short of capacity would load and unload versions endlessly.
#[must_use]
pub fn assign(
    engines: &[Engine],
    demands: &[Demand],
    retained: &[id::Version],
    capacity: usize,
) -> Vec<Plan> {
    let mut assignment = Assignment::new(engines, demands, retained, capacity);
    assignment.evict_excess();
    // Each version gets one engine first, so that none is starved in a pool short of capacity.
    for demand in demands {
        assignment.add_engines(&demand.version, 1, 1);
    }
    for demand in demands {
        let target = assignment.target(&demand.version);
        assignment.add_engines(&demand.version, target, 0);
    }
    assignment.plans
}

/// An assignment under construction.
struct Assignment {
    plans: Vec<Plan>,
    /// Target number of engines for each version, sorted by version; 0 for retained versions.
    targets: Vec<(id::Version, usize)>,
    capacity: usize,
}

impl Assignment {
    /// Starts from the versions that the engines hold now, less those neither demanded nor
    /// retained.
    fn new(
        engines: &[Engine],
        demands: &[Demand],
        retained: &[id::Version],
        capacity: usize,
    ) -> Self {
        let retained_targets = retained.iter().map(|version| (version.clone(), 0));
        let demanded_targets = demands.iter().map(|demand| {
            let target = target_engine_count(demand.share, engines.len());
            (demand.version.clone(), target)
        });
        let mut targets: Vec<_> = retained_targets.chain(demanded_targets).collect();
        targets.sort();
        let known = |version: &&id::Version| targets.iter().any(|(other, _)| other == *version);
        let plan = |engine: &Engine| Plan {
            endpoint: engine.endpoint.clone(),
            versions: engine.held.iter().filter(known).cloned().collect(),
        };
        Self {
            plans: engines.iter().map(plan).collect(),
            targets,
            capacity,
        }
    }

    fn target(&self, version: &id::Version) -> usize {
        let mut targets = self.targets.iter();
        targets
            .find(|(other, _)| other == version)
            .map_or(0, |(_, target)| *target)
    }

    fn engine_count(&self, version: &id::Version) -> usize {
        self.plans.iter().filter(|plan| plan.has(version)).count()
    }

    /// Evicts versions from engines over capacity, those furthest above their target first.
    fn evict_excess(&mut self) {
        for at in 0..self.plans.len() {
            while self.plans[at].versions.len() > self.capacity {
                let Some(version) = self.eviction_candidate(at, |_, _| true) else {
                    break;
                };
                self.plans[at].remove(&version);
            }
        }
    }

    /// The version on an engine that exceeds its target most. `may_evict` filters the candidates by
    /// their current and target numbers of engines.
    fn eviction_candidate(
        &self,
        at: usize,
        may_evict: impl Fn(usize, usize) -> bool,
    ) -> Option<id::Version> {
        let plan = &self.plans[at];
        let counts = plan.versions.iter().map(|version| {
            let (placed, target) = (self.engine_count(version), self.target(version));
            (version, placed, target)
        });
        let candidates = counts.filter(|(_, placed, target)| may_evict(*placed, *target));
        let selected = candidates.max_by_key(|(version, placed, target)| {
            let rank = rendezvous(&plan.endpoint, version);
            (placed.saturating_sub(*target), *placed, rank)
        });
        selected.map(|(version, _, _)| version.clone())
    }

    /// Adds a version to engines until `target` of them have it: where there is capacity, or in
    /// place of a version that is above its target. If `min_remaining` is not 0, this may also
    /// evict a version that remains on at least that many other engines.
    fn add_engines(&mut self, version: &id::Version, target: usize, min_remaining: usize) {
        while self.engine_count(version) < target {
            let Some((at, evicted)) = self.best_engine(version, min_remaining) else {
                return;
            };
            if let Some(evicted) = evicted {
                self.plans[at].remove(&evicted);
            }
            self.plans[at].add(version);
        }
    }

    /// The best engine on which to add the version, and the version to evict there. A rendezvous
    /// hash breaks ties, so that all instances choose the same.
    fn best_engine(
        &self,
        version: &id::Version,
        min_remaining: usize,
    ) -> Option<(usize, Option<id::Version>)> {
        let candidates = (0..self.plans.len()).filter(|at| !self.plans[*at].has(version));
        let rank = |at: &usize| {
            let plan = &self.plans[*at];
            (plan.versions.len(), rendezvous(&plan.endpoint, version))
        };
        let best = candidates.clone().min_by_key(rank)?;
        if self.plans[best].versions.len() < self.capacity {
            return Some((best, None));
        }
        let may_evict = |placed: usize, target: usize| {
            placed > target || (min_remaining > 0 && placed > min_remaining)
        };
        candidates
            .into_iter()
            .find_map(|at| Some((at, Some(self.eviction_candidate(at, may_evict)?))))
    }
}

fn target_engine_count(share: Share, engines: usize) -> usize {
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
