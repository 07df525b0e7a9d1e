//! The validated settings of a relay.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use pimento_policy::report;
use pimento_units::Bandwidth;
use pimento_units::Memory;
use pimento_units::id;

use crate::capacity::Capacity;
use crate::timings::Timings;
use crate::topic::Partition;

/// The settings of one entry VM.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// This VM.
    pub node: id::Node,
    /// Name of this deployment. It distinguishes the VMs from those of other deployments that may have
    /// used the same addresses.
    pub deployment: CompactString,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
    /// The zone of this VM.
    pub zone: id::Zone,
    /// All zones with their regions, sorted by zone.
    pub zones: Vec<(id::Zone, String)>,
    /// What this VM can do for others.
    pub capacity: Capacity,
    /// What its link carries each way; none if that is unknown.
    pub link: Option<Bandwidth>,
    /// The memory that this process may take; none if that is unknown.
    pub memory: Option<Memory>,
    /// Connections of callers that are open at a time, at most.
    pub max_callers: usize,
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Address of the readiness check for the load balancer.
    pub ready_listen: SocketAddr,
    /// Address at which metrics are served.
    pub metrics_listen: SocketAddr,
    /// Address to which other VMs send datagrams and requests for records.
    pub peer_listen: SocketAddr,
    /// Address at which other VMs are connected to endpoints, at the same port on all VMs.
    pub tunnel_listen: SocketAddr,
    /// Guarantees that this VM must keep.
    pub bounds: Bounds,
    /// Polling intervals of the log's topics, derived from the bounds.
    pub timings: Timings,
    /// When other VMs are told about prompts that this one sent.
    pub reports: report::Config,
}

impl Config {
    /// The partition of the VMs' topic that holds the records of a zone's VMs; the first one for a zone that is
    /// not configured.
    #[must_use]
    pub fn partition(&self, zone: &id::Zone) -> Partition {
        let place = self.zones.binary_search_by(|(known, _)| known.cmp(zone));
        let place = place.ok().and_then(|place| u32::try_from(place).ok());
        Partition(place.unwrap_or_default())
    }
}

/// Guarantees that an entry VM must keep, with their limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The bound on leaving endpoints: the time after which one gets no new work.
    pub drain: Duration,
    /// Time within which a change of the configuration takes effect.
    pub config_apply: Duration,
    /// Time after which a revoked key is rejected; none if a VM that can't confirm its configuration
    /// continues to accept keys.
    pub revoke: Option<Duration>,
    /// Time between the request to shut down and the kill.
    pub grace: Duration,
    /// Limit on calls to a service beyond one for each request.
    pub retry_budget: RetryBudget,
    /// Limits on the requests that a version in roll-out gets.
    pub exposure: Exposure,
    /// A session ends after this time without a request.
    pub session_timeout: Duration,
    /// Time after which the endpoints of an evacuated zone get no new work; none if zones are not evacuated.
    pub evacuation: Option<Duration>,
    /// Limit on the calls to an endpoint that is cold.
    pub cold_start: ColdStart,
}

/// Limit on the calls that an endpoint may get in any one second while it is cold, beyond the rate that its
/// service names.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Factor by which the rate may be exceeded.
    pub overshoot: f64,
    /// Calls beyond that.
    pub slack: u32,
}

/// The retry budget of all VMs together, counted in a sliding window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond those, for all VMs together.
    pub extra: u32,
    /// Length of the window.
    pub window: Duration,
}

/// Limits on the requests that a version in roll-out gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Exposure {
    /// Share of its service's requests that a bad version may get, from 0 to 1.
    pub share: f64,
    /// Requests beyond that share.
    pub slack: u32,
    /// Time within which a bad version stops getting requests, once many of its answers were bad.
    pub rollback: Duration,
}
