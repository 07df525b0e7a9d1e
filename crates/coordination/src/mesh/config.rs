//! Settings of a mesh, and their checking.

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
    /// This node.
    pub node: id::Node,
    /// Its zone.
    pub zone: id::Zone,
    /// Where it listens, TCP and UDP on the same port.
    pub listen: SocketAddr,
    /// Where peers reach it, if that is not where it listens.
    pub advertise: Option<SocketAddr>,
    /// Peers to begin with.
    pub seeds: Vec<SocketAddr>,
    /// The key that all nodes share.
    pub key: Key,
    /// Time between heartbeats.
    pub interval: Duration,
    /// After how long without a sign of life a peer is taken for dead.
    pub liveness_timeout: Duration,
    /// How long the answer to a call may take to begin, and as long to go on.
    pub timeout: Duration,
}

impl Settings {
    /// Settings with the usual times.
    ///
    /// A second between heartbeats keeps a node at three datagrams a second. Ten seconds of
    /// silence are three times as long as word takes to pass through a zone of 50 nodes (six
    /// rounds of doubling), so that lost datagrams don't make a live peer look dead. Two seconds
    /// carry a whole state over a slow link and are short beside callers' deadlines.
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
        let times = [
            ("interval", settings.interval),
            ("silence", settings.liveness_timeout),
            ("timeout", settings.timeout),
        ];
        for (setting, time) in times {
            let found = format!("{time:?}");
            ensure!(!time.is_zero(), SettingSnafu { setting, found });
        }
        let reach = settings.advertise.unwrap_or(settings.listen);
        let setting = "address";
        let found = format!("peers can't reach {reach}");
        ensure!(
            !reach.ip().is_unspecified(),
            SettingSnafu { setting, found }
        );
        Ok(Self(settings))
    }
}
