//! Holds leases: one on the orders to each pool in this node's zone, and one on roll-outs.
//!
//! Only the first kind is needed for correctness. The second saves work: without it, every instance
//! would query all entry VMs for evidence and propose the same steps, of which only the first takes
//! effect.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures::future::join_all;
use pimento_contract::State;
use pimento_coordination::Appender;
use pimento_coordination::Follower;
use pimento_coordination::lease;
use pimento_coordination::lease::Held;
use pimento_coordination::lease::Lease;
use pimento_coordination::lease::View;
use pimento_units::id;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::controller::Controller;
use crate::controller::Pass;
use crate::metrics::Metrics;

/// Leases on the orders to pools.
pub trait PoolLeases: Send + Sync + 'static {
    /// The fencing number and the times of the pool's lease, if this node holds it now.
    fn fencing(&self, pool: &id::Pool) -> Option<Held>;
}

/// The lease on roll-outs.
pub trait RolloutLease: Send + Sync + 'static {
    /// Whether this node holds it.
    fn is_held(&self) -> bool;
}

/// Configuration and clients of a [`Manager`].
#[derive(Debug, Clone)]
pub struct Setup {
    /// This node.
    pub node: id::Node,
    /// Its zone.
    pub zone: id::Zone,
    /// Length and margin of a lease.
    pub lease: lease::Config,
    /// Appends lease records to the log.
    pub appender: Appender,
    /// Follows the leases stream.
    pub follower: Follower<View>,
}

/// A lease that this node holds or waits for.
#[derive(Debug)]
struct ManagedLease {
    resource: id::Resource,
    lease: Lease,
    token: CancellationToken,
}

/// The leases that this node holds or waits for. Clones share them.
#[derive(Debug, Clone)]
pub struct Leases {
    zone: id::Zone,
    /// Sorted by resource.
    entries: Arc<Mutex<Vec<ManagedLease>>>,
}

impl Leases {
    /// An empty set for a node in `zone`.
    #[must_use]
    pub fn new(zone: id::Zone) -> Self {
        Self {
            zone,
            entries: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ManagedLease>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Resources whose lease is held now, with their fencing numbers.
    #[must_use]
    pub fn all_held(&self) -> Vec<(id::Resource, Held)> {
        let entries = self.lock();
        let held = entries
            .iter()
            .map(|entry| Some((entry.resource.clone(), entry.lease.held()?)));
        held.flatten().collect()
    }

    fn all(&self) -> Vec<Lease> {
        let entries = self.lock();
        entries.iter().map(|entry| entry.lease.clone()).collect()
    }

    fn resource_fencing(&self, resource: &id::Resource) -> Option<Held> {
        let entries = self.lock();
        let at = entries
            .binary_search_by(|entry| entry.resource.cmp(resource))
            .ok()?;
        entries[at].lease.held()
    }
}

impl PoolLeases for Leases {
    fn fencing(&self, pool: &id::Pool) -> Option<Held> {
        self.resource_fencing(&pool_resource(pool, &self.zone))
    }
}

impl RolloutLease for Leases {
    fn is_held(&self) -> bool {
        self.resource_fencing(&rollout_resource()).is_some()
    }
}

/// The controller that acquires the leases, and releases those of pools that no longer exist.
#[derive(Debug)]
pub struct Manager {
    setup: Setup,
    leases: Leases,
    state: watch::Receiver<Arc<State>>,
    metrics: Metrics,
    token: CancellationToken,
}

impl Manager {
    /// A manager whose leases are released when `token` is cancelled.
    #[must_use]
    pub const fn new(
        setup: Setup,
        leases: Leases,
        state: watch::Receiver<Arc<State>>,
        metrics: Metrics,
        token: CancellationToken,
    ) -> Self {
        Self {
            setup,
            leases,
            state,
            metrics,
            token,
        }
    }

    fn start(&self, resource: id::Resource) -> ManagedLease {
        let token = self.token.child_token();
        let lease = Lease::start(
            resource.clone(),
            self.setup.node.clone(),
            self.setup.lease,
            self.setup.appender.clone(),
            self.setup.follower.clone(),
            token.clone(),
        );
        ManagedLease {
            resource,
            lease,
            token,
        }
    }
}

impl Manager {
    /// Leases that this node should hold or wait for, sorted.
    fn wanted(&self) -> Vec<id::Resource> {
        let state = self.state.borrow();
        let pools = state.versions().map(|version| &version.pool);
        let mut wanted: Vec<id::Resource> = pools
            .map(|pool| pool_resource(pool, &self.setup.zone))
            .chain([rollout_resource()])
            .collect();
        wanted.sort();
        wanted.dedup();
        wanted
    }
}

impl Controller for Manager {
    type Error = Infallible;

    const NAME: &'static str = "leases";

    async fn pass(&mut self) -> Result<Pass, Infallible> {
        let wanted = self.wanted();
        let mut entries = self.leases.lock();
        entries.retain(|entry| {
            let is_wanted = wanted.binary_search(&entry.resource).is_ok();
            if !is_wanted {
                entry.token.cancel();
            }
            is_wanted
        });
        for resource in wanted {
            if let Err(at) = entries.binary_search_by(|entry| entry.resource.cmp(&resource)) {
                entries.insert(at, self.start(resource));
            }
        }
        drop(entries);
        let rollouts = usize::from(self.leases.is_held());
        let all = self.leases.all_held().len();
        self.metrics
            .set_leases(all.saturating_sub(rollouts), rollouts);
        Ok(Pass::Idle)
    }
}

/// Resource name of the deployment's lease on roll-outs.
///
/// # Panics
///
/// Never: the name is valid.
fn rollout_resource() -> id::Resource {
    "rollouts".parse().expect("the name is valid")
}

/// Resource name of the lease on the orders to a pool in a zone.
///
/// # Panics
///
/// Never: names that are too long together are replaced by a hash, which is a valid name.
#[must_use]
pub fn pool_resource(pool: &id::Pool, zone: &id::Zone) -> id::Resource {
    let plain = format!("orders:{pool}:{zone}");
    plain.parse().unwrap_or_else(|_| {
        let hash = xxh3_64(plain.as_bytes());
        let short = format!("orders:{hash:016x}");
        short.parse().expect("a hash has only allowed characters")
    })
}

/// Cancels `token` and waits until all leases have ended, but at most `timeout`. A successor then need not
/// wait until they expire.
pub async fn release(leases: &Leases, token: &CancellationToken, timeout: Duration) {
    let all = leases.all();
    token.cancel();
    let ended = join_all(all.iter().map(Lease::ended));
    if tokio::time::timeout(timeout, ended).await.is_err() {
        log::info!(
            "leases: Some leases were not released in time; successors wait until they expire."
        );
    }
}
