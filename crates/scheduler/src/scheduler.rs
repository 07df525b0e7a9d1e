//! All pools of a node.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use pimento_units::id;

use crate::clock::Clock;
use crate::participants::Participants;
use crate::pool::Pool;

/// All pools of a node. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Scheduler {
    clock: Clock,
    /// Sorted by pool.
    pools: Arc<RwLock<Vec<(id::Pool, Pool)>>>,
    /// Prefill speeds of models that other VMs reported, for pools that are created later.
    seconds_per_token: Arc<RwLock<Vec<(u64, f64)>>>,
    /// The VMs that share the limits of endpoints.
    participants: Arc<RwLock<Participants>>,
}

impl Scheduler {
    /// Creates a scheduler without pools.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            pools: Arc::default(),
            seconds_per_token: Arc::default(),
            participants: Arc::default(),
        }
    }

    /// Returns a pool, which is created without endpoints if it does not exist yet.
    #[must_use]
    pub fn pool(&self, name: &id::Pool) -> Pool {
        let find = |pools: &[(id::Pool, Pool)]| pools.binary_search_by(|(p, _)| p.cmp(name));
        {
            let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
            if let Ok(index) = find(&pools) {
                return pools[index].1.clone();
            }
        }
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        match find(&pools) {
            Ok(index) => pools[index].1.clone(),
            Err(index) => {
                let pool = Pool::new(self.clock);
                let known = self
                    .seconds_per_token
                    .read()
                    .unwrap_or_else(PoisonError::into_inner);
                pool.shared.lock().merge_prefill_speeds(&known);
                let participants = self
                    .participants
                    .read()
                    .unwrap_or_else(PoisonError::into_inner);
                pool.shared
                    .lock()
                    .set_participants(participants.clone(), self.clock.now());
                pools.insert(index, (name.clone(), pool.clone()));
                pool
            }
        }
    }

    /// Merges prefill speeds that another VM reported, for all pools.
    pub fn merge_prefill_speeds(&self, seconds_per_token: &[(u64, f64)]) {
        for (_, pool) in self.pools() {
            pool.shared.lock().merge_prefill_speeds(seconds_per_token);
        }
        let mut known = self
            .seconds_per_token
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        known.extend_from_slice(seconds_per_token);
    }

    /// Sets the VMs that share the limits of endpoints from now on.
    pub fn set_participants(&self, participants: &Participants) {
        {
            let mut known = self
                .participants
                .write()
                .unwrap_or_else(PoisonError::into_inner);
            if *known == *participants {
                return;
            }
            *known = participants.clone();
        }
        let now = self.clock.now();
        for (_, pool) in self.pools() {
            pool.shared
                .lock()
                .set_participants(participants.clone(), now);
        }
    }

    /// Readmits all ejected endpoints of all pools, because what failed says nothing of them.
    pub fn readmit_all(&self) {
        for (_, pool) in self.pools() {
            let now = self.clock.now();
            let mut state = pool.shared.lock();
            state.readmit_all();
            state.dispatch_waiting(&pool.shared, now);
        }
    }

    /// Returns all pools, sorted by name.
    #[must_use]
    pub fn pools(&self) -> Vec<(id::Pool, Pool)> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools.clone()
    }
}
