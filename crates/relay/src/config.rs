//! The checked settings of a relay.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use pimento_units::id;

use crate::timings::Timings;

/// The settings of one entry VM.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// This VM.
    pub node: id::Node,
    /// What tells this system from others whose VMs may have had the same addresses.
    pub deployment: CompactString,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Its zone.
    pub zone: id::Zone,
    /// All zones with their regions, sorted by zone.
    pub zones: Vec<(id::Zone, String)>,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the VM is ready.
    pub ready_listen: SocketAddr,
    /// Where metrics are served.
    pub metrics_listen: SocketAddr,
    /// Where other VMs of the system send datagrams, and ask for records.
    pub peer_listen: SocketAddr,
    /// What must hold, with its figures.
    pub bounds: Bounds,
    /// How topics of the log are read, so that the bounds hold.
    pub timings: Timings,
}

/// What must hold, with its figures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// After this long a leaving endpoint gets no new work.
    pub drain: Duration,
    /// After this long a change of the configuration is in force.
    pub config_apply: Duration,
    /// After this long a revoked key lets nobody in; none if a VM that can't know goes on.
    pub revoke: Option<Duration>,
    /// Time between being told to stop and being killed.
    pub grace: Duration,
    /// Calls to a service beyond one for each request: a share of the requests, and a number that
    /// all VMs share, in a sliding window.
    pub retry_budget: RetryBudget,
    /// What a version in roll-out may get.
    pub exposure: Exposure,
    /// Requests of a session that follow each other within this time belong together.
    pub session_timeout: Duration,
}

/// The budget of repeats over all VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond those, for all VMs together.
    pub extra: u32,
    /// The window that both are counted in.
    pub window: Duration,
}

/// What a version in roll-out may get.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Exposure {
    /// The share of its service's requests that a bad version may get.
    pub share: f64,
    /// Requests beyond that share.
    pub slack: u32,
    /// After this long since its bad answers were many, a bad version gets nothing.
    pub rollback: Duration,
}
