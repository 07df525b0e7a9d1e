//! Records of the log that one VM of a zone hands on to the others.
//!
//! Small ones go by datagrams. A large one, such as a configuration of thousands of routes, is asked for
//! by each VM that lacks it, and goes packed over a connection. If every VM read it from the log, the log
//! would send it once for each, one after the other: with some dozens of VMs and megabytes the last one's
//! turn comes later than a change may take, and each VM's link is taken for as long as it is large.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::Uri;
use hyper::http::uri::InvalidUri;
use pimento_endpoint::Fault;
use pimento_progress::Progress;
use pimento_units::Offset;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::connection::Connection;
use crate::connection::OutgoingRequest;
use crate::follow::Part;
use crate::topic::Record;
use crate::topic::Topic;

/// The most bytes that a passage may unpack to, as the log's own answers: a few bytes that unpack without
/// end would fill a small VM's memory.
const LARGEST: u64 = 16 << 20;

/// How long a connection to a VM of the same zone may take to be made.
const CONNECT: Duration = Duration::from_millis(200);

/// Where passages are asked for; the topic's name and the offset follow.
pub const PATH: &str = "/records/";

/// A topic that one VM of a zone reads for the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shared {
    /// The operators' records.
    Operators,
    /// The endpoints' records.
    Endpoints,
    /// Requests under which endpoints ended.
    Poison,
}

impl Shared {
    /// The topic of this name; none if it is not read for others.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        let all = [Self::Operators, Self::Endpoints, Self::Poison];
        all.into_iter()
            .find(|shared| shared.topic().as_str() == name)
    }

    /// The topic on the log.
    #[must_use]
    pub const fn topic(self) -> Topic {
        match self {
            Self::Operators => Topic::Operators,
            Self::Endpoints => Topic::Endpoints,
            Self::Poison => Topic::Poison,
        }
    }
}

impl TryFrom<Topic> for Shared {
    type Error = Topic;

    fn try_from(topic: Topic) -> Result<Self, Topic> {
        match topic {
            Topic::Operators => Ok(Self::Operators),
            Topic::Endpoints => Ok(Self::Endpoints),
            Topic::Poison => Ok(Self::Poison),
            Topic::Status | Topic::Fleet => Err(topic),
        }
    }
}

/// All records between two offsets of a topic that changed the teller's view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Passage {
    /// The topic.
    pub topic: Shared,
    /// Whoever has all records before this one can take them.
    pub from: Offset,
    /// The offset up to which these are all.
    pub to: Offset,
    /// Offset, key and value of each; no value if the key was dropped.
    pub records: Vec<(Offset, CompactString, Option<Bytes>)>,
}

impl Passage {
    /// Passages of records that come in parts, up to an offset.
    #[must_use]
    pub fn list(topic: Shared, from: Offset, parts: Vec<Vec<Record>>, to: Offset) -> Vec<Self> {
        let count = parts.len();
        let mut begins = from;
        let passages = parts.into_iter().enumerate().map(|(place, records)| {
            let ends = records.last().map_or(begins, |last| last.offset.next());
            let passage = Self {
                topic,
                from: begins,
                to: if place + 1 == count { to } else { ends },
                records: records
                    .into_iter()
                    .map(|r| (r.offset, r.key, r.value))
                    .collect(),
            };
            begins = passage.to;
            passage
        });
        passages.collect()
    }

    /// The records.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        let records = self.records.iter();
        let record = |(offset, key, value): &(Offset, CompactString, Option<Bytes>)| Record {
            offset: *offset,
            key: key.clone(),
            value: value.clone(),
        };
        records.map(record).collect()
    }
}

/// Why a passage could not be had from another VM.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The VM did not answer, or broke off.
    #[snafu(display("{fault}"))]
    Call {
        /// What happened.
        fault: Fault,
    },
    /// What to ask for can't be written as a path.
    #[snafu(display("{source}"))]
    Path {
        /// Why.
        source: InvalidUri,
    },
    /// The VM does not have what was asked for.
    #[snafu(display("status {status}"))]
    Missing {
        /// What it answered.
        status: StatusCode,
    },
    /// It answers more than any view takes.
    #[snafu(display("the answer is too large"))]
    TooLarge,
    /// What came can't be unpacked.
    #[snafu(display("{source}"))]
    Packed {
        /// Why.
        source: io::Error,
    },
    /// What was unpacked is no passage.
    #[snafu(display("{source}"))]
    Unreadable {
        /// Why.
        source: postcard::Error,
    },
    /// The passage is of another place than was asked for.
    #[snafu(display("it begins at {from}"))]
    Elsewhere {
        /// Where it begins.
        from: Offset,
    },
}

impl Passage {
    /// The passage as it goes over a connection.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] or [`Error::Packed`].
    pub fn pack(&self) -> Result<Bytes, Error> {
        let bytes = postcard::to_stdvec(self).context(UnreadableSnafu)?;
        let mut packer = DeflateEncoder::new(Vec::new(), Compression::fast());
        packer.write_all(&bytes).context(PackedSnafu)?;
        Ok(packer.finish().context(PackedSnafu)?.into())
    }

    /// The passage that was packed.
    ///
    /// # Errors
    ///
    /// [`Error::Packed`] or [`Error::Unreadable`].
    pub fn unpack(packed: &[u8]) -> Result<Self, Error> {
        let mut bytes = Vec::new();
        let mut unpacked = DeflateDecoder::new(packed).take(LARGEST);
        unpacked.read_to_end(&mut bytes).context(PackedSnafu)?;
        postcard::from_bytes(&bytes).context(UnreadableSnafu)
    }
}

/// Asks the VM at `address` for all records of a topic from an offset on that changed its view.
///
/// # Errors
///
/// An [`Error`]; the records can still be read from the log.
pub async fn fetch(
    address: SocketAddr,
    topic: Topic,
    from: Offset,
    progress: &Progress,
) -> Result<Part, Error> {
    let path = format!("{PATH}{}/{from}", topic.as_str());
    let passage = Passage::unpack(&get(address, path, progress).await?)?;
    let Passage {
        from: begins, to, ..
    } = passage;
    if begins != from {
        return Err(Error::Elsewhere { from: begins });
    }
    let records = passage.records();
    Ok(Part { from, to, records })
}

/// What another VM answers at a path. `progress` counts what comes of it.
pub(crate) async fn get(
    address: SocketAddr,
    path: String,
    progress: &Progress,
) -> Result<Vec<u8>, Error> {
    let connection = Connection::open(address, CONNECT).await;
    let connection = connection.map_err(|fault| Error::Call { fault })?;
    let uri = Uri::try_from(path);
    let message = OutgoingRequest {
        method: Method::GET,
        uri: uri.context(PathSnafu)?,
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let call = connection.send(message).await;
    let mut call = call.map_err(|fault| Error::Call { fault })?;
    if call.head.status != StatusCode::OK {
        let status = call.head.status;
        return Err(Error::Missing { status });
    }
    let mut packed = Vec::new();
    while let Some(piece) = call
        .body
        .next()
        .await
        .map_err(|fault| Error::Call { fault })?
    {
        if u64::try_from(packed.len() + piece.len()).is_ok_and(|bytes| bytes > LARGEST) {
            return Err(Error::TooLarge);
        }
        progress.add(piece.len());
        packed.extend_from_slice(&piece);
    }
    Ok(packed)
}
