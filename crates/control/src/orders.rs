//! Orders to the engines of this node's zone: fetches weights into the zone and makes engines load
//! the versions that the placement assigns.
//!
//! An order states the desired result and is idempotent. After a lost response the engine is asked
//! which versions it holds, and the order is sent again only if they differ.

mod accepted;
mod fetcher;
mod inventory;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use pimento_contract::State;
use pimento_contract::service::Fencing;
use pimento_coordination::vms;
use pimento_coordination::vms::List;
use pimento_coordination::weights;
use pimento_coordination::weights::Store;
use pimento_endpoint::Fault;
use pimento_endpoint::engine::Engine;
use pimento_units::id;
use pimento_wire::engine::Load;
use pimento_wire::engine::Order;
use pimento_wire::platform::Role;
use pimento_wire::platform::Vm;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;

use self::accepted::Accepted;
use self::fetcher::Fetcher;
use self::inventory::Inventory;
use crate::bucket::Bucket;
use crate::controller::Controller;
use crate::controller::Pass;
use crate::fence;
use crate::fence::Decision;
use crate::leases::PoolLeases;
use crate::metrics::Metrics;
use crate::metrics::Outcome;
use crate::placement;
use crate::placement::Plan;

/// Connects to an engine.
pub trait Connector: Send + Sync + 'static {
    /// The engine's client.
    type Engine: Engine;

    /// Returns a client of the engine at `address`.
    fn connect(&self, address: SocketAddr) -> Self::Engine;
}

/// Settings of [`Orders`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The zone whose engines get orders.
    pub zone: id::Zone,
    /// Timeout of an order, including its response.
    pub order_timeout: Duration,
    /// How long a withdrawn version stays loaded, so that requests running on it can finish.
    pub drain: Duration,
    /// Maximum number of versions that an engine holds.
    pub max_versions: usize,
    /// Interval between calls to the weight store.
    pub fetch_interval: Duration,
    /// Number of calls to the weight store that may come in a burst.
    pub fetch_burst: u32,
}

/// What the controller uses.
#[derive(Debug)]
pub struct Dependencies<Leases, Vms, Weights, Connect> {
    /// Leases on the orders to pools.
    pub leases: Leases,
    /// The list of VMs.
    pub list: Vms,
    /// The weight store.
    pub store: Weights,
    /// Connects to engines.
    pub connector: Connect,
}

/// Maximum number of orders in flight. More than one, so that an engine that hangs does not delay
/// the others; few, because loading slows an engine down and not all should load at the same time.
const MAX_CONCURRENT_ORDERS: usize = 2;

/// The controller that sends orders to engines.
#[derive(Debug)]
pub struct Orders<Leases, Vms, Weights, Connect> {
    settings: Settings,
    leases: Leases,
    list: Vms,
    connector: Connect,
    fetcher: Fetcher<Weights>,
    state: watch::Receiver<Arc<State>>,
    metrics: Metrics,
    inventory: Inventory,
    accepted: Accepted,
}

/// An engine that responded to the load query.
struct LiveEngine<E> {
    engine: E,
    load: Load,
    measured_at: Instant,
}

impl<Leases: PoolLeases, Vms: List, Weights: Store, Connect: Connector>
    Orders<Leases, Vms, Weights, Connect>
{
    /// A controller that has sent no orders yet.
    pub fn new(
        settings: Settings,
        dependencies: Dependencies<Leases, Vms, Weights, Connect>,
        state: watch::Receiver<Arc<State>>,
        metrics: Metrics,
    ) -> Self {
        let bucket = Bucket::new(settings.fetch_interval, settings.fetch_burst);
        let inventory = Inventory::new(bucket, settings.drain);
        let fetcher = Fetcher::new(dependencies.store, settings.zone.clone());
        Self {
            settings,
            leases: dependencies.leases,
            list: dependencies.list,
            connector: dependencies.connector,
            fetcher,
            state,
            metrics,
            inventory,
            accepted: Accepted::default(),
        }
    }

    fn decide(&self, pool: &id::Pool, fencing: Fencing) -> Decision {
        let held = self.leases.fencing(pool);
        fence::decide(held, fencing, self.settings.order_timeout, Instant::now())
    }

    /// Reconciles one pool: orders versions whose weights are in the zone, and fetches missing ones
    /// for a later pass.
    async fn reconcile_pool(&mut self, state: &State, pool: &id::Pool, vms: &[Vm]) -> Pass {
        let fencing = state.pool(pool).map_or(Fencing::Ignores, |p| p.fencing);
        if !matches!(self.decide(pool, fencing), Decision::Allowed(_)) {
            return Pass::Idle;
        }
        let demands = placement::demands(state, pool);
        if demands.is_empty() {
            // Engines are never ordered to hold no versions: a state without versions is more
            // likely incomplete than intended.
            return Pass::Idle;
        }
        let engines = self.engines(pool, vms).await;
        let reports: Vec<placement::Engine> = engines.iter().map(report).collect();
        let retained = self.inventory.update_draining(state, pool, Instant::now());
        let plans = placement::assign(&reports, &demands, &retained, self.settings.max_versions);
        self.inventory.add(reports.iter().flat_map(|r| &r.held));
        let mut due = Vec::new();
        for (live, plan) in engines.iter().zip(&plans) {
            let versions = self.inventory.available(&plan.versions);
            if !self
                .accepted
                .is_satisfied(&live.load, live.measured_at, &versions)
            {
                due.push((live, versions));
            }
        }
        let acted = self.send_orders(pool, fencing, due).await;
        let fetching = self.start_fetch(pool, fencing, &plans);
        if acted || fetching {
            Pass::Acted
        } else {
            Pass::Idle
        }
    }

    /// Sends orders to engines, [`MAX_CONCURRENT_ORDERS`] at a time. Returns whether any was sent.
    async fn send_orders(
        &mut self,
        pool: &id::Pool,
        fencing: Fencing,
        due: Vec<(&LiveEngine<Connect::Engine>, Vec<id::Version>)>,
    ) -> bool {
        let slots = Semaphore::new(MAX_CONCURRENT_ORDERS);
        let orders = due.into_iter().map(|(live, versions)| {
            let (this, slots) = (&*self, &slots);
            async move {
                let _slot = slots.acquire().await.ok()?;
                let Decision::Allowed(number) = this.decide(pool, fencing) else {
                    return None;
                };
                let accepted_at = this.send_order(live, versions.clone(), number).await;
                Some((live, versions, accepted_at))
            }
        });
        let sent: Vec<_> = join_all(orders).await.into_iter().flatten().collect();
        let acted = !sent.is_empty();
        for (live, versions, accepted_at) in sent {
            if let Some(accepted_at) = accepted_at {
                self.accepted.record(&live.load, accepted_at, versions);
            }
        }
        acted
    }

    /// Engines of a pool in this zone that respond and are not leaving, sorted by name.
    async fn engines(&self, pool: &id::Pool, vms: &[Vm]) -> Vec<LiveEngine<Connect::Engine>> {
        let wanted = |vm: &&Vm| {
            let in_zone = vm.zone == self.settings.zone && !vm.leaving;
            in_zone && vm.role == Role::Engine(pool.clone())
        };
        let addresses = vms
            .iter()
            .filter(wanted)
            .filter_map(|vm| vm.address.parse().ok());
        let calls = addresses.map(|address| async move {
            let engine = self.connector.connect(address);
            let asked_at = Instant::now();
            let load = engine.load().await.ok()?;
            let age = Duration::from_millis(load.age_ms);
            let measured_at = asked_at.checked_sub(age).unwrap_or(asked_at);
            Some(LiveEngine {
                engine,
                load,
                measured_at,
            })
        });
        let answers = join_all(calls).await.into_iter().flatten();
        let mut engines: Vec<_> = answers.filter(|live| !live.load.leaving).collect();
        engines.sort_by(|a, b| a.load.endpoint.cmp(&b.load.endpoint));
        engines
    }

    /// Sends one order. Returns when the engine's acceptance arrived, if it accepted.
    async fn send_order(
        &self,
        live: &LiveEngine<Connect::Engine>,
        versions: Vec<id::Version>,
        number: u64,
    ) -> Option<Instant> {
        let endpoint = &live.load.endpoint;
        let count = versions.len();
        let call = live.engine.order(Order::Versions(versions), Some(number));
        let answer = tokio::time::timeout(self.settings.order_timeout, call).await;
        match answer.unwrap_or(Err(Fault::Timeout)) {
            Ok(reply) if reply.accepted => {
                log::info!("orders: {endpoint} accepted an order to hold {count} versions.");
                self.metrics.record_order(Outcome::Done);
                Some(Instant::now())
            }
            Ok(reply) => {
                let newest = reply.fencing;
                log::warn!(
                    "orders: {endpoint} refused fencing number {number}; its newest is {newest:?}."
                );
                self.metrics.record_order(Outcome::Refused);
                None
            }
            Err(fault) => {
                log::warn!("orders: An order to {endpoint} may have failed: {fault}.");
                self.metrics.record_order(Outcome::Unknown);
                None
            }
        }
    }

    /// Starts to fetch a missing version into the zone, within the store's rate limit. Returns
    /// whether a fetch was started.
    fn start_fetch(&mut self, pool: &id::Pool, fencing: Fencing, plans: &[Plan]) -> bool {
        let planned = plans.iter().flat_map(|plan| &plan.versions);
        let Some(version) = self.inventory.first_missing(planned) else {
            return false;
        };
        if self.fetcher.is_fetching() || !self.inventory.try_acquire_fetch(Instant::now()) {
            return false;
        }
        if !matches!(self.decide(pool, fencing), Decision::Allowed(_)) {
            return false;
        }
        log::info!("orders: Fetching the weights of {version}.");
        self.fetcher.start(version);
        true
    }

    /// Records the result of a finished fetch.
    async fn collect_fetch(&mut self) {
        let Some((version, result)) = self.fetcher.take_finished().await else {
            return;
        };
        match result {
            Ok(()) => {
                self.metrics.record_fetch(Outcome::Done);
                self.inventory.add([&version]);
            }
            Err(weights::Error::Refused { retry_after }) => {
                self.metrics.record_fetch(Outcome::Refused);
                self.inventory.block(Instant::now(), retry_after);
            }
            Err(error) => {
                log::warn!("orders: Fetching the weights of {version} may have failed: {error}.");
                self.metrics.record_fetch(Outcome::Unknown);
            }
        }
    }
}

fn report<E>(live: &LiveEngine<E>) -> placement::Engine {
    placement::Engine {
        endpoint: live.load.endpoint.clone(),
        held: live.load.versions.clone(),
    }
}

impl<Leases: PoolLeases, Vms: List, Weights: Store, Connect: Connector> Controller
    for Orders<Leases, Vms, Weights, Connect>
{
    type Error = vms::Error;

    const NAME: &'static str = "orders";

    async fn pass(&mut self) -> Result<Pass, vms::Error> {
        self.collect_fetch().await;
        let state = Arc::clone(&self.state.borrow());
        let mut pools: Vec<id::Pool> = state.versions().map(|v| v.pool.clone()).collect();
        pools.sort();
        pools.dedup();
        pools.retain(|pool| self.leases.fencing(pool).is_some());
        if pools.is_empty() {
            return Ok(Pass::Idle);
        }
        let vms = self.list.list().await?.vms;
        let mut pass = Pass::Idle;
        for pool in pools {
            if self.reconcile_pool(&state, &pool, &vms).await == Pass::Acted {
                pass = Pass::Acted;
            }
        }
        Ok(pass)
    }
}
