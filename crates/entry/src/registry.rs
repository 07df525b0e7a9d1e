//! Which endpoints may take new work.
//!
//! Three sources are joined: the platform's list, which lags; the endpoint's own word in its load
//! report; and the word of other entry VMs. An endpoint that any of them called leaving gets no new
//! work for the rest of that incarnation. A list that is suddenly empty or much shorter is doubted:
//! endpoints that it misses stay in use as long as they answer.
//!
//! [`Table`] decides without clock or connection; [`poll`] feeds it.

pub mod poll;

use std::net::SocketAddr;
use std::time::Duration;

use pimento_units::Moment;
use pimento_units::id;
use pimento_wire::engine::Load;
use pimento_wire::peer::Departure;
use pimento_wire::platform::Role;
use pimento_wire::platform::Vms;

/// A list that misses more than one in so many of the endpoints known is doubted. Replacing VMs
/// one by one, or losing a rack of a zone, stays below half.
const MAX_MISSING_DIVISOR: usize = 2;

/// Load reports in a row that must fail before an engine gets no new work. One lost packet costs
/// one report; a dead engine fails all.
const MAX_FAILURES: u32 = 3;

/// Departures remembered. An ordinary day has 120 VMs replaced.
const MAX_DEPARTURES: usize = 1_024;

/// What an endpoint is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A model engine, which reports its load.
    Engine,
    /// A replica of a plain service, which doesn't.
    Service,
}

/// One endpoint as known at this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Its name.
    pub name: id::Endpoint,
    /// Its pool.
    pub pool: id::Pool,
    /// Its zone.
    pub zone: id::Zone,
    /// Where it is.
    pub address: SocketAddr,
    /// What it is for.
    pub kind: Kind,
    /// The newest load report and when it came.
    pub load: Option<(Load, Moment)>,
    /// Load reports that failed in a row.
    failures: u32,
    listed: bool,
    leaving: bool,
}

impl Endpoint {
    /// The incarnation; zero while unknown and for services.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.load.as_ref().map_or(0, |(load, _)| load.incarnation)
    }

    /// How old the engine's own load figures are.
    #[must_use]
    pub fn load_age(&self, now: Moment) -> Duration {
        self.load.as_ref().map_or(Duration::MAX, |(load, at)| {
            now.since(*at) + Duration::from_millis(load.age_ms)
        })
    }

    fn is_responsive(&self) -> bool {
        match self.kind {
            Kind::Engine => self.load.is_some() && self.failures < MAX_FAILURES,
            Kind::Service => true,
        }
    }
}

/// The endpoints known, sorted by name, and the departures heard of.
#[derive(Debug, Clone, Default)]
pub struct Table {
    endpoints: Vec<Endpoint>,
    /// Sorted.
    sorted_departures: Vec<Departure>,
    /// The same, oldest first.
    departures: Vec<Departure>,
    list_distrusted: bool,
}

impl Table {
    /// Takes a list from the platform.
    pub fn update_list(&mut self, vms: &Vms) {
        let mut listed: Vec<Endpoint> = vms.vms.iter().filter_map(endpoint).collect();
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
                "registry: The VM list misses {missing} of {known} endpoints, not believed."
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
        let Some(place) = position(&self.endpoints, &new.name) else {
            let place = self.endpoints.partition_point(|e| e.name < new.name);
            self.endpoints.insert(place, new);
            return;
        };
        let known = &mut self.endpoints[place];
        known.listed = true;
        known.leaving = new.leaving;
        if known.address != new.address {
            known.address = new.address;
            known.load = None;
        }
        known.pool = new.pool;
        known.zone = new.zone;
    }

    /// Takes an engine's load report. A report of another endpoint is ignored: its address was
    /// given to a new VM.
    pub fn record_load(&mut self, name: &id::Endpoint, load: Load, now: Moment) {
        let Some(place) = position(&self.endpoints, name) else {
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
        let endpoint = &mut self.endpoints[place];
        endpoint.failures = 0;
        endpoint.load = Some((load, now));
    }

    /// Notes that an engine's load report could not be had.
    pub fn record_failure(&mut self, name: &id::Endpoint) {
        if let Some(place) = position(&self.endpoints, name) {
            let endpoint = &mut self.endpoints[place];
            endpoint.failures = endpoint.failures.saturating_add(1);
        }
    }

    /// Takes anybody's word that an endpoint is leaving. True if it was news.
    pub fn record_departure(&mut self, departure: Departure) -> bool {
        if self.sorted_departures.binary_search(&departure).is_ok() {
            return false;
        }
        log::info!(
            "registry: {} is leaving, no new work for it.",
            departure.endpoint
        );
        if self.departures.len() == MAX_DEPARTURES {
            let oldest = self.departures.remove(0);
            self.sorted_departures.retain(|known| *known != oldest);
        }
        let place = self
            .sorted_departures
            .partition_point(|known| *known < departure);
        self.sorted_departures.insert(place, departure.clone());
        self.departures.push(departure);
        true
    }

    /// Departures heard of, oldest first.
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

    /// All endpoints known, sorted by name.
    #[must_use]
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// Whether the last list was not believed.
    #[must_use]
    pub const fn distrusts_list(&self) -> bool {
        self.list_distrusted
    }

    /// One endpoint.
    #[must_use]
    pub fn get(&self, name: &id::Endpoint) -> Option<&Endpoint> {
        position(&self.endpoints, name).map(|place| &self.endpoints[place])
    }
}

fn position(endpoints: &[Endpoint], name: &id::Endpoint) -> Option<usize> {
    endpoints.binary_search_by(|e| e.name.cmp(name)).ok()
}

/// An endpoint from a line of the list; lines that make no sense are left out.
fn endpoint(vm: &pimento_wire::platform::Vm) -> Option<Endpoint> {
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
