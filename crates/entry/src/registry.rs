//! Decides which endpoints may take new work.
//!
//! Three sources are merged: the platform's list, which lags; the endpoints' load reports; and
//! announcements of other entry VMs. An endpoint that any of them reports as leaving gets no new
//! work for the rest of that incarnation. A list that is suddenly empty or much shorter is
//! distrusted: endpoints that it lacks stay in use as long as they answer.
//!
//! [`Table`] decides without a clock or connections; [`poll`] updates it.

pub mod poll;

use std::net::SocketAddr;
use std::time::Duration;

use pimento_units::Moment;
use pimento_units::id;
use pimento_wire::engine::Load;
use pimento_wire::peer::Departure;
use pimento_wire::platform::Role;
use pimento_wire::platform::Vms;

/// A list is distrusted if more than one in this many of the known endpoints are missing from it.
/// Replacing VMs one by one, or losing a rack of a zone, affects less than half.
const MAX_MISSING_DIVISOR: usize = 2;

/// Consecutive failed load reports from which an engine gets no new work. One lost packet fails one
/// report; a dead engine fails all.
const UNRESPONSIVE_AFTER: u32 = 3;

/// Maximum number of stored departures. About 120 VMs are replaced on an ordinary day.
const MAX_DEPARTURES: usize = 1_024;

/// Kind of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A model engine, which reports its load.
    Engine,
    /// A replica of a plain service, which reports no load.
    Service,
}

/// One endpoint as this node knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Name.
    pub name: id::Endpoint,
    /// Pool.
    pub pool: id::Pool,
    /// Zone.
    pub zone: id::Zone,
    /// Address.
    pub address: SocketAddr,
    /// Engine or service.
    pub kind: Kind,
    /// The latest load report and when it was received.
    pub load: Option<(Load, Moment)>,
    /// Consecutive failed load reports.
    failures: u32,
    listed: bool,
    leaving: bool,
}

impl Endpoint {
    /// The incarnation; zero for services, and for engines while unknown.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.load.as_ref().map_or(0, |(load, _)| load.incarnation)
    }

    /// Age of the engine's load figures; the maximum if there are none.
    #[must_use]
    pub fn load_age(&self, now: Moment) -> Duration {
        self.load.as_ref().map_or(Duration::MAX, |(load, at)| {
            now.since(*at) + Duration::from_millis(load.age_ms)
        })
    }

    fn is_responsive(&self) -> bool {
        match self.kind {
            Kind::Engine => self.load.is_some() && self.failures < UNRESPONSIVE_AFTER,
            Kind::Service => true,
        }
    }
}

/// The known endpoints, sorted by name, and the recorded departures.
#[derive(Debug, Clone, Default)]
pub struct Table {
    endpoints: Vec<Endpoint>,
    /// The recorded departures, sorted for lookup.
    sorted_departures: Vec<Departure>,
    /// The same departures, oldest first.
    departures: Vec<Departure>,
    list_distrusted: bool,
}

impl Table {
    /// Merges a list of the platform.
    pub fn update_list(&mut self, vms: &Vms) {
        let mut listed: Vec<Endpoint> = vms.vms.iter().filter_map(parse_endpoint).collect();
        listed.sort_by(|one, other| one.name.cmp(&other.name));
        listed.dedup_by(|one, other| one.name == other.name);
        let missing = self.endpoints.iter().filter(|e| e.listed);
        let missing = missing
            .filter(|e| position(&listed, &e.name).is_none())
            .count();
        let known = self.endpoints.iter().filter(|e| e.listed).count();
        self.list_distrusted =
            missing * MAX_MISSING_DIVISOR > known || (self.list_distrusted && listed.is_empty());
        if self.list_distrusted {
            log::warn!(
                "registry: The VM list lacks {missing} of {known} endpoints; removing none."
            );
        }
        for endpoint in &mut self.endpoints {
            endpoint.listed &= self.list_distrusted;
        }
        for endpoint in listed {
            self.upsert(endpoint);
        }
        self.endpoints.retain(|e| e.listed);
    }

    fn upsert(&mut self, new: Endpoint) {
        if new.leaving {
            let incarnation = self.get(&new.name).map_or(0, Endpoint::incarnation);
            self.record_departure(Departure {
                endpoint: new.name.clone(),
                incarnation,
            });
        }
        let Some(index) = position(&self.endpoints, &new.name) else {
            let index = self.endpoints.partition_point(|e| e.name < new.name);
            self.endpoints.insert(index, new);
            return;
        };
        let known = &mut self.endpoints[index];
        known.listed = true;
        known.leaving = new.leaving;
        if known.address != new.address {
            known.address = new.address;
            known.load = None;
        }
        known.pool = new.pool;
        known.zone = new.zone;
    }

    /// Records the load report read at an engine's address. A report that names another endpoint
    /// counts as failed: the address was reassigned to a new VM.
    pub fn record_load(&mut self, name: &id::Endpoint, load: Load, now: Moment) {
        let Some(index) = position(&self.endpoints, name) else {
            return;
        };
        if load.endpoint != *name {
            self.record_failure(name);
            return;
        }
        if load.leaving {
            self.record_departure(Departure {
                endpoint: name.clone(),
                incarnation: load.incarnation,
            });
        }
        let endpoint = &mut self.endpoints[index];
        endpoint.failures = 0;
        endpoint.load = Some((load, now));
    }

    /// Records that the load report of an engine could not be read.
    pub fn record_failure(&mut self, name: &id::Endpoint) {
        if let Some(index) = position(&self.endpoints, name) {
            let endpoint = &mut self.endpoints[index];
            endpoint.failures = endpoint.failures.saturating_add(1);
        }
    }

    /// Records from any source that an endpoint is leaving. True if that was not known.
    pub fn record_departure(&mut self, departure: Departure) -> bool {
        if self.sorted_departures.binary_search(&departure).is_ok() {
            return false;
        }
        log::info!(
            "registry: {} is leaving and gets no new work.",
            departure.endpoint
        );
        if self.departures.len() == MAX_DEPARTURES {
            let oldest = self.departures.remove(0);
            self.sorted_departures.retain(|known| *known != oldest);
        }
        let index = self
            .sorted_departures
            .partition_point(|known| *known < departure);
        self.sorted_departures.insert(index, departure.clone());
        self.departures.push(departure);
        true
    }

    /// The recorded departures, oldest first.
    #[must_use]
    pub fn departures(&self) -> &[Departure] {
        &self.departures
    }

    /// Whether an endpoint may take new work.
    #[must_use]
    pub fn is_usable(&self, endpoint: &Endpoint) -> bool {
        !self.is_leaving(endpoint) && endpoint.is_responsive()
    }

    /// Whether an endpoint is known to be leaving.
    #[must_use]
    pub fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        let departure = Departure {
            endpoint: endpoint.name.clone(),
            incarnation: endpoint.incarnation(),
        };
        endpoint.leaving || self.sorted_departures.binary_search(&departure).is_ok()
    }

    /// All known endpoints, sorted by name.
    #[must_use]
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// Whether the last list was distrusted.
    #[must_use]
    pub const fn distrusts_list(&self) -> bool {
        self.list_distrusted
    }

    /// The endpoint of this name.
    #[must_use]
    pub fn get(&self, name: &id::Endpoint) -> Option<&Endpoint> {
        position(&self.endpoints, name).map(|index| &self.endpoints[index])
    }
}

fn position(endpoints: &[Endpoint], name: &id::Endpoint) -> Option<usize> {
    endpoints.binary_search_by(|e| e.name.cmp(name)).ok()
}

/// An endpoint from an entry of the list; `None` for entry VMs and invalid entries.
fn parse_endpoint(vm: &pimento_wire::platform::Vm) -> Option<Endpoint> {
    let (pool, kind) = match &vm.role {
        Role::Engine(pool) => (pool.clone(), Kind::Engine),
        Role::Service(pool) => (pool.clone(), Kind::Service),
        Role::Entry => return None,
    };
    Some(Endpoint {
        name: vm.name.as_str().try_into().ok()?,
        pool,
        zone: vm.zone.clone(),
        address: vm.address.parse().ok()?,
        kind,
        load: None,
        failures: 0,
        listed: true,
        leaving: vm.leaving,
    })
}
