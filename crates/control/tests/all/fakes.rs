//! Fakes of a configuration, a lease, engines, the VM list and the weight store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use futures::stream::Empty;
use pimento_contract::Change;
use pimento_contract::State;
use pimento_contract::Value;
use pimento_contract::raw::Configuration;
use pimento_contract::raw::File;
use pimento_contract::raw::Input;
use pimento_control::leases::PoolLeases;
use pimento_control::orders::Connector;
use pimento_coordination::lease::Held;
use pimento_coordination::vms;
use pimento_coordination::weights;
use pimento_endpoint::Fault;
use pimento_endpoint::engine;
use pimento_endpoint::engine::Call;
use pimento_endpoint::engine::Event;
use pimento_units::Offset;
use pimento_units::Wall;
use pimento_units::id;
use pimento_wire::api::Completion;
use pimento_wire::engine::Load;
use pimento_wire::engine::Order;
use pimento_wire::engine::Reply;
use pimento_wire::platform::Fetch;
use pimento_wire::platform::Role;
use pimento_wire::platform::Vm;
use pimento_wire::platform::Vms;
use tokio::time::Instant;
use uuid::Uuid;

/// The pool of model engines in the example.
pub const POOL: &str = "pimento-llm";

/// The zone of the fakes.
pub const ZONE: &str = "kig-remera";

const FILES: [&str; 2] = [
    include_str!("../../../../examples/nyabarongo/platform.toml"),
    include_str!("../../../../examples/nyabarongo/contracts.toml"),
];

/// Parses a name of any kind.
pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the name is valid")
}

/// Parses and sorts names of versions.
pub fn versions(names: &[&str]) -> Vec<id::Version> {
    let mut versions: Vec<id::Version> = names.iter().map(|text| name(text)).collect();
    versions.sort();
    versions
}

/// The configuration of the example.
pub fn example() -> State {
    let file = |text: &str| File {
        name: "example".into(),
        text: text.into(),
    };
    let source = Input {
        files: &FILES.map(file),
        known: &State::default(),
    };
    let values = Configuration::try_from(source).expect("the example is valid");
    let mut state = State::default();
    for value in values.values {
        put(&mut state, value);
    }
    state
}

/// Applies a value to the state.
pub fn put(state: &mut State, value: Value) {
    let change = Change {
        id: id::Record(Uuid::now_v7()),
        subject: value.subject(),
        base: state.revision(&value.subject()),
        value: Some(value),
        by: "test".into(),
        at: Wall::from_millis(0),
    };
    let offset = state.offset;
    state.apply(offset, &change);
}

/// Withdraws a version.
pub fn withdraw(state: &mut State, version: &str) {
    let mut value = state.version(&name(version)).cloned().expect("it exists");
    value.status = pimento_contract::version::Status::Withdrawn;
    put(state, Value::Version(value));
}

/// A lease that a test grants.
#[derive(Debug, Clone, Default)]
pub struct FakeLease(Arc<Mutex<Option<Held>>>);

impl FakeLease {
    /// Grants the lease for `span` from now on.
    pub fn grant(&self, number: u64, span: Duration) {
        let since = Instant::now();
        let fencing = Held {
            number: Offset(number),
            until: since + span,
            since,
        };
        *self.0.lock().expect("the lock is not poisoned") = Some(fencing);
    }
}

impl PoolLeases for FakeLease {
    fn fencing(&self, _: &id::Pool) -> Option<Held> {
        let held = *self.0.lock().expect("the lock is not poisoned");
        held.filter(|fencing| Instant::now() < fencing.until)
    }
}

/// How an engine handles orders and reports.
#[derive(Debug, Clone, Copy, Default)]
pub struct Behavior {
    /// It refuses old fencing numbers.
    pub refuses_old_numbers: bool,
    /// Time until the next order is carried out, whether or not its sender still waits.
    pub delay: Duration,
    /// The response to the next order is lost.
    pub response_lost: bool,
    /// Time until the next report is sent.
    pub report_delay: Duration,
    /// Age of the reports.
    pub report_lag: Duration,
}

/// An order that an engine carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CarriedOut {
    /// When it was carried out.
    pub at: Instant,
    /// Its fencing number.
    pub number: u64,
    /// Versions held afterwards.
    pub versions: Vec<id::Version>,
}

#[derive(Debug)]
struct Inner {
    name: id::Endpoint,
    behavior: Behavior,
    initial: Vec<id::Version>,
    held: Vec<id::Version>,
    carried_out: Vec<CarriedOut>,
    received: usize,
    newest_number: u64,
}

/// A fake engine.
#[derive(Debug, Clone)]
pub struct Engine(Arc<Mutex<Inner>>);

impl Engine {
    /// An engine that holds the versions `held`.
    pub fn new(endpoint: &str, held: &[&str]) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            name: name(endpoint),
            behavior: Behavior::default(),
            initial: versions(held),
            held: versions(held),
            carried_out: Vec::new(),
            received: 0,
            newest_number: 0,
        })))
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("the lock is not poisoned")
    }

    /// Changes its behavior.
    pub fn set(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut self.inner().behavior);
    }

    /// Versions held.
    pub fn held(&self) -> Vec<id::Version> {
        self.inner().held.clone()
    }

    /// Orders carried out.
    pub fn carried_out(&self) -> Vec<CarriedOut> {
        self.inner().carried_out.clone()
    }

    /// Orders received, carried out or not.
    pub fn received(&self) -> usize {
        self.inner().received
    }

    /// Number of orders of an earlier holder that were carried out right after one of a later
    /// holder.
    pub fn overtaken(&self) -> usize {
        let carried_out = self.carried_out();
        let pairs = carried_out.windows(2);
        pairs.filter(|pair| pair[1].number < pair[0].number).count()
    }

    fn carry_out(&self, versions: Vec<id::Version>, number: u64) -> Reply {
        let mut inner = self.inner();
        inner.received += 1;
        if inner.behavior.refuses_old_numbers && number < inner.newest_number {
            return Reply {
                accepted: false,
                fencing: Some(inner.newest_number),
            };
        }
        inner.newest_number = inner.newest_number.max(number);
        inner.held.clone_from(&versions);
        inner.carried_out.push(CarriedOut {
            at: Instant::now(),
            number,
            versions,
        });
        Reply {
            accepted: true,
            fencing: None,
        }
    }
}

impl engine::Engine for Engine {
    type Events = Empty<Result<Event, Fault>>;

    async fn complete(&self, _: Call) -> Result<Completion, Fault> {
        Err(Fault::Cancelled)
    }

    async fn stream(&self, _: Call) -> Result<Self::Events, Fault> {
        Err(Fault::Cancelled)
    }

    async fn resume(&self, _: id::Attempt, _: u64) -> Result<Self::Events, Fault> {
        Err(Fault::Cancelled)
    }

    async fn cancel(&self, _: id::Attempt) -> Result<(), Fault> {
        Err(Fault::Cancelled)
    }

    async fn load(&self) -> Result<Load, Fault> {
        let report_delay = std::mem::take(&mut self.inner().behavior.report_delay);
        tokio::time::sleep(report_delay).await;
        let inner = self.inner();
        let measured = Instant::now() - inner.behavior.report_lag;
        let before = inner
            .carried_out
            .iter()
            .rev()
            .find(|carried_out| carried_out.at <= measured);
        let versions = before
            .map_or(&inner.initial, |carried_out| &carried_out.versions)
            .clone();
        Ok(Load {
            endpoint: inner.name.clone(),
            incarnation: 1,
            running: 0,
            waiting: 0,
            batch: 8,
            age_ms: u64::try_from(inner.behavior.report_lag.as_millis()).expect("lags are short"),
            versions,
            leaving: false,
        })
    }

    async fn order(&self, order: Order, fencing: Option<u64>) -> Result<Reply, Fault> {
        let Order::Versions(versions) = order else {
            return Err(Fault::Cancelled);
        };
        let (delay, response_lost) = {
            let behavior = &mut self.inner().behavior;
            (
                std::mem::take(&mut behavior.delay),
                std::mem::take(&mut behavior.response_lost),
            )
        };
        let engine = self.clone();
        // A separate task, since an order in flight is carried out even if its sender has stopped.
        let carrying_out = tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            engine.carry_out(versions, fencing.expect("orders carry a number"))
        });
        let reply = carrying_out.await.expect("the task does not panic");
        if response_lost {
            return Err(Fault::Timeout);
        }
        Ok(reply)
    }
}

/// Engines by port, starting at 1.
#[derive(Debug, Clone)]
pub struct Fleet(pub Vec<Engine>);

impl Connector for Fleet {
    type Engine = Engine;

    fn connect(&self, address: SocketAddr) -> Engine {
        self.0[usize::from(address.port()) - 1].clone()
    }
}

impl vms::List for Fleet {
    async fn list(&self) -> Result<Vms, vms::Error> {
        let vm = |(port, engine): (u16, &Engine)| Vm {
            name: engine.inner().name.as_str().into(),
            zone: name(ZONE),
            address: format!("127.0.0.1:{port}").into(),
            role: Role::Engine(name(POOL)),
            leaving: false,
        };
        let vms = (1..).zip(&self.0).map(vm).collect();
        Ok(Vms { vms })
    }
}

/// A weight store that counts calls and refuses those that come too early.
#[derive(Debug, Clone, Default)]
pub struct Weights {
    calls: Arc<Mutex<Vec<(Instant, id::Version)>>>,
    refusals: Arc<Mutex<usize>>,
    interval: Duration,
    /// How long a fetch takes.
    pub fetch_delay: Duration,
}

impl Weights {
    /// A store that accepts one call per `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            ..Self::default()
        }
    }

    /// Fetched versions, in order.
    pub fn fetched(&self) -> Vec<id::Version> {
        let calls = self.calls.lock().expect("the lock is not poisoned");
        calls.iter().map(|(_, version)| version.clone()).collect()
    }

    /// Number of refused calls.
    pub fn refusals(&self) -> usize {
        *self.refusals.lock().expect("the lock is not poisoned")
    }
}

impl weights::Store for Weights {
    async fn fetch(&self, fetch: Fetch) -> Result<(), weights::Error> {
        tokio::time::sleep(self.fetch_delay).await;
        let mut calls = self.calls.lock().expect("the lock is not poisoned");
        let now = Instant::now();
        let free_at = calls.last().map(|(at, _)| *at + self.interval);
        if let Some(free_at) = free_at.filter(|free_at| now < *free_at) {
            *self.refusals.lock().expect("the lock is not poisoned") += 1;
            return Err(weights::Error::Refused {
                retry_after: free_at - now,
            });
        }
        calls.push((now, fetch.version));
        Ok(())
    }
}
