//! Messages between entry VMs: heartbeats by UDP, state, bill copies and kept answers by TCP.
//!
//! Everything here is a hint or an idempotent transfer; what must be agreed goes through the
//! platform's log.

use bytes::Bytes;
use compact_str::CompactString;
use pimento_units::Digest;
use pimento_units::Money;
use pimento_units::Offset;
use pimento_units::Share;
use pimento_units::Wall;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

/// A datagram, sent each second to a few peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub node: id::Node,
    /// Its zone.
    pub zone: id::Zone,
    /// Where peers reach it by TCP and UDP.
    pub address: CompactString,
    /// Rises with each heartbeat of one life, so that a late datagram is told apart.
    pub sequence: u64,
    /// Offset of its configuration.
    pub offset: Offset,
    /// Until when that is known to be current; none if it never was.
    pub current: Option<Current>,
    /// Whether it reads the log itself at present.
    pub tailing: bool,
    /// Whether it is about to go.
    pub leaving: bool,
    /// Endpoints that it knows to be leaving, newest first, bounded.
    pub departures: Vec<Departure>,
    /// Versions that it quarantined on its own evidence, bounded.
    pub quarantined: Vec<id::Version>,
    /// Nodes of its zone that it heard of lately, bounded.
    #[serde(rename = "heard")]
    pub last_seen: Vec<LastSeen>,
    /// What is known of requests under which endpoints end, bounded.
    pub suspicions: Vec<Suspicion>,
}

/// Until when a configuration is known to be current.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Current {
    /// The log's clock when the log was last read to its end, by whoever read it.
    pub at: Wall,
    /// Milliseconds since then, as the sender counts them.
    pub age_ms: u64,
}

/// Word of another node, passed on: at 50 nodes a zone and three datagrams a second each node hears
/// any other one only every half minute, which is too seldom to tell a live one from a dead one.
///
/// It carries a number and not an age. An age loses a little on each way, so that nodes which tell
/// each other of a dead one would keep it young for ever.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastSeen {
    /// Hash of the node's name.
    pub node: u32,
    /// Number of its newest heartbeat.
    pub sequence: u64,
}

/// An endpoint known to be leaving; sticky for its incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Departure {
    /// Which.
    pub endpoint: id::Endpoint,
    /// Which life of it.
    pub incarnation: u64,
}

/// What a node saw of a request under which endpoints may end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Suspicion {
    /// The request.
    pub digest: Digest,
    /// What was seen.
    pub what: Observation,
    /// When, by the clock of the node that saw it. Word that is old counts for nothing, or it would go
    /// round among the nodes for ever.
    pub at: Wall,
}

/// What was seen of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Observation {
    /// An endpoint ended while it ran there.
    #[serde(rename = "Ended")]
    Crashed {
        /// Hash of the endpoint's name.
        endpoint: u64,
        /// Which life of it, if it tells them apart.
        incarnation: Option<u64>,
    },
    /// An answer was whole.
    Answered,
}

/// A call by TCP from one entry VM to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Sends the configuration, if newer than `offset`.
    Pull {
        /// What the caller has.
        offset: Offset,
    },
    /// Brings the newest records of the configuration stream, without a gap.
    Push {
        /// Offset and JSON text of each.
        records: Vec<(Offset, String)>,
    },
    /// Keeps copies of bills (JSON text of each) until they are on the log.
    #[serde(rename = "Hold")]
    StoreBills {
        /// Whose bills.
        node: id::Node,
        /// The bills.
        bills: Vec<String>,
    },
    /// Drops copies that are on the log.
    #[serde(rename = "Drop")]
    RemoveBills {
        /// Whose bills.
        node: id::Node,
        /// The requests billed.
        requests: Vec<id::Request>,
    },
    /// Asks for a part of the peer's grants, while the log can't be asked for one.
    #[serde(rename = "Lend")]
    TransferGrant {
        /// Whose spend.
        customer: id::Customer,
        /// The spend period.
        period: u64,
        /// How much is wanted.
        amount: Money,
    },
    /// Asks for the kept answer of a request.
    #[serde(rename = "Fetch")]
    FetchAnswer {
        /// The request.
        request: id::Request,
    },
    /// Hands records to the zone's appender.
    Append {
        /// The stream's name.
        stream: CompactString,
        /// Records as JSON text.
        records: Vec<String>,
    },
}

/// Answer to a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Done.
    Done,
    /// Nothing newer, nothing kept.
    Nothing,
    /// Not now; the reason is for the log.
    Refused {
        /// Why.
        reason: CompactString,
    },
    /// The configuration as JSON text of a checkpoint.
    State {
        /// The checkpoint.
        checkpoint: String,
    },
    /// The records of the configuration stream from the caller's offset on, without a gap.
    Records {
        /// Offset and JSON text of each.
        records: Vec<(Offset, String)>,
    },
    /// A part of the peer's grants, which it will not spend any more.
    #[serde(rename = "Lent")]
    GrantTransferred {
        /// How much.
        amount: Money,
    },
    /// A kept answer.
    #[serde(rename = "Kept")]
    Cached {
        /// HTTP status.
        status: u16,
        /// Content type.
        content: CompactString,
        /// Body.
        body: Bytes,
    },
    /// Records are on the log from this offset.
    Appended {
        /// The first one's offset.
        first: Offset,
    },
}

/// What one node saw of a version in one class; sent with bills to whoever decides on stages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The version.
    pub version: id::Version,
    /// Rated answers.
    pub rated: u32,
    /// Answers that passed.
    pub passed: u32,
    /// Attempts.
    pub attempts: u32,
    /// Attempts that failed.
    pub failed: u32,
    /// The share of rated answers that passed.
    pub quality: Share,
    /// 95th percentile of latency, in milliseconds.
    pub latency_ms: u32,
}
