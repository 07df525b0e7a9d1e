//! The operators' configuration: routes, services, customers with their keys, and limits.
//!
//! A [`Table`] is one complete, immutable version of it. Lookups use binary search, since a
//! configuration may have hundreds of routes.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use pimento_policy::throttle::RateLimit;
use pimento_units::Tokens;
use pimento_units::id;
use snafu::Snafu;

/// How the requests of a route run, and whether they may run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// The response is a stream of server-sent events.
    Stream,
}

/// A route: the requests that it matches, the services that they go to and their time limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, used in logs and metrics.
    pub name: CompactString,
    /// Host that requests name.
    pub host: CompactString,
    /// Prefix of the requests' paths; it ends with a slash.
    pub prefix: CompactString,
    /// How requests run, and whether they may run again.
    pub kind: Kind,
    /// Maximum time until the response is complete.
    pub timeout: Duration,
    /// Target for the time until the response, or the first event of a stream.
    pub latency_target: Duration,
    /// Target for the longest time between two events of a stream.
    pub max_event_gap: Option<Duration>,
    /// Priority; lower goes first.
    pub priority: u8,
    /// Maximum number of attempts in which an endpoint may have run the request.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether another endpoint may resume a broken stream.
    pub resumable: bool,
    /// Services with their weights; never empty.
    pub targets: Vec<Target>,
    /// Models to choose from, smallest first; empty if requests run on the model that the caller names, if any.
    pub models: Vec<id::Version>,
    /// Regions in which its requests may run; empty if all.
    pub home_regions: Vec<CompactString>,
}

/// A service that a route sends to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub pool: id::Pool,
    /// Its weight among the route's targets. The route sends it a share of requests in proportion.
    pub weight: u32,
}

impl Route {
    /// Whether a request that may have run may be sent again.
    #[must_use]
    pub const fn repeatable(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Stream => self.resumable,
        }
    }

    /// The service for a request; none if the weights of all services are zero. `random` must be the same for
    /// all attempts of one request.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> Option<&id::Pool> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let wide = u128::from(random) * u128::from(total);
        let mut offset = u64::try_from(wide >> 64).unwrap_or(0);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if offset < weight {
                return Some(&target.pool);
            }
            offset -= weight;
        }
        None
    }

    /// Whether the route may send requests to a service.
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
    /// Price of 1,000 generated tokens. A prompt token costs a quarter of a generated one.
    pub cost: f64,
}

/// Properties of a service's engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests in a batch.
    pub slots: u32,
    /// KV-cache capacity for running requests and cached prompt parts.
    pub kv_capacity: Tokens,
    /// Tokens in each event of a stream.
    pub tokens_per_event: Tokens,
    /// Models, sorted by name.
    pub models: Vec<Model>,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name, which is also the name of its pool of endpoints.
    pub name: id::Pool,
    /// Connections that each of its endpoints accepts from all callers together.
    pub connections: u32,
    /// Engine properties; none for a plain service.
    pub engine: Option<Engine>,
    /// Calls per second that one of its endpoints takes from all VMs together while it is cold; none if its
    /// endpoints start warm.
    pub cold_rate: Option<RateLimit>,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Its name.
    pub name: id::Customer,
    /// Its priority; lower goes first. Requests are queued by their route's priority, not by this one.
    pub priority: u8,
    /// Regions in which its requests may run; empty if all.
    pub home_regions: Vec<CompactString>,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request's head, and likewise its body.
    pub receive_timeout: Duration,
    /// Maximum time that a keep-alive connection may be idle.
    pub idle_timeout: Duration,
}

/// A configuration that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{place}: {problem}"))]
pub struct Finding {
    /// Location of the error in the configuration.
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
    /// Sorted by key, with the index of the customer.
    keys: Vec<(CompactString, usize)>,
    keyed: bool,
    limits: Limits,
}

/// The unsorted contents of a [`Table`].
#[derive(Debug, Clone)]
pub struct Parts {
    /// Version number.
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
        routes.sort_by(|one, other| sort_key(one).cmp(&sort_key(other)));
        let routes = routes.into_iter().map(Arc::new).collect();
        services.sort_by(|one, other| one.name.cmp(&other.name));
        let mut keys = Vec::new();
        let mut known = Vec::new();
        let keyed = customers.is_some();
        for (customer, customer_keys) in customers.unwrap_or_default() {
            let index = known.len();
            keys.extend(customer_keys.into_iter().map(|key| (key, index)));
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

fn sort_key(route: &Route) -> (&str, &str) {
    (&route.host, &route.prefix)
}

impl Table {
    /// The version number. Operators increase it, not always by one.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Limits on callers' requests and connections.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The route of `host` with the longest prefix of `path`. Route prefixes end with a slash, so the
    /// candidates are the prefixes of the path that end with one of its slashes.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let ends = path.char_indices().rev().filter(|(_, c)| *c == '/');
        let mut prefixes = ends.map(|(at, _)| &path[..=at]);
        prefixes.find_map(|prefix| {
            let found = self
                .routes
                .binary_search_by(|route| sort_key(route).cmp(&(host, prefix)));
            found.ok().map(|index| &self.routes[index])
        })
    }

    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &id::Pool) -> Option<&Service> {
        let found = self.services.binary_search_by(|s| s.name.cmp(name));
        found.ok().map(|index| &self.services[index])
    }

    /// All services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// The customer that owns a key.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        let found = self
            .keys
            .binary_search_by(|(known, _)| known.as_str().cmp(key));
        found.ok().map(|index| &self.customers[self.keys[index].1])
    }

    /// Whether requests on routes that are not public need a key.
    #[must_use]
    pub const fn requires_key(&self) -> bool {
        self.keyed
    }
}
