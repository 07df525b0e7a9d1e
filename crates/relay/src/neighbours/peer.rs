//! Another entry VM, as its datagrams and the log describe it.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use pimento_policy::choice;
use pimento_units::Moment;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

use crate::capacity::Capacity;
use crate::links;

/// A VM that sent no datagram for this long does not read for others. It is the time of three heartbeats,
/// and some.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Time after its last connect to an endpoint for which a VM counts as reaching endpoints.
const REACH_TIMEOUT: Duration = Duration::from_secs(3);

/// Whether a VM can read the log for others.
///
/// The variants are in order of preference: of two VMs the one with the lesser status reads for the
/// other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ReaderStatus {
    /// It can read for others: it stays, and as far as it knows its reads are answered.
    Eligible,
    /// Its view is old, but as far as it knows its reads are answered. A VM without a view comes after it: reading
    /// a whole topic may take longer than a view counts as young, and VMs that were replaced for that would
    /// all read it one after the other.
    Behind,
    /// It has read nothing yet.
    Starting,
    /// Its reads were not answered some time ago, and it has not tried since.
    Untested,
    /// The log is unreachable for it: it refused a read, or several reads got no answer.
    Unreachable,
    /// It is shutting down.
    Leaving,
}

/// Another VM's own links to endpoints, by its last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLinks {
    /// Whether it reaches no endpoint while other VMs do.
    pub down: bool,
    /// When it last connected to an endpoint, by this VM's clock.
    pub connected_at: Option<Moment>,
}

/// Another VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The VM.
    pub node: id::Node,
    /// Hash of its name.
    pub key: u64,
    /// Its zone.
    pub zone: id::Zone,
    /// Where it receives datagrams and calls.
    pub address: SocketAddr,
    /// Its last status.
    pub status: ReaderStatus,
    /// What it can do for others.
    pub capacity: Capacity,
    /// Whether it leads its group, or was named as the leader by another VM.
    pub leads: bool,
    /// Whether it has views of all topics, however old.
    pub has_views: bool,
    /// Its own links to endpoints; none if it does not report them.
    pub links: Option<PeerLinks>,
    /// When it was discovered or last sent a datagram.
    pub(super) last_seen: Moment,
    /// When its last datagram was received; none if it is known from the log only, where the records of
    /// VMs stay that are long gone.
    pub(super) last_datagram: Option<Moment>,
}

impl Peer {
    /// A VM of which no datagram was received yet.
    #[must_use]
    pub fn discovered(node: id::Node, zone: id::Zone, address: SocketAddr, now: Moment) -> Self {
        Self {
            key: choice::hash(node.as_str()),
            node,
            zone,
            address,
            status: ReaderStatus::Starting,
            capacity: Capacity::default(),
            leads: false,
            has_views: false,
            links: None,
            last_seen: now,
            last_datagram: None,
        }
    }

    /// The same VM, which now sent a datagram with this status.
    #[must_use]
    pub const fn with_datagram(mut self, status: ReaderStatus, now: Moment) -> Self {
        self.status = status;
        self.has_views = matches!(status, ReaderStatus::Eligible | ReaderStatus::Behind);
        self.last_seen = now;
        self.last_datagram = Some(now);
        self
    }

    /// The same VM with this capacity, which leads its group or does not.
    #[must_use]
    pub const fn with_position(mut self, capacity: Capacity, leads: bool) -> Self {
        self.capacity = capacity;
        self.leads = leads;
        self
    }

    /// The same VM, which has views of all topics or does not. One to which the log is unreachable may still
    /// serve its views to a VM that starts.
    #[must_use]
    pub const fn with_views(mut self, has_views: bool) -> Self {
        self.has_views = has_views;
        self
    }

    /// The same VM with a report of its links.
    #[must_use]
    pub fn with_links(mut self, report: Option<links::Report>, now: Moment) -> Self {
        let age = |millis: u32| Duration::from_millis(u64::from(millis));
        self.links = report.map(|report| PeerLinks {
            down: report.down,
            connected_at: report.connected_ms.map(|millis| now.before(age(millis))),
        });
        self
    }

    /// Whether it connected to an endpoint not long ago.
    #[must_use]
    pub fn reaches_endpoints(&self, now: Moment) -> bool {
        let connected_at = self.links.and_then(|links| links.connected_at);
        connected_at.is_some_and(|at| now.since(at) < REACH_TIMEOUT)
    }

    pub(super) fn rank(&self) -> (ReaderStatus, Reverse<Capacity>, &id::Node) {
        (self.status, Reverse(self.capacity), &self.node)
    }

    /// Whether it sent a datagram not long ago.
    #[must_use]
    pub fn is_alive(&self, now: Moment) -> bool {
        self.last_datagram
            .is_some_and(|received| now.since(received) < LIVENESS_TIMEOUT)
    }
}
