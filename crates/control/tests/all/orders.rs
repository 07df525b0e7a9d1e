//! Orders to engines with lost responses, lagging reports, frozen holders and rate limits.

use std::sync::Arc;
use std::time::Duration;

use pimento_contract::State;
use pimento_contract::Value;
use pimento_contract::service::Fencing;
use pimento_contract::service::Pool;
use pimento_control::controller::Controller;
use pimento_control::controller::Pass;
use pimento_control::metrics::Metrics;
use pimento_control::orders::Dependencies;
use pimento_control::orders::Orders;
use pimento_control::orders::Settings;
use pimento_units::id;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::fakes::Engine;
use crate::fakes::FakeLease;
use crate::fakes::Fleet;
use crate::fakes::POOL;
use crate::fakes::Weights;
use crate::fakes::ZONE;
use crate::fakes::example;
use crate::fakes::name;
use crate::fakes::put;
use crate::fakes::versions;
use crate::fakes::withdraw;

const LEASE_DURATION: Duration = Duration::from_secs(15);
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

const ALL: [&str; 5] = [
    "pimento-base@1",
    "pimento-base@2",
    "pimento-large@1",
    "pimento-mini@1",
    "pimento-mini@2",
];

/// One instance of the controller.
struct Instance {
    orders: Orders<FakeLease, Fleet, Weights, Fleet>,
    lease: FakeLease,
    state: watch::Sender<Arc<State>>,
}

impl Instance {
    fn new(fleet: &Fleet, store: &Weights, state: State, settings: Settings) -> Self {
        let lease = FakeLease::default();
        let (sender, receiver) = watch::channel(Arc::new(state));
        let dependencies = Dependencies {
            leases: lease.clone(),
            list: fleet.clone(),
            store: store.clone(),
            connector: fleet.clone(),
        };
        let metrics = Metrics::new().expect("metrics have valid names");
        Self {
            orders: Orders::new(settings, dependencies, receiver, metrics),
            lease,
            state: sender,
        }
    }

    async fn pass(&mut self) -> Pass {
        self.orders.pass().await.expect("the list responds")
    }

    /// Runs passes until nothing is left to do.
    async fn settle(&mut self) {
        for _ in 0..100 {
            if self.pass().await == Pass::Idle {
                return;
            }
            tokio::time::advance(Duration::from_millis(10)).await;
        }
        panic!("the controller does not become idle");
    }
}

fn settings() -> Settings {
    Settings {
        zone: name(ZONE),
        order_timeout: ORDER_TIMEOUT,
        drain: Duration::ZERO,
        max_versions: 8,
        fetch_interval: Duration::from_secs(10),
        fetch_burst: 2,
    }
}

fn fleet(held: &[&str]) -> Fleet {
    Fleet(vec![
        Engine::new("engine-a", held),
        Engine::new("engine-b", held),
    ])
}

fn store() -> Weights {
    Weights::new(Duration::ZERO)
}

fn all_without(version: &str) -> Vec<id::Version> {
    let others: Vec<&str> = ALL.into_iter().filter(|other| *other != version).collect();
    versions(&others)
}

#[tokio::test(start_paused = true)]
async fn engines_load_the_versions_in_service() {
    let (fleet, store) = (fleet(&["pimento-mini@1"]), store());
    let settings = Settings {
        fetch_burst: 5,
        ..settings()
    };
    let mut instance = Instance::new(&fleet, &store, example(), settings);
    assert_eq!(
        instance.pass().await,
        Pass::Idle,
        "no orders without the lease"
    );
    assert_eq!(fleet.0[0].received(), 0);
    instance.lease.grant(1, Duration::from_mins(10));
    run_for(&mut instance, Duration::from_secs(20)).await;
    for engine in &fleet.0 {
        assert_eq!(engine.held(), versions(&ALL));
    }
    assert_eq!(
        store.fetched().len(),
        4,
        "versions in the zone are not fetched again"
    );
    let received = fleet.0[0].received();
    run_for(&mut instance, Duration::from_secs(20)).await;
    assert_eq!(fleet.0[0].received(), received, "no order is sent twice");
}

/// A version is withdrawn while calls run on it. Engines must hold it until the drain time has
/// passed; if it were dropped immediately, those calls would be interrupted.
#[tokio::test(start_paused = true)]
async fn a_withdrawn_version_is_dropped_after_its_drain() {
    let (fleet, store) = (fleet(&ALL), store());
    let settings = Settings {
        drain: Duration::from_mins(10),
        ..settings()
    };
    let mut state = example();
    let mut instance = Instance::new(&fleet, &store, state.clone(), settings);
    instance.lease.grant(1, Duration::from_hours(1));
    withdraw(&mut state, "pimento-base@1");
    instance.state.send_replace(Arc::new(state));
    instance.settle().await;
    assert_eq!(fleet.0[0].held(), versions(&ALL));
    tokio::time::advance(Duration::from_mins(11)).await;
    instance.settle().await;
    assert_eq!(fleet.0[0].held(), all_without("pimento-base@1"));
}

/// The weight store hangs while a version is fetched, and one engine hangs on an order. When
/// another version is withdrawn meanwhile, the other engine must still get its order.
#[tokio::test(start_paused = true)]
async fn a_hung_store_or_engine_delays_no_other_engine() {
    let fleet = fleet(&ALL[..4]);
    let mut store = store();
    store.fetch_delay = Duration::from_hours(1);
    let mut state = example();
    let mut instance = Instance::new(&fleet, &store, state.clone(), settings());
    instance.lease.grant(1, Duration::from_hours(2));
    run_for(&mut instance, Duration::from_secs(3)).await;
    withdraw(&mut state, "pimento-base@1");
    instance.state.send_replace(Arc::new(state));
    fleet.0[0].set(|behavior| behavior.delay = Duration::from_mins(10));
    let started = Instant::now();
    let result = tokio::time::timeout(ORDER_TIMEOUT.mul_f64(0.5), instance.pass()).await;
    assert!(result.is_err(), "the first engine still hangs");
    assert_eq!(fleet.0[1].held(), versions(&ALL[1..4]));
    assert!(started.elapsed() < ORDER_TIMEOUT);
    run_for(&mut instance, Duration::from_hours(1)).await;
    assert_eq!(
        fleet.0[1].held(),
        versions(&ALL[1..]),
        "the weights arrived in the end"
    );
}

/// The engine carries out an order and its response is lost. The next pass asks the engine. If the
/// engine reports the result, no order is sent; if its report is older than the order, the same
/// order is sent once more, which changes nothing.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_of_an_order_does_no_harm() {
    for (lag, max_orders) in [(Duration::ZERO, 1), (Duration::from_secs(3), 2)] {
        let (fleet, store) = (Fleet(vec![Engine::new("engine-a", &ALL)]), store());
        let mut state = example();
        withdraw(&mut state, "pimento-base@1");
        let mut instance = Instance::new(&fleet, &store, state, settings());
        instance.lease.grant(1, LEASE_DURATION);
        tokio::time::advance(ORDER_TIMEOUT.min(LEASE_DURATION / 2)).await;
        fleet.0[0].set(|behavior| {
            behavior.response_lost = true;
            behavior.report_lag = lag;
        });
        instance.settle().await;
        tokio::time::advance(Duration::from_secs(4)).await;
        instance.settle().await;
        assert_eq!(fleet.0[0].held(), all_without("pimento-base@1"));
        assert!(fleet.0[0].received() <= max_orders, "lag {lag:?}");
    }
}

/// An engine takes seconds to load a version and its reports lag, so the reports right after its
/// response were measured before the version was loaded. Acting on them would repeat the same
/// order.
#[tokio::test(start_paused = true)]
async fn a_report_older_than_the_response_does_not_repeat_an_order() {
    let (fleet, store) = (Fleet(vec![Engine::new("engine-a", &ALL)]), store());
    let mut state = example();
    withdraw(&mut state, "pimento-base@1");
    let mut instance = Instance::new(&fleet, &store, state, settings());
    instance.lease.grant(1, Duration::from_hours(1));
    fleet.0[0].set(|behavior| {
        behavior.delay = Duration::from_secs(5);
        behavior.report_lag = Duration::from_secs(3);
    });
    run_for(&mut instance, Duration::from_secs(20)).await;
    assert_eq!(fleet.0[0].held(), all_without("pimento-base@1"));
    assert_eq!(fleet.0[0].received(), 1);
}

/// The engines' behavior and the pool's fencing setting.
struct Case {
    refuses_old_numbers: bool,
    fencing: Fencing,
}

const CASES: [Case; 2] = [
    Case {
        refuses_old_numbers: true,
        fencing: Fencing::Refuses,
    },
    Case {
        refuses_old_numbers: false,
        fencing: Fencing::Ignores,
    },
];

fn state(fencing: Fencing) -> State {
    let mut state = example();
    let pool = Pool {
        name: name(POOL),
        fencing,
    };
    put(&mut state, Value::Pool(pool));
    state
}

/// An old holder with the configuration from before a withdrawal, and its successor with the
/// configuration after it.
fn old_and_new_holder(fleet: &Fleet, case: &Case, order_timeout: Duration) -> (Instance, Instance) {
    fleet.0[0].set(|behavior| behavior.refuses_old_numbers = case.refuses_old_numbers);
    let settings = Settings {
        order_timeout,
        ..settings()
    };
    let before = state(case.fencing);
    let mut after = before.clone();
    withdraw(&mut after, "pimento-base@1");
    let old = Instance::new(fleet, &store(), before, settings.clone());
    let new = Instance::new(fleet, &store(), after, settings);
    (old, new)
}

/// The holder queries an engine and is then frozen until after its lease. When it resumes with an
/// order to send, its lease has expired: it must not send the order, whether or not the engine
/// would refuse it.
#[tokio::test(start_paused = true)]
async fn a_holder_frozen_before_an_order_does_not_send_it() {
    for case in CASES {
        let fleet = Fleet(vec![Engine::new("engine-a", &ALL)]);
        let (_, mut holder) = old_and_new_holder(&fleet, &case, Duration::ZERO);
        holder.lease.grant(1, LEASE_DURATION);
        fleet.0[0].set(|behavior| behavior.report_delay = LEASE_DURATION + Duration::from_secs(1));
        assert_eq!(holder.pass().await, Pass::Idle);
        assert_eq!(fleet.0[0].received(), 0);
        holder.lease.grant(2, LEASE_DURATION);
        assert_eq!(holder.pass().await, Pass::Acted, "it had an order to send");
    }
}

/// An order is in flight when its holder's lease ends, and arrives within the order timeout. The
/// successor acquires the lease and orders other versions. An engine that refuses old numbers
/// refuses the late order; for one that ignores them the successor waits, so that its own order is
/// last. Without that wait the late order would override the successor's until the next report.
#[tokio::test(start_paused = true)]
async fn a_late_order_never_overtakes_the_successors() {
    for case in CASES {
        assert_eq!(overtaken(&case, ORDER_TIMEOUT).await, 0);
    }
    let [_, ignoring] = &CASES;
    assert_eq!(overtaken(ignoring, Duration::from_millis(1)).await, 1);
}

async fn overtaken(case: &Case, order_timeout: Duration) -> usize {
    let fleet = Fleet(vec![Engine::new("engine-a", &initial_versions())]);
    let (old, mut new) = old_and_new_holder(&fleet, case, order_timeout);
    old.lease.grant(1, LEASE_DURATION);
    if case.fencing == Fencing::Ignores {
        tokio::time::advance(order_timeout).await;
        old.lease.grant(1, LEASE_DURATION);
        tokio::time::advance(Duration::from_millis(2).min(order_timeout)).await;
    }
    // The old holder sends its order and is frozen, so it no longer waits for the response.
    fleet.0[0].set(|behavior| behavior.delay = ORDER_TIMEOUT.mul_f64(0.9));
    let frozen = tokio::time::timeout(Duration::from_millis(5), send_old_order(&fleet, 1)).await;
    assert!(frozen.is_err(), "the order is still in flight");
    drop(old);
    tokio::time::advance(LEASE_DURATION).await;
    new.lease.grant(2, Duration::from_hours(1));
    for _ in 0..40 {
        new.pass().await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let expected = all_without("pimento-base@1");
    assert_eq!(
        fleet.0[0].held(),
        expected,
        "the successor's order is in effect at the end"
    );
    fleet.0[0].overtaken()
}

/// Sends the old holder's order: all versions of its configuration.
async fn send_old_order(fleet: &Fleet, number: u64) {
    use pimento_endpoint::engine::Engine as _;
    let order = pimento_wire::engine::Order::Versions(versions(&ALL));
    let sent = fleet.0[0].order(order, Some(number)).await;
    sent.expect("the engine responds");
}

fn initial_versions() -> Vec<&'static str> {
    vec!["pimento-mini@1"]
}

/// Two holders of a zone follow one another, and both miss weights. The store accepts one call per
/// ten seconds. Each version is fetched, and a refusal by the store is honoured: the new holder
/// does not know how much of the rate the old one has used, and may be refused once but not
/// repeatedly.
#[tokio::test(start_paused = true)]
async fn the_weight_stores_rate_is_kept() {
    let fleet = fleet(&["pimento-mini@1"]);
    let store = Weights::new(Duration::from_secs(10));
    let settings = Settings {
        fetch_burst: 1,
        ..settings()
    };
    let mut first = Instance::new(&fleet, &store, example(), settings.clone());
    first.lease.grant(1, Duration::from_secs(12));
    run_for(&mut first, Duration::from_secs(12)).await;
    let mut second = Instance::new(&fleet, &store, example(), settings);
    second.lease.grant(2, Duration::from_hours(1));
    run_for(&mut second, Duration::from_mins(1)).await;
    assert_eq!(fleet.0[0].held(), versions(&ALL));
    assert!(store.refusals() <= 1, "{} refusals", store.refusals());
}

async fn run_for(instance: &mut Instance, time: Duration) {
    let seconds = time.as_secs();
    for _ in 0..seconds {
        instance.pass().await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}
