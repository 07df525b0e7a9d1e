//! An endpoint as it registered itself.

use std::net::SocketAddr;

use pimento_units::id;

/// An endpoint's record of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// Its id, new with most of its starts.
    pub id: id::Endpoint,
    /// The service that it belongs to.
    pub pool: id::Pool,
    /// Where it is.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: id::Zone,
    /// The version of its software.
    pub version: id::Version,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// When it started, in milliseconds since the Unix epoch, by its own clock.
    pub started_unix_ms: u64,
}
