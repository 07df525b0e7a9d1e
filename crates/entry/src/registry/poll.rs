//! Updates the table from the platform's list, the engines' load reports and the peers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use pimento_coordination::vms::List;
use pimento_endpoint::Pool;
use pimento_endpoint::engine::Engine;
use pimento_endpoint::engine::Remote;
use pimento_policy::limit;
use pimento_scheduler::Clock;
use pimento_scheduler::Member;
use pimento_scheduler::Scheduler;
use pimento_units::Moment;
use pimento_units::id;
use pimento_wire::peer::Departure;
use pimento_wire::platform::Vms;
use tokio_util::sync::CancellationToken;

use super::Endpoint;
use super::Kind;
use super::Table;

/// Load reports requested concurrently. Bounds the sockets that polling holds.
const MAX_CONCURRENT_POLLS: usize = 32;

/// Settings of polling.
#[derive(Debug, Clone)]
pub struct Config {
    /// The node's own zone.
    pub zone: id::Zone,
    /// Additional round-trip time to other zones.
    pub zone_delay: Duration,
    /// Polling interval of the list and of engines in the local zone.
    pub interval: Duration,
    /// Minimum time between two polls of an engine in another zone. Such engines get only the work
    /// that the local zone can't carry; polling each of hundreds every second from every node would
    /// load them more than it helps.
    pub remote_interval: Duration,
}

/// The endpoint registry of a node. Clones share it.
#[derive(Debug, Clone)]
pub struct Registry {
    clock: Clock,
    config: Config,
    connections: Pool,
    scheduler: Scheduler,
    table: Arc<Mutex<Table>>,
}

impl Registry {
    /// A registry without endpoints.
    #[must_use]
    pub fn new(clock: Clock, config: Config, connections: Pool, scheduler: Scheduler) -> Self {
        Self {
            clock,
            config,
            connections,
            scheduler,
            table: Arc::default(),
        }
    }

    /// Polls until cancelled, and calls `on_list` with each list.
    pub async fn run(&self, list: impl List, on_list: impl Fn(&Vms), token: CancellationToken) {
        let mut ticks = tokio::time::interval(self.config.interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                _ = ticks.tick() => {}
            }
            match list.list().await {
                Ok(vms) => {
                    on_list(&vms);
                    self.lock().update_list(&vms);
                }
                Err(error) => log::warn!("registry: Keeping the last VM list: {error}."),
            }
            self.poll_loads().await;
        }
    }

    /// Polls the load of all engines that are due, concurrently, and updates the pools.
    pub async fn poll_loads(&self) {
        let engines: Vec<Endpoint> = {
            let table = self.lock();
            let engines = table.endpoints().iter();
            engines.filter(|e| self.is_due(e)).cloned().collect()
        };
        stream::iter(engines)
            .for_each_concurrent(MAX_CONCURRENT_POLLS, |endpoint| self.poll_load(endpoint))
            .await;
        self.update_pools();
    }

    fn is_due(&self, endpoint: &Endpoint) -> bool {
        let local = endpoint.zone == self.config.zone;
        let last_report = endpoint.load.as_ref().map(|(_, at)| *at);
        let is_recent =
            last_report.is_some_and(|at| self.clock.now().since(at) < self.config.remote_interval);
        endpoint.kind == Kind::Engine && (local || !is_recent)
    }

    async fn poll_load(&self, endpoint: Endpoint) {
        let engine = Remote::new(self.connections.clone(), endpoint.address);
        let load = engine.load().await;
        let now = self.clock.now();
        let mut table = self.lock();
        match load {
            Ok(load) => table.record_load(&endpoint.name, load, now),
            Err(fault) => {
                log::debug!(
                    "registry: Can't read the load of {}: {fault}.",
                    endpoint.name
                );
                table.record_failure(&endpoint.name);
            }
        }
    }

    /// Records from any source that endpoints are leaving.
    pub fn record_departures(&self, departures: impl IntoIterator<Item = Departure>) {
        let any_new = {
            let mut table = self.lock();
            let newly_recorded = departures.into_iter().map(|d| table.record_departure(d));
            newly_recorded.fold(false, |any_new, is_new| any_new | is_new)
        };
        if any_new {
            self.update_pools();
        }
    }

    /// The recorded departures, oldest first.
    #[must_use]
    pub fn departures(&self) -> Vec<Departure> {
        self.lock().departures().to_vec()
    }

    /// The endpoint of this name, unless it is leaving.
    #[must_use]
    pub fn get_active(&self, name: &id::Endpoint) -> Option<Endpoint> {
        let table = self.lock();
        let endpoint = table.get(name)?;
        (!table.is_leaving(endpoint)).then(|| endpoint.clone())
    }

    /// A copy of the table, for operators.
    #[must_use]
    pub fn table(&self) -> Table {
        self.lock().clone()
    }

    /// Updates the members of all pools from the table.
    pub fn update_pools(&self) {
        let now = self.clock.now();
        let table = self.table();
        let mut pools: Vec<(id::Pool, Vec<Member>)> = self
            .scheduler
            .pools()
            .into_iter()
            .map(|(name, _)| (name, Vec::new()))
            .collect();
        for endpoint in table.endpoints() {
            let member = self.member(endpoint, table.is_usable(endpoint), now);
            match pools.binary_search_by(|(name, _)| name.cmp(&endpoint.pool)) {
                Ok(index) => pools[index].1.push(member),
                Err(index) => pools.insert(index, (endpoint.pool.clone(), vec![member])),
            }
        }
        for (name, members) in pools {
            self.scheduler.pool(&name).update(members);
        }
    }

    fn member(&self, endpoint: &Endpoint, usable: bool, now: Moment) -> Member {
        let local = endpoint.zone == self.config.zone;
        let load = endpoint.load.as_ref().map(|(load, _)| load);
        let age = endpoint.load_age(now);
        let measured_at = now.before(age);
        let report = load.map(|load| {
            let report = limit::Report {
                running: load.running,
                waiting: load.waiting,
                batch: load.batch,
            };
            (report, measured_at)
        });
        let versions = match endpoint.kind {
            Kind::Engine => Some(load.map_or_else(Vec::new, |load| load.versions.clone())),
            Kind::Service => None,
        };
        Member {
            endpoint: endpoint.name.clone(),
            zone: endpoint.zone.clone(),
            address: endpoint.address,
            usable,
            extra_delay: if local {
                Duration::ZERO
            } else {
                self.config.zone_delay
            },
            versions,
            report,
            kv_capacity: None,
            incarnation: endpoint.incarnation(),
            cold: None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
