//! Keeps leases: one on the orders of each pool in this node's zone, and one on roll-outs.
//!
//! Correctness hangs on the first kind only. The second saves work: without it each instance would
//! ask all entry VMs for evidence and propose the same steps, of which all but one come too late.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_contract::State;
use pimento_coordination::Appender;
use pimento_coordination::Follower;
use pimento_coordination::lease;
use pimento_coordination::lease::Fencing;
use pimento_coordination::lease::Lease;
use pimento_coordination::lease::View;
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

/// Tells whether it is this node's turn at work that any node could do.
pub trait Turn: Send + Sync + 'static {
    /// Whether it is.
    fn mine(&self) -> bool;
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
    resource: id::Resource,
    lease: Lease,
    token: CancellationToken,
}

/// The leases that this node holds or waits for. Clones share them.
#[derive(Debug, Clone)]
pub struct Leases {
    zone: id::Zone,
    /// Sorted by resource.
    kept: Arc<Mutex<Vec<Kept>>>,
}

impl Leases {
    /// No leases yet, for a node in `zone`.
    #[must_use]
    pub fn new(zone: id::Zone) -> Self {
        Self {
            zone,
            kept: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Kept>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Resources whose lease is held now, with the fencing number.
    #[must_use]
    pub fn holding(&self) -> Vec<(id::Resource, Fencing)> {
        let kept = self.lock();
        let held = kept
            .iter()
            .map(|k| Some((k.resource.clone(), k.lease.held()?)));
        held.flatten().collect()
    }

    fn find(&self, resource: &id::Resource) -> Option<Fencing> {
        let kept = self.lock();
        let at = kept.binary_search_by(|k| k.resource.cmp(resource)).ok()?;
        kept[at].lease.held()
    }
}

impl Guard for Leases {
    fn held(&self, pool: &id::Pool) -> Option<Fencing> {
        self.find(&resource(pool, &self.zone))
    }
}

impl Turn for Leases {
    /// Whether the lease on roll-outs is held.
    fn mine(&self) -> bool {
        self.find(&rollouts()).is_some()
    }
}

/// The controller that takes the leases, and gives up those of pools that are gone.
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

    fn start(&self, resource: id::Resource) -> Kept {
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
            resource,
            lease,
            token,
        }
    }
}

impl Keeper {
    /// Leases that this node should hold or wait for, sorted.
    fn wanted(&self) -> Vec<id::Resource> {
        let state = self.state.borrow();
        let pools = state.versions().map(|version| &version.pool);
        let mut wanted: Vec<id::Resource> = pools
            .map(|pool| resource(pool, &self.setup.zone))
            .chain([rollouts()])
            .collect();
        wanted.sort();
        wanted.dedup();
        wanted
    }
}

impl Controller for Keeper {
    type Error = Infallible;

    const NAME: &'static str = "leases";

    async fn pass(&mut self) -> Result<Pass, Infallible> {
        let wanted = self.wanted();
        let mut kept = self.leases.lock();
        kept.retain(|k| {
            let stays = wanted.binary_search(&k.resource).is_ok();
            if !stays {
                k.token.cancel();
            }
            stays
        });
        for resource in wanted {
            if let Err(at) = kept.binary_search_by(|k| k.resource.cmp(&resource)) {
                kept.insert(at, self.start(resource));
            }
        }
        drop(kept);
        let rollouts = usize::from(self.leases.mine());
        let all = self.leases.holding().len();
        self.metrics.leases(all.saturating_sub(rollouts), rollouts);
        Ok(Pass::Idle)
    }
}

/// The name under which roll-outs are leased, for the whole deployment.
///
/// # Panics
///
/// Never: the name is valid.
fn rollouts() -> id::Resource {
    "rollouts".parse().expect("the name is valid")
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
    let held = leases.holding().into_iter();
    let resources: Vec<id::Resource> = held.map(|(resource, _)| resource).collect();
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
