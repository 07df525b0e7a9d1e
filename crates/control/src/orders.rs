//! Orders to the engines of this node's zone: brings weights, and has engines hold what the
//! placement says.
//!
//! An order states the wanted result, so that it may be given again: after a lost answer the engine
//! is asked what it holds, and the order is given once more only if that differs.

mod carrier;
mod sent;
mod stock;

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

use self::carrier::Carrier;
use self::sent::Sent;
use self::stock::Stock;
use crate::bucket::Bucket;
use crate::controller::Controller;
use crate::controller::Pass;
use crate::fence;
use crate::fence::Gate;
use crate::leases::Guard;
use crate::metrics::Metrics;
use crate::metrics::Outcome;
use crate::placement;
use crate::placement::Plan;

/// Connects to an engine.
pub trait Dial: Send + Sync + 'static {
    /// A connected engine.
    type Engine: Engine;

    /// The engine at `address`.
    fn dial(&self, address: SocketAddr) -> Self::Engine;
}

/// Settings of the controller of orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The zone whose engines get orders.
    pub zone: id::Zone,
    /// The longest time that an order may take to its engine.
    pub flight: Duration,
    /// How long a withdrawn version stays loaded, so that what runs on it may finish.
    pub drain: Duration,
    /// The most versions that an engine holds.
    pub room: usize,
    /// Time between two calls to the weight store.
    pub interval: Duration,
    /// Calls to the weight store that may come at once.
    pub burst: u32,
}

/// What the controller talks to.
#[derive(Debug)]
pub struct Parts<G, V, W, D> {
    /// Leases.
    pub guard: G,
    /// The list of VMs.
    pub list: V,
    /// The weight store.
    pub store: W,
    /// Engines.
    pub dial: D,
}

/// Engines that get an order at once. One that hangs must not hold up the rest; and loading slows
/// an engine down, so that not all of them do it together.
const AT_ONCE: usize = 2;

/// The controller of orders.
#[derive(Debug)]
pub struct Orders<G, V, W, D> {
    settings: Settings,
    guard: G,
    list: V,
    dial: D,
    carrier: Carrier<W>,
    state: watch::Receiver<Arc<State>>,
    metrics: Metrics,
    stock: Stock,
    sent: Sent,
}

/// An engine that answered.
struct Live<E> {
    engine: E,
    load: Load,
    measured: Instant,
}

impl<G: Guard, V: List, W: Store, D: Dial> Orders<G, V, W, D> {
    /// A controller that has ordered nothing yet.
    pub fn new(
        settings: Settings,
        parts: Parts<G, V, W, D>,
        state: watch::Receiver<Arc<State>>,
        metrics: Metrics,
    ) -> Self {
        let bucket = Bucket::new(settings.interval, settings.burst);
        let stock = Stock::new(bucket, settings.drain);
        let carrier = Carrier::new(parts.store, settings.zone.clone());
        Self {
            settings,
            guard: parts.guard,
            list: parts.list,
            dial: parts.dial,
            carrier,
            state,
            metrics,
            stock,
            sent: Sent::default(),
        }
    }

    fn gate(&self, pool: &id::Pool, fencing: Fencing) -> Gate {
        let held = self.guard.held(pool);
        fence::gate(held, fencing, self.settings.flight, Instant::now())
    }

    /// One pool: what is at hand is ordered, what is missing is fetched for a later pass.
    async fn pool(&mut self, state: &State, pool: &id::Pool, vms: &[Vm]) -> Pass {
        let fencing = state.pool(pool).map_or(Fencing::Ignores, |p| p.fencing);
        if !matches!(self.gate(pool, fencing), Gate::Open(_)) {
            return Pass::Idle;
        }
        let demands = placement::demands(state, pool);
        if demands.is_empty() {
            // Never order an engine to hold nothing: a state without versions is more likely
            // incomplete than meant.
            return Pass::Idle;
        }
        let engines = self.engines(pool, vms).await;
        let reports: Vec<placement::Engine> = engines.iter().map(report).collect();
        let keep = self.stock.draining(state, pool, Instant::now());
        let plans = placement::assign(&reports, &demands, &keep, self.settings.room);
        self.stock.hold(reports.iter().flat_map(|r| &r.held));
        let mut due = Vec::new();
        for (live, plan) in engines.iter().zip(&plans) {
            let versions = self.stock.at_hand(&plan.versions);
            if !self.sent.settled(&live.load, live.measured, &versions) {
                due.push((live, versions));
            }
        }
        let acted = self.give(pool, fencing, due).await;
        let fetching = self.fetch(pool, fencing, &plans);
        if acted || fetching {
            Pass::Acted
        } else {
            Pass::Idle
        }
    }

    /// Gives orders to engines, a few at once; whether any was given.
    async fn give(
        &mut self,
        pool: &id::Pool,
        fencing: Fencing,
        due: Vec<(&Live<D::Engine>, Vec<id::Version>)>,
    ) -> bool {
        let slots = Semaphore::new(AT_ONCE);
        let orders = due.into_iter().map(|(live, versions)| {
            let (this, slots) = (&*self, &slots);
            async move {
                let _slot = slots.acquire().await.ok()?;
                let Gate::Open(number) = this.gate(pool, fencing) else {
                    return None;
                };
                let done = this.order(live, versions.clone(), number).await;
                Some((live, versions, done))
            }
        });
        let given: Vec<_> = join_all(orders).await.into_iter().flatten().collect();
        let acted = !given.is_empty();
        for (live, versions, done) in given {
            if let Some(answered) = done {
                self.sent.note(&live.load, answered, versions);
            }
        }
        acted
    }

    /// Engines of a pool in this zone that answer and are not leaving, sorted by name.
    async fn engines(&self, pool: &id::Pool, vms: &[Vm]) -> Vec<Live<D::Engine>> {
        let wanted = |vm: &&Vm| {
            let mine = vm.zone == self.settings.zone && !vm.leaving;
            mine && vm.role == Role::Engine(pool.clone())
        };
        let addresses = vms
            .iter()
            .filter(wanted)
            .filter_map(|vm| vm.address.parse().ok());
        let calls = addresses.map(|address| async move {
            let engine = self.dial.dial(address);
            let asked = Instant::now();
            let load = engine.load().await.ok()?;
            let age = Duration::from_millis(load.age_ms);
            let measured = asked.checked_sub(age).unwrap_or(asked);
            Some(Live {
                engine,
                load,
                measured,
            })
        });
        let answers = join_all(calls).await.into_iter().flatten();
        let mut engines: Vec<_> = answers.filter(|live| !live.load.leaving).collect();
        engines.sort_by(|a, b| a.load.endpoint.cmp(&b.load.endpoint));
        engines
    }

    /// Gives one order; when it was answered, if it was carried out.
    async fn order(
        &self,
        live: &Live<D::Engine>,
        versions: Vec<id::Version>,
        number: u64,
    ) -> Option<Instant> {
        let endpoint = &live.load.endpoint;
        let count = versions.len();
        let call = live.engine.order(Order::Versions(versions), Some(number));
        let answer = tokio::time::timeout(self.settings.flight, call).await;
        match answer.unwrap_or(Err(Fault::Timeout)) {
            Ok(reply) if reply.accepted => {
                log::info!("orders: {endpoint} holds {count} versions now");
                self.metrics.order(Outcome::Done);
                Some(Instant::now())
            }
            Ok(reply) => {
                let newest = reply.fencing;
                log::warn!("orders: {endpoint} refused number {number}, newest is {newest:?}");
                self.metrics.order(Outcome::Refused);
                None
            }
            Err(fault) => {
                log::warn!("orders: order to {endpoint} in doubt: {fault}");
                self.metrics.order(Outcome::Lost);
                None
            }
        }
    }

    /// Starts to bring a missing version to the zone, within the store's rate.
    fn fetch(&mut self, pool: &id::Pool, fencing: Fencing, plans: &[Plan]) -> bool {
        let planned = plans.iter().flat_map(|plan| &plan.versions);
        let Some(version) = self.stock.missing(planned) else {
            return false;
        };
        if self.carrier.busy() || !self.stock.permit(Instant::now()) {
            return false;
        }
        if !matches!(self.gate(pool, fencing), Gate::Open(_)) {
            return false;
        }
        log::info!("orders: fetching weights of {version}");
        self.carrier.start(version);
        true
    }

    /// Takes note of a fetch that has ended.
    async fn unload(&mut self) {
        let Some((version, result)) = self.carrier.ended().await else {
            return;
        };
        match result {
            Ok(()) => {
                self.metrics.fetch(Outcome::Done);
                self.stock.hold([&version]);
            }
            Err(weights::Error::Refused { retry_after }) => {
                self.metrics.fetch(Outcome::Refused);
                self.stock.block(Instant::now(), retry_after);
            }
            Err(error) => {
                log::warn!("orders: weights of {version} in doubt: {error}");
                self.metrics.fetch(Outcome::Lost);
            }
        }
    }
}

fn report<E>(live: &Live<E>) -> placement::Engine {
    placement::Engine {
        endpoint: live.load.endpoint.clone(),
        held: live.load.versions.clone(),
    }
}

impl<G: Guard, V: List, W: Store, D: Dial> Controller for Orders<G, V, W, D> {
    type Error = vms::Error;

    const NAME: &'static str = "orders";

    async fn pass(&mut self) -> Result<Pass, vms::Error> {
        self.unload().await;
        let state = Arc::clone(&self.state.borrow());
        let mut pools: Vec<id::Pool> = state.versions().map(|v| v.pool.clone()).collect();
        pools.sort();
        pools.dedup();
        pools.retain(|pool| self.guard.held(pool).is_some());
        if pools.is_empty() {
            return Ok(Pass::Idle);
        }
        let vms = self.list.list().await?.vms;
        let mut pass = Pass::Idle;
        for pool in pools {
            if self.pool(&state, &pool, &vms).await == Pass::Acted {
                pass = Pass::Acted;
            }
        }
        Ok(pass)
    }
}
