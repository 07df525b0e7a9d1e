//! Keeps a lease on the orders of each pool in this node's zone.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_contract::State;
use pimento_platform::Appender;
use pimento_platform::Follower;
use pimento_platform::lease;
use pimento_platform::lease::Fencing;
use pimento_platform::lease::Lease;
use pimento_platform::lease::View;
use pimento_units::id;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::controller::Controller;
use crate::controller::Pass;
use crate::metrics::Metrics;

/// Tells whether this node may give orders to a pool.
pub trait Guard: Send + Sync + 'static {
    /// The fencing number, if the lease of the pool is held now.
    fn held(&self, pool: &id::Pool) -> Option<Fencing>;
}

/// What a [`Keeper`] needs.
#[derive(Debug, Clone)]
pub struct Setup {
    /// This node.
    pub node: id::Node,
    /// Its zone.
    pub zone: id::Zone,
    /// Length and margin of a lease.
    pub lease: lease::Config,
    /// Writes takes.
    pub appender: Appender,
    /// Reads the leases stream.
    pub follower: Follower<View>,
}

#[derive(Debug)]
struct Kept {
    pool: id::Pool,
    resource: id::Resource,
    lease: Lease,
    token: CancellationToken,
}

/// The leases that this node holds or waits for, sorted by pool. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Leases(Arc<Mutex<Vec<Kept>>>);

impl Leases {
    fn lock(&self) -> MutexGuard<'_, Vec<Kept>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Pools whose lease is held now, with the fencing number.
    #[must_use]
    pub fn holding(&self) -> Vec<(id::Pool, Fencing)> {
        let kept = self.lock();
        let held = kept.iter().map(|k| Some((k.pool.clone(), k.lease.held()?)));
        held.flatten().collect()
    }

    fn resources(&self) -> Vec<id::Resource> {
        let kept = self.lock();
        let held = kept.iter().filter(|k| k.lease.held().is_some());
        held.map(|k| k.resource.clone()).collect()
    }
}

impl Guard for Leases {
    fn held(&self, pool: &id::Pool) -> Option<Fencing> {
        let kept = self.lock();
        let at = kept.binary_search_by(|k| k.pool.cmp(pool)).ok()?;
        kept[at].lease.held()
    }
}

/// The controller that takes a lease for each pool with versions, and gives up those of pools that
/// are gone.
#[derive(Debug)]
pub struct Keeper {
    setup: Setup,
    leases: Leases,
    state: watch::Receiver<Arc<State>>,
    metrics: Metrics,
    token: CancellationToken,
}

impl Keeper {
    /// A keeper whose leases are given up with `token`.
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

    fn start(&self, pool: id::Pool) -> Kept {
        let resource = resource(&pool, &self.setup.zone);
        let token = self.token.child_token();
        let lease = Lease::start(
            resource.clone(),
            self.setup.node.clone(),
            self.setup.lease,
            self.setup.appender.clone(),
            self.setup.follower.clone(),
            token.clone(),
        );
        Kept {
            pool,
            resource,
            lease,
            token,
        }
    }
}

impl Controller for Keeper {
    type Error = Infallible;

    const NAME: &'static str = "leases";

    async fn pass(&mut self) -> Result<Pass, Infallible> {
        let wanted = pools(&self.state.borrow());
        let mut kept = self.leases.lock();
        kept.retain(|k| {
            let stays = wanted.binary_search(&k.pool).is_ok();
            if !stays {
                k.token.cancel();
            }
            stays
        });
        for pool in wanted {
            if let Err(at) = kept.binary_search_by(|k| k.pool.cmp(&pool)) {
                kept.insert(at, self.start(pool));
            }
        }
        drop(kept);
        self.metrics.leases(self.leases.holding().len());
        Ok(Pass::Idle)
    }
}

/// Pools with versions, sorted.
fn pools(state: &State) -> Vec<id::Pool> {
    let mut pools: Vec<id::Pool> = state.versions().map(|v| v.pool.clone()).collect();
    pools.sort();
    pools.dedup();
    pools
}

/// The name under which the orders to a pool in a zone are leased.
///
/// # Panics
///
/// Never: the hash of names that are too long together makes a valid name.
#[must_use]
pub fn resource(pool: &id::Pool, zone: &id::Zone) -> id::Resource {
    let plain = format!("orders:{pool}:{zone}");
    plain.parse().unwrap_or_else(|_| {
        let hash = xxh3_64(plain.as_bytes());
        let short = format!("orders:{hash:016x}");
        short.parse().expect("a hash has only allowed characters")
    })
}

/// Waits until the log shows the leases of this node as given up, or until `wait` has passed. A
/// successor then need not wait them out.
pub async fn released(leases: &Leases, setup: &Setup, token: &CancellationToken, wait: Duration) {
    let resources = leases.resources();
    let ends = setup.follower.view(|view| ends(view, &resources));
    token.cancel();
    let deadline = Instant::now() + wait;
    let changed = |view: &View| {
        let now = self::ends(view, &resources);
        let over = now.iter().zip(&ends).all(|(now, before)| now != before);
        over.then_some(())
    };
    if setup.follower.wait(deadline, changed).await.is_none() {
        log::info!("leases: some were not given up in time, successors wait them out");
    }
}

fn ends(view: &View, resources: &[id::Resource]) -> Vec<Option<pimento_units::Wall>> {
    let end = |resource| view.fold().lease(resource).map(|lease| lease.until);
    resources.iter().map(end).collect()
}
