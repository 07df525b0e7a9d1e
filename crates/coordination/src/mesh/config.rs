//! Settings of a mesh and their validation.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_units::id;
use pimento_wire::frame::Key;
use snafu::ensure;

use super::Error;
use super::SettingSnafu;

/// Settings of a [`super::Mesh`].
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of this node.
    pub node: id::Node,
    /// The zone of this node.
    pub zone: id::Zone,
    /// The address to listen on; TCP and UDP use the same port.
    pub listen: SocketAddr,
    /// The address at which peers reach this node, if it is not `listen`.
    pub advertise: Option<SocketAddr>,
    /// Addresses of possible peers known at the start.
    pub seeds: Vec<SocketAddr>,
    /// The key shared by all nodes, which authenticates frames.
    pub key: Key,
    /// Interval between heartbeats.
    pub interval: Duration,
    /// A peer counts as dead if no newer heartbeat of it is known for this long.
    pub liveness_timeout: Duration,
    /// Time within which the answer to a call must begin, and the longest pause within the answer.
    pub timeout: Duration,
}

impl Settings {
    /// Settings with default times.
    ///
    /// With a heartbeat interval of 1 s, a node sends three datagrams a second. A liveness timeout of
    /// 10 s is three times as long as a heartbeat takes to become known in a zone of 50 nodes (six rounds
    /// of doubling), so that lost datagrams don't make a live peer look dead. A call timeout of 2 s
    /// suffices for a whole state over a slow link, and is short compared with callers' deadlines.
    #[must_use]
    pub fn new(node: id::Node, zone: id::Zone, listen: SocketAddr, key: Key) -> Self {
        Self {
            node,
            zone,
            listen,
            advertise: None,
            seeds: Vec::new(),
            key,
            interval: Duration::from_secs(1),
            liveness_timeout: Duration::from_secs(10),
            timeout: Duration::from_secs(2),
        }
    }
}

/// Checked settings.
#[derive(Debug, Clone)]
pub struct Config(pub(super) Settings);

impl TryFrom<Settings> for Config {
    type Error = Error;
    fn try_from(settings: Settings) -> Result<Self, Error> {
        let durations = [
            ("interval", settings.interval),
            ("silence", settings.liveness_timeout),
            ("timeout", settings.timeout),
        ];
        for (setting, duration) in durations {
            let found = format!("{duration:?}");
            ensure!(!duration.is_zero(), SettingSnafu { setting, found });
        }
        let address = settings.advertise.unwrap_or(settings.listen);
        let setting = "address";
        let found = format!("peers can't reach {address}");
        ensure!(
            !address.ip().is_unspecified(),
            SettingSnafu { setting, found }
        );
        Ok(Self(settings))
    }
}
