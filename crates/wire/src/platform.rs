//! The border with the platform's services (HTTP JSON).
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

/// Where appended records stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The first one's offset.
    pub first: Offset,
}

/// Records read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Records in offset order.
    pub records: Vec<Entry>,
    /// Where to read on.
    pub next: Offset,
    /// The end of the stream when this was read.
    pub end: Offset,
    /// The log's clock when this was read.
    pub now: Wall,
}

/// A record with its place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place.
    pub offset: Offset,
    /// When the log took it, by the log's clock.
    pub at: Wall,
    /// The record as JSON text.
    pub record: String,
}

/// Retention has passed the offset asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gone {
    /// The oldest offset that is kept.
    pub oldest: Offset,
}

/// The platform's list of VMs, lagging.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vms {
    /// All VMs known.
    pub vms: Vec<Vm>,
}

/// One VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name, unique for one life.
    pub name: CompactString,
    /// Its zone.
    pub zone: id::Zone,
    /// IP number and port.
    pub address: CompactString,
    /// What runs on it.
    pub role: Role,
    /// Whether it is about to go.
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

/// Has the weight store bring a version to an endpoint's zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// The version.
    pub version: id::Version,
    /// The zone.
    pub zone: id::Zone,
}

/// Asks for the rating of a whole answer.
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
