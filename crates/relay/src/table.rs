//! The operators' configuration: routes, services, customers and their keys, limits.
//!
//! A [`Table`] is one version of it, whole and checked; it never changes. Lookups are by binary
//! search, since the configuration may grow by hundreds of routes.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use pimento_units::Tokens;
use pimento_units::id;
use snafu::Snafu;

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The request may run more than once.
    Safe,
    /// The request runs at most once.
    Unsafe,
    /// The answer is a stream of events.
    Stream,
}

/// A route: which requests it takes, where they go and how long they may take.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: CompactString,
    /// Host of the requests.
    pub host: CompactString,
    /// How their paths begin.
    pub prefix: CompactString,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest that a request may be kept waiting.
    pub timeout: Duration,
    /// Within this time an answer, or a stream's first event, is on time.
    pub latency_target: Duration,
    /// The longest pause between a stream's events that is on time.
    pub max_event_gap: Option<Duration>,
    /// Rank; lower goes first.
    pub priority: u8,
    /// The most endpoints that one request may be sent to.
    pub attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
    /// Whether a broken stream may go on at another endpoint.
    pub resumable: bool,
    /// Services with their weights; never empty.
    pub targets: Vec<Target>,
    /// Models to choose from, smallest first; empty if the caller names one or none.
    pub models: Vec<id::Version>,
}

/// A service that a route sends to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub pool: id::Pool,
    /// Its weight among the route's targets.
    pub weight: u32,
}

impl Route {
    /// Whether a request may run again after it may have run.
    #[must_use]
    pub const fn repeatable(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Stream => self.resumable,
        }
    }

    /// The service for a request, by random bits that stay the same for one request.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> Option<&id::Pool> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.pool);
        }
        let wide = u128::from(random) * u128::from(total);
        let mut place = u64::try_from(wide >> 64).unwrap_or(0);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if place < weight {
                return Some(&target.pool);
            }
            place -= weight;
        }
        None
    }

    /// Whether the route may send to a service.
    #[must_use]
    pub fn allows(&self, pool: &id::Pool) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|target| target.pool == *pool && target.weight > 0)
    }
}

/// A model that an engine serves.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: id::Version,
    /// What 1,000 generated tokens cost; tokens read count a quarter.
    pub cost: f64,
}

/// What is known of a service's engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests in a batch.
    pub slots: u32,
    /// Memory for running requests and cached parts.
    pub kv_capacity: Tokens,
    /// Tokens in an event of a stream.
    pub tokens_per_event: Tokens,
    /// Models, sorted by name.
    pub models: Vec<Model>,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name, which is that of its pool of endpoints.
    pub name: id::Pool,
    /// Connections that one of its endpoints accepts from all callers.
    pub connections: u32,
    /// For a service of batching engines.
    pub engine: Option<Engine>,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Its name.
    pub name: id::Customer,
    /// Its rank, which goes before the route's; lower goes first.
    pub priority: u8,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How long a head may take to come.
    pub receive_timeout: Duration,
    /// How long a kept connection may be idle.
    pub idle_timeout: Duration,
}

/// A configuration that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{place}: {problem}"))]
pub struct Finding {
    /// Where.
    pub place: CompactString,
    /// What is wrong.
    pub problem: CompactString,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Table {
    version: u64,
    /// Sorted by host, then by prefix.
    routes: Vec<Arc<Route>>,
    /// Sorted by name.
    services: Vec<Service>,
    customers: Vec<Customer>,
    /// Sorted by key, with the place of the customer.
    keys: Vec<(CompactString, usize)>,
    keyed: bool,
    limits: Limits,
}

/// The parts of a [`Table`].
#[derive(Debug, Clone)]
pub struct Parts {
    /// Version.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services in any order.
    pub services: Vec<Service>,
    /// Customers with their keys; none if requests need no key.
    pub customers: Option<Vec<(Customer, Vec<CompactString>)>>,
    /// Limits.
    pub limits: Limits,
}

impl From<Parts> for Table {
    fn from(parts: Parts) -> Self {
        let Parts {
            version,
            mut routes,
            mut services,
            customers,
            limits,
        } = parts;
        routes.sort_by(|one, other| place(one).cmp(&place(other)));
        let routes = routes.into_iter().map(Arc::new).collect();
        services.sort_by(|one, other| one.name.cmp(&other.name));
        let mut keys = Vec::new();
        let mut known = Vec::new();
        let keyed = customers.is_some();
        for (customer, held) in customers.unwrap_or_default() {
            let place = known.len();
            keys.extend(held.into_iter().map(|key| (key, place)));
            known.push(customer);
        }
        keys.sort();
        Self {
            version,
            routes,
            services,
            customers: known,
            keys,
            keyed,
            limits,
        }
    }
}

fn place(route: &Route) -> (&str, &str) {
    (&route.host, &route.prefix)
}

impl Table {
    /// The version, which operators raise in uneven steps.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// What callers may send.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The route with the longest prefix that begins `path`. Prefixes end with a slash, so that the
    /// candidates are the beginnings of the path up to one of its slashes.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let ends = path.char_indices().rev().filter(|(_, c)| *c == '/');
        let mut prefixes = ends.map(|(at, _)| &path[..=at]);
        prefixes.find_map(|prefix| {
            let found = self
                .routes
                .binary_search_by(|route| place(route).cmp(&(host, prefix)));
            found.ok().map(|place| &self.routes[place])
        })
    }

    /// A service.
    #[must_use]
    pub fn service(&self, name: &id::Pool) -> Option<&Service> {
        let found = self.services.binary_search_by(|s| s.name.cmp(name));
        found.ok().map(|place| &self.services[place])
    }

    /// All services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// The customer that holds a key.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        let found = self
            .keys
            .binary_search_by(|(held, _)| held.as_str().cmp(key));
        found.ok().map(|place| &self.customers[self.keys[place].1])
    }

    /// Whether requests need a key at all.
    #[must_use]
    pub const fn requires_key(&self) -> bool {
        self.keyed
    }
}
