//! Messages between entry VMs: heartbeats over UDP; state, copies of bills and cached answers over
//! TCP.
//!
//! These messages are hints or idempotent transfers. Everything that needs agreement is written to the
//! platform's log.
//!
//! Messages are encoded with postcard, so the order and the types of fields and variants are the wire
//! format and their names are not transmitted. [`Evidence`] is the exception: it is sent as JSON.

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

/// A datagram that an entry VM sends each second to a few peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub node: id::Node,
    /// The sender's zone.
    pub zone: id::Zone,
    /// The sender's address for TCP and UDP.
    pub address: CompactString,
    /// Increases with each heartbeat of one incarnation, so that late datagrams are recognized.
    pub sequence: u64,
    /// Offset of the sender's configuration.
    pub offset: Offset,
    /// When this configuration was last known to be current; `None` if it never was.
    pub current: Option<Current>,
    /// Whether the sender currently reads the log itself.
    pub tailing: bool,
    /// Whether the sender is about to leave.
    pub leaving: bool,
    /// Endpoints that the sender knows to be leaving, newest first; bounded.
    pub departures: Vec<Departure>,
    /// Versions that the sender quarantined on its own evidence; bounded.
    pub quarantined: Vec<id::Version>,
    /// Nodes of the sender's zone that were recently alive, with their newest heartbeat; bounded.
    #[serde(rename = "heard")]
    pub last_seen: Vec<LastSeen>,
    /// Observations of requests that may crash endpoints; bounded.
    pub suspicions: Vec<Suspicion>,
}

/// When a configuration was last known to be current.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Current {
    /// The log's time at which any node last read the log to its end.
    pub at: Wall,
    /// Milliseconds since then, by the sender's clock.
    pub age_ms: u64,
}

/// The newest known heartbeat of another node, forwarded to peers.
///
/// With 50 nodes in a zone and three datagrams a second, a node receives a heartbeat directly from
/// another one only every half minute. This is too rare to tell a live node from a dead one.
///
/// It contains the heartbeat's number instead of its age. A forwarded age omits the time in
/// transit, so nodes that forward the age of a dead node to each other would never see it expire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastSeen {
    /// Hash of the node's name.
    pub node: u32,
    /// Sequence number of its newest heartbeat.
    pub sequence: u64,
}

/// An endpoint that is known to be leaving. This holds until the end of the incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Departure {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The endpoint's incarnation.
    pub incarnation: u64,
}

/// A node's observation of a request that may crash endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Suspicion {
    /// The request.
    pub digest: Digest,
    /// The observation.
    pub what: Observation,
    /// When it was made, by the clock of the node that made it. Old observations are ignored;
    /// otherwise nodes would forward them to each other forever.
    pub at: Wall,
}

/// An observation of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Observation {
    /// An endpoint crashed while it ran the request.
    #[serde(rename = "Ended")]
    Crashed {
        /// Hash of the endpoint's name.
        endpoint: u64,
        /// The endpoint's incarnation, if the endpoint reports one.
        incarnation: Option<u64>,
    },
    /// The request was answered completely.
    Answered,
}

/// A call from one entry VM to another over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Requests the configuration, if it is newer than `offset`.
    Pull {
        /// The caller's offset.
        offset: Offset,
    },
    /// Sends the newest records of the configuration stream, without gaps.
    Push {
        /// Offset and JSON text of each.
        records: Vec<(Offset, String)>,
    },
    /// Asks the peer to store copies of bills until they are on the log.
    #[serde(rename = "Hold")]
    StoreBills {
        /// The node that wrote the bills.
        node: id::Node,
        /// The bills as JSON text.
        bills: Vec<String>,
    },
    /// Asks the peer to remove copies of bills that are on the log.
    #[serde(rename = "Drop")]
    RemoveBills {
        /// The node that wrote the bills.
        node: id::Node,
        /// The billed requests.
        requests: Vec<id::Request>,
    },
    /// Requests a part of the peer's grants while the log is unavailable.
    #[serde(rename = "Lend")]
    TransferGrant {
        /// The customer whose spend is granted.
        customer: id::Customer,
        /// The spend period.
        period: u64,
        /// The requested amount.
        amount: Money,
    },
    /// Requests the cached answer to a request.
    #[serde(rename = "Fetch")]
    FetchAnswer {
        /// The request.
        request: id::Request,
    },
    /// Forwards records to the zone's appender.
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
    /// The call was carried out.
    Done,
    /// The call has no result: there is nothing newer or no cached answer, pushed records could not
    /// be applied, it is unknown whether records were appended, or the node does not answer such calls.
    Nothing,
    /// The call is refused for now; the reason is for log lines.
    Refused {
        /// The reason.
        reason: CompactString,
    },
    /// The configuration.
    State {
        /// A checkpoint as JSON text.
        checkpoint: String,
    },
    /// The records of the configuration stream from the caller's offset on, without gaps.
    Records {
        /// Offset and JSON text of each.
        records: Vec<(Offset, String)>,
    },
    /// A part of the peer's grants, which the peer will no longer spend.
    #[serde(rename = "Lent")]
    GrantTransferred {
        /// The transferred amount.
        amount: Money,
    },
    /// A cached answer.
    #[serde(rename = "Kept")]
    Cached {
        /// HTTP status.
        status: u16,
        /// Content type.
        content: CompactString,
        /// Body.
        body: Bytes,
    },
    /// The records are on the log.
    Appended {
        /// Offset of the first record.
        first: Offset,
    },
}

/// One node's observations of a version, by which the controllers decide on the stages of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The version.
    pub version: id::Version,
    /// Number of rated answers.
    pub rated: u32,
    /// Number of answers that passed.
    pub passed: u32,
    /// Number of attempts.
    pub attempts: u32,
    /// Number of failed attempts.
    pub failed: u32,
    /// Fraction of rated answers that passed.
    pub quality: Share,
    /// 95th percentile of latency, in milliseconds.
    pub latency_ms: u32,
}
