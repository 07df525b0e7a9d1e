//! Fakes at the interfaces: a configuration, a lease, engines, the VM list and the weight store.

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
use pimento_contract::raw::Source;
use pimento_control::leases::Guard;
use pimento_control::orders::Dial;
use pimento_coordination::lease::Fencing;
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

/// A name of any kind.
pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the name is valid")
}

/// Names of versions, sorted.
pub fn versions(names: &[&str]) -> Vec<id::Version> {
    let mut versions: Vec<id::Version> = names.iter().map(|text| name(text)).collect();
    versions.sort();
    versions
}

/// The example's configuration.
pub fn example() -> State {
    let file = |text: &str| File {
        name: "example".into(),
        text: text.into(),
    };
    let source = Source {
        files: &FILES.map(file),
        known: &State::default(),
    };
    let values = Configuration::try_from(source).expect("the example is whole");
    let mut state = State::default();
    for value in values.values {
        put(&mut state, value);
    }
    state
}

/// Puts a value in force.
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

/// A lease that a test gives and takes.
#[derive(Debug, Clone, Default)]
pub struct Hold(Arc<Mutex<Option<Fencing>>>);

impl Hold {
    /// Gives the lease from now on.
    pub fn give(&self, number: u64, span: Duration) {
        let since = Instant::now();
        let fencing = Fencing {
            number: Offset(number),
            until: since + span,
            since,
        };
        *self.0.lock().expect("no test panics in here") = Some(fencing);
    }
}

impl Guard for Hold {
    fn held(&self, _: &id::Pool) -> Option<Fencing> {
        let held = *self.0.lock().expect("no test panics in here");
        held.filter(|fencing| Instant::now() < fencing.until)
    }
}

/// What an engine does with the next order or report.
#[derive(Debug, Clone, Copy, Default)]
pub struct Habit {
    /// Refuses old fencing numbers.
    pub refuses: bool,
    /// The next order lands so long after it was sent, whether its sender still waits or not.
    pub flight: Duration,
    /// The answer to the next order is lost.
    pub lost: bool,
    /// The next report takes so long.
    pub slow: Duration,
    /// Reports are so old.
    pub lag: Duration,
}

/// An order that an engine carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Done {
    /// When.
    pub at: Instant,
    /// Its fencing number.
    pub number: u64,
    /// Versions held afterwards.
    pub versions: Vec<id::Version>,
}

#[derive(Debug)]
struct Inner {
    name: id::Endpoint,
    habit: Habit,
    first: Vec<id::Version>,
    held: Vec<id::Version>,
    done: Vec<Done>,
    received: usize,
    newest: u64,
}

/// An engine.
#[derive(Debug, Clone)]
pub struct Engine(Arc<Mutex<Inner>>);

impl Engine {
    /// An engine that holds `versions`.
    pub fn new(endpoint: &str, held: &[&str]) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            name: name(endpoint),
            habit: Habit::default(),
            first: versions(held),
            held: versions(held),
            done: Vec::new(),
            received: 0,
            newest: 0,
        })))
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("no test panics in here")
    }

    /// Changes its habits.
    pub fn set(&self, change: impl FnOnce(&mut Habit)) {
        change(&mut self.inner().habit);
    }

    /// Versions held.
    pub fn held(&self) -> Vec<id::Version> {
        self.inner().held.clone()
    }

    /// Orders carried out.
    pub fn done(&self) -> Vec<Done> {
        self.inner().done.clone()
    }

    /// Orders received, carried out or not.
    pub fn received(&self) -> usize {
        self.inner().received
    }

    /// Orders of an earlier holder that were carried out after one of a later holder.
    pub fn overtaken(&self) -> usize {
        let done = self.done();
        let pairs = done.windows(2);
        pairs.filter(|pair| pair[1].number < pair[0].number).count()
    }

    fn land(&self, versions: Vec<id::Version>, number: u64) -> Reply {
        let mut inner = self.inner();
        inner.received += 1;
        if inner.habit.refuses && number < inner.newest {
            return Reply {
                accepted: false,
                fencing: Some(inner.newest),
            };
        }
        inner.newest = inner.newest.max(number);
        inner.held.clone_from(&versions);
        inner.done.push(Done {
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
        let slow = std::mem::take(&mut self.inner().habit.slow);
        tokio::time::sleep(slow).await;
        let inner = self.inner();
        let measured = Instant::now() - inner.habit.lag;
        let before = inner.done.iter().rev().find(|done| done.at <= measured);
        let versions = before.map_or(&inner.first, |done| &done.versions).clone();
        Ok(Load {
            endpoint: inner.name.clone(),
            incarnation: 1,
            running: 0,
            waiting: 0,
            batch: 8,
            age_ms: u64::try_from(inner.habit.lag.as_millis()).expect("lags are short"),
            versions,
            leaving: false,
        })
    }

    async fn order(&self, order: Order, fencing: Option<u64>) -> Result<Reply, Fault> {
        let Order::Versions(versions) = order else {
            return Err(Fault::Cancelled);
        };
        let (flight, lost) = {
            let habit = &mut self.inner().habit;
            (
                std::mem::take(&mut habit.flight),
                std::mem::take(&mut habit.lost),
            )
        };
        let engine = self.clone();
        // In a task of its own: an order on its way lands though its sender is gone.
        let landing = tokio::spawn(async move {
            tokio::time::sleep(flight).await;
            engine.land(versions, fencing.expect("orders carry a number"))
        });
        let reply = landing.await.expect("landing does not panic");
        if lost {
            return Err(Fault::Timeout);
        }
        Ok(reply)
    }
}

/// Engines by port, from 1 on.
#[derive(Debug, Clone)]
pub struct Fleet(pub Vec<Engine>);

impl Dial for Fleet {
    type Engine = Engine;

    fn dial(&self, address: SocketAddr) -> Engine {
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

/// A weight store that counts calls and refuses those that come too soon.
#[derive(Debug, Clone, Default)]
pub struct Weights {
    calls: Arc<Mutex<Vec<(Instant, id::Version)>>>,
    refusals: Arc<Mutex<usize>>,
    interval: Duration,
    /// How long a fetch takes.
    pub slow: Duration,
}

impl Weights {
    /// A store that takes one call each `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            ..Self::default()
        }
    }

    /// Versions fetched, in order.
    pub fn fetched(&self) -> Vec<id::Version> {
        let calls = self.calls.lock().expect("no test panics in here");
        calls.iter().map(|(_, version)| version.clone()).collect()
    }

    /// Calls refused.
    pub fn refusals(&self) -> usize {
        *self.refusals.lock().expect("no test panics in here")
    }
}

impl weights::Store for Weights {
    async fn fetch(&self, fetch: Fetch) -> Result<(), weights::Error> {
        tokio::time::sleep(self.slow).await;
        let mut calls = self.calls.lock().expect("no test panics in here");
        let now = Instant::now();
        let free = calls.last().map(|(at, _)| *at + self.interval);
        if let Some(free) = free.filter(|free| now < *free) {
            *self.refusals.lock().expect("no test panics in here") += 1;
            return Err(weights::Error::Refused {
                retry_after: free - now,
            });
        }
        calls.push((now, fetch.version));
        Ok(())
    }
}
