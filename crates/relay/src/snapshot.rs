//! Snapshots of a VM's view of a topic, for a VM that starts.
//!
//! VMs that start together, after a power failure or in a new zone, would each read the whole topic from
//! the log. Instead one VM of a zone reads it and answers the others.
//!
//! The age of a snapshot does not depend on clocks of different VMs. The answering VM reads the log once
//! more after the request arrived, so that its view is as young as the moment at which the other VM sent
//! the request, by that VM's clock. If the log can't be read, it answers how old its view was when the
//! request arrived, and the other VM subtracts that from the moment of the request. Either way a delayed
//! answer makes the view older, never younger.
//!
//! A snapshot carries a digest and the name of its deployment. One that was truncated or altered, or that
//! comes from another system's VM at a reused address, is rejected, and the log is read instead.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use pimento_progress::Progress;
use pimento_units::Moment;
use pimento_units::Offset;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::bundle;
use crate::bundle::Bundle;
use crate::bundle::SharedTopic;
use crate::topic::Record;

/// Path prefix of requests for snapshots; the topic's name follows.
pub const PATH: &str = "/snapshot/";

/// Bytes of the digest in front of a snapshot.
const DIGEST_BYTES: usize = blake3::OUT_LEN;

/// A view for a VM that has none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The newest record of each key, in offset order.
    pub records: Vec<Record>,
    /// The offset up to which the records are complete.
    pub to: Offset,
    /// How old the view was when it was requested; zero if the log was read since.
    pub age: Duration,
}

/// A snapshot as it is encoded. `packed` is a packed [`Bundle`].
#[derive(Debug, Serialize, Deserialize)]
struct Envelope {
    deployment: CompactString,
    age: Duration,
    packed: Bytes,
}

/// Why a snapshot was rejected.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It could not be fetched, or its bundle can't be unpacked.
    #[snafu(display("{source}"))]
    Call {
        /// The cause.
        source: bundle::Error,
    },
    /// It was truncated or altered.
    #[snafu(display("the snapshot does not match its digest"))]
    Digest,
    /// It can't be encoded or decoded.
    #[snafu(display("{source}"))]
    Unreadable {
        /// The cause.
        source: postcard::Error,
    },
    /// It belongs to another system.
    #[snafu(display("the snapshot belongs to the deployment {deployment}"))]
    WrongDeployment {
        /// The name of that system.
        deployment: CompactString,
    },
    /// It belongs to another topic, or does not begin at the topic's first record.
    #[snafu(display("the snapshot is of {topic:?} from {from}"))]
    WrongContent {
        /// The topic.
        topic: SharedTopic,
        /// Where it begins.
        from: Offset,
    },
}

/// Encodes a snapshot. `packed` is a packed [`Bundle`] that holds all records from the first on.
///
/// # Errors
///
/// [`Error::Unreadable`].
pub fn encode(deployment: &str, age: Duration, packed: Bytes) -> Result<Bytes, Error> {
    let envelope = Envelope {
        deployment: deployment.into(),
        age,
        packed,
    };
    let bytes = postcard::to_stdvec(&envelope).context(UnreadableSnafu)?;
    let mut encoded = blake3::hash(&bytes).as_bytes().to_vec();
    encoded.extend(bytes);
    Ok(encoded.into())
}

/// Decodes a snapshot, and checks that it belongs to this deployment and topic.
///
/// # Errors
///
/// Any [`Error`]; [`Error::Call`] if the bundle can't be unpacked.
pub fn decode(deployment: &str, topic: SharedTopic, encoded: &[u8]) -> Result<Snapshot, Error> {
    let split = encoded.split_at_checked(DIGEST_BYTES);
    let (digest, bytes) = split.ok_or(Error::Digest)?;
    if blake3::hash(bytes).as_bytes() != digest {
        return Err(Error::Digest);
    }
    let envelope: Envelope = postcard::from_bytes(bytes).context(UnreadableSnafu)?;
    if envelope.deployment != deployment {
        let deployment = envelope.deployment;
        return Err(Error::WrongDeployment { deployment });
    }
    let bundle = Bundle::unpack(&envelope.packed).context(CallSnafu)?;
    if bundle.topic != topic || bundle.from != Offset::default() {
        let Bundle { topic, from, .. } = bundle;
        return Err(Error::WrongContent { topic, from });
    }
    Ok(Snapshot {
        records: bundle.records(),
        to: bundle.to,
        age: envelope.age,
    })
}

/// Fetches a snapshot of a topic from the VM at `address`.
///
/// # Errors
///
/// An [`Error`]. The caller can still read the log.
pub async fn fetch(
    address: SocketAddr,
    deployment: &str,
    topic: SharedTopic,
    progress: &Progress,
) -> Result<Snapshot, Error> {
    let path = format!("{PATH}{}", topic.topic().as_str());
    let encoded = bundle::get(address, path, progress).await;
    decode(deployment, topic, &encoded.context(CallSnafu)?)
}

/// The moment as of which a fetched view is proven: `sent`, when it was requested, minus `age`, its age in
/// the answer. None if that was before the clock began.
#[must_use]
pub fn proven_at(sent: Moment, age: Duration) -> Option<Moment> {
    let since_boot = sent.since(Moment::ZERO);
    since_boot.checked_sub(age).map(|at| Moment::ZERO + at)
}
