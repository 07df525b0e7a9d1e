//! Bundles of log records that one VM of a zone forwards to the others.
//!
//! Small records go in datagrams. A large one, such as a configuration of thousands of routes, is requested
//! by each VM that lacks it, and goes compressed over a connection. If every VM read it from the log, the
//! log would send it once for each VM, one after the other. With some dozens of VMs and megabytes the last
//! VM would get it later than the bound on changes allows, and the record would occupy each VM's link for
//! a time in proportion to its size.

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
use crate::follow::RecordRange;
use crate::topic::Record;
use crate::topic::Topic;

/// The most bytes that a bundle may have, compressed and decompressed. It is the limit of the log's own
/// answers. Without it, a few bytes that decompress without end would fill a small VM's memory.
const MAX_BYTES: u64 = 16 << 20;

/// Timeout of a connection attempt to a VM of the same zone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Path prefix of requests for bundles; the topic's name and the offset follow.
pub const PATH: &str = "/records/";

/// A topic that one VM of a zone reads for the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SharedTopic {
    /// The operators' records.
    Operators,
    /// The endpoints' records.
    Endpoints,
    /// Requests during which endpoints crashed.
    Poison,
}

impl SharedTopic {
    /// The topic of this name; none if VMs don't read it for each other.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
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

impl TryFrom<Topic> for SharedTopic {
    type Error = Topic;

    fn try_from(topic: Topic) -> Result<Self, Topic> {
        match topic {
            Topic::Operators => Ok(Self::Operators),
            Topic::Endpoints => Ok(Self::Endpoints),
            Topic::Poison => Ok(Self::Poison),
            Topic::Status | Topic::Fleet | Topic::Vms(_) => Err(topic),
        }
    }
}

/// All records between two offsets of a topic that changed the sender's view: a
/// [`RecordRange`] with its topic, as it is sent to other VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// The topic.
    pub topic: SharedTopic,
    /// The first offset. The receiver must hold everything before it.
    pub from: Offset,
    /// The offset after the last, up to which the bundle is complete.
    pub to: Offset,
    /// Offset, key and value of each record; no value if the key was removed.
    pub records: Vec<(Offset, CompactString, Option<Bytes>)>,
}

impl Bundle {
    /// Makes a bundle of each chunk of records. Together they reach from `from` to `to` without a gap.
    #[must_use]
    pub fn from_chunks(
        topic: SharedTopic,
        from: Offset,
        chunks: Vec<Vec<Record>>,
        to: Offset,
    ) -> Vec<Self> {
        let count = chunks.len();
        let mut start = from;
        let bundles = chunks.into_iter().enumerate().map(|(place, records)| {
            let end = records.last().map_or(start, |last| last.offset.next());
            let bundle = Self {
                topic,
                from: start,
                to: if place + 1 == count { to } else { end },
                records: records
                    .into_iter()
                    .map(|r| (r.offset, r.key, r.value))
                    .collect(),
            };
            start = bundle.to;
            bundle
        });
        bundles.collect()
    }

    /// The records in the form in which a follower receives them.
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

/// Why a bundle could not be fetched from another VM.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The VM did not answer, or the connection broke.
    #[snafu(display("{fault}"))]
    Call {
        /// The fault of the connection.
        fault: Fault,
    },
    /// The request's path is not valid.
    #[snafu(display("{source}"))]
    Path {
        /// The cause.
        source: InvalidUri,
    },
    /// The VM does not have the records.
    #[snafu(display("status {status}"))]
    Status {
        /// The status that it answered.
        status: StatusCode,
    },
    /// The answer is larger than any valid one.
    #[snafu(display("the answer is too large"))]
    TooLarge,
    /// The bundle can't be compressed or decompressed.
    #[snafu(display("{source}"))]
    Compression {
        /// The cause.
        source: io::Error,
    },
    /// The bundle can't be encoded or decoded.
    #[snafu(display("{source}"))]
    Unreadable {
        /// The cause.
        source: postcard::Error,
    },
    /// The bundle begins at another offset than requested.
    #[snafu(display("the bundle begins at {from}"))]
    WrongStart {
        /// Where it begins.
        from: Offset,
    },
}

impl Bundle {
    /// Encodes and compresses the bundle.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] or [`Error::Compression`].
    pub fn pack(&self) -> Result<Bytes, Error> {
        let bytes = postcard::to_stdvec(self).context(UnreadableSnafu)?;
        let mut packer = DeflateEncoder::new(Vec::new(), Compression::fast());
        packer.write_all(&bytes).context(CompressionSnafu)?;
        Ok(packer.finish().context(CompressionSnafu)?.into())
    }

    /// Decompresses and decodes a bundle.
    ///
    /// # Errors
    ///
    /// [`Error::Compression`] or [`Error::Unreadable`].
    pub fn unpack(packed: &[u8]) -> Result<Self, Error> {
        let mut bytes = Vec::new();
        let mut unpacked = DeflateDecoder::new(packed).take(MAX_BYTES);
        unpacked.read_to_end(&mut bytes).context(CompressionSnafu)?;
        postcard::from_bytes(&bytes).context(UnreadableSnafu)
    }
}

/// Fetches from the VM at `address` all records of a topic from an offset on that changed its view.
///
/// # Errors
///
/// An [`Error`]. The caller can still read the records from the log.
pub async fn fetch(
    address: SocketAddr,
    topic: Topic,
    from: Offset,
    progress: &Progress,
) -> Result<RecordRange, Error> {
    let path = format!("{PATH}{}/{from}", topic.as_str());
    let bundle = Bundle::unpack(&get(address, path, progress).await?)?;
    let Bundle {
        from: start, to, ..
    } = bundle;
    if start != from {
        return Err(Error::WrongStart { from: start });
    }
    let records = bundle.records();
    Ok(RecordRange { from, to, records })
}

/// Fetches a path from another VM. `progress` counts the bytes that have arrived.
pub(crate) async fn get(
    address: SocketAddr,
    path: String,
    progress: &Progress,
) -> Result<Vec<u8>, Error> {
    let connection = Connection::open(address, CONNECT_TIMEOUT).await;
    let connection = connection.map_err(|fault| Error::Call { fault })?;
    let uri = Uri::try_from(path);
    let request = OutgoingRequest {
        method: Method::GET,
        uri: uri.context(PathSnafu)?,
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let call = connection.send(request).await;
    let mut call = call.map_err(|fault| Error::Call { fault })?;
    if call.head.status != StatusCode::OK {
        let status = call.head.status;
        return Err(Error::Status { status });
    }
    let mut packed = Vec::new();
    while let Some(piece) = call
        .body
        .next()
        .await
        .map_err(|fault| Error::Call { fault })?
    {
        if u64::try_from(packed.len() + piece.len()).is_ok_and(|bytes| bytes > MAX_BYTES) {
            return Err(Error::TooLarge);
        }
        progress.add(piece.len());
        packed.extend_from_slice(&piece);
    }
    Ok(packed)
}
