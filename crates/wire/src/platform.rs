//! The APIs of the platform's services (HTTP JSON).
//!
//! | service | call | meaning |
//! |---|---|---|
//! | log | `POST /streams/{stream}` | [`Append`], answered by [`Appended`]; 429 with `retry-after` over the rate, 503 in an outage |
//! | log | `GET /streams/{stream}?from={offset}&max={n}&wait_ms={ms}` | [`Batch`]; waits up to `wait_ms` if there is nothing yet; 410 with [`Gone`] if retention has passed `from` |
//! | VM list | `GET /vms` | [`Vms`] |
//! | weight store | `POST /fetch` | [`Fetch`]; 200 when done, 429 with `retry-after` over the rate |
//! | rating | `POST /rate` | [`Rate`], answered by [`Rating`] |

use compact_str::CompactString;
use pimento_units::Offset;
use pimento_units::Share;
use pimento_units::Wall;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

/// Appends records to a stream, all or none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Each record as JSON text.
    pub records: Vec<String>,
}

/// The position of appended records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first record.
    pub first: Offset,
}

/// The records of a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Records in offset order.
    pub records: Vec<Entry>,
    /// The offset of the next read.
    pub next: Offset,
    /// The end of the stream at the time of the read.
    pub end: Offset,
    /// The log's time of the read.
    pub now: Wall,
}

/// A record with its offset and time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The record's offset.
    pub offset: Offset,
    /// When the log accepted the record, by the log's clock.
    pub at: Wall,
    /// The record as JSON text.
    pub record: String,
}

/// The requested offset is older than the log's retention.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gone {
    /// The oldest retained offset.
    pub oldest: Offset,
}

/// The platform's list of VMs, which lags behind the actual VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vms {
    /// All known VMs.
    pub vms: Vec<Vm>,
}

/// One VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name, unique to one incarnation.
    pub name: CompactString,
    /// The VM's zone.
    pub zone: id::Zone,
    /// IP address and port.
    pub address: CompactString,
    /// What runs on the VM.
    pub role: Role,
    /// Whether the VM is about to leave.
    pub leaving: bool,
}

/// What runs on a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry VM; `address` is where peers reach it.
    Entry,
    /// A model engine of a pool.
    Engine(id::Pool),
    /// A replica of a plain service of a pool.
    Service(id::Pool),
}

/// Asks the weight store to copy a version's weights to a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// The version.
    pub version: id::Version,
    /// The zone.
    pub zone: id::Zone,
}

/// Requests the rating of a complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rate {
    /// The version that answered.
    pub version: id::Version,
    /// The class of the request.
    pub class: id::Class,
    /// The last user message.
    pub prompt: String,
    /// The answer.
    pub answer: String,
}

/// The rating of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    /// The score.
    pub score: Share,
    /// Whether the answer is good enough to be released.
    pub pass: bool,
}
