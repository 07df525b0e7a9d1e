//! The record by which an endpoint registers itself.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_units::id;

/// An endpoint, as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// Its id. Most restarts assign a new one.
    pub id: id::Endpoint,
    /// The service that it belongs to.
    pub pool: id::Pool,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: id::Zone,
    /// The version of its software.
    pub version: id::Version,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and accepts no new work.
    pub leaving: bool,
    /// How much longer it stays cold, as of when it wrote the record.
    pub cold: Duration,
    /// Start time by the endpoint's clock, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}
