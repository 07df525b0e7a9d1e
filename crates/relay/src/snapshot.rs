//! All that a VM knows of a topic, for a VM that starts.
//!
//! VMs that start together, after a loss of power or in a new zone, would each read the whole topic from
//! the log. Instead one of a zone reads it and answers the others.
//!
//! What it answers is proven by the order of events alone: it reads once more after it was asked, so that
//! the view is as young as the asking VM's own moment of asking. Where the log can't be read it says how
//! old its view was when it was asked, and the other one takes that much off its moment. Either way an
//! answer that is delayed makes the view older and never younger.
//!
//! A snapshot carries a digest and the name of its deployment. One that was cut, altered, or comes from
//! another system's VM at an address that is used again, is not taken, and the log is read.

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

/// Where snapshots are asked for; the topic's name follows.
pub const PATH: &str = "/snapshot/";

/// Bytes of the digest before a snapshot.
const DIGEST: usize = blake3::OUT_LEN;

/// A view to be taken by a VM that has none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The newest record of each key, in offset order.
    pub records: Vec<Record>,
    /// The offset up to which these are all.
    pub to: Offset,
    /// How much older than its asking the view is proven.
    pub age: Duration,
}

/// A snapshot as it goes over a connection.
#[derive(Debug, Serialize, Deserialize)]
struct Envelope {
    deployment: CompactString,
    age: Duration,
    packed: Bytes,
}

/// Why a snapshot was not taken.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It could not be had.
    #[snafu(display("{source}"))]
    Call {
        /// Why.
        source: bundle::Error,
    },
    /// It is cut or altered.
    #[snafu(display("it is not what was sent"))]
    Digest,
    /// It can't be read, or not be written.
    #[snafu(display("{source}"))]
    Unreadable {
        /// Why.
        source: postcard::Error,
    },
    /// It is of another system.
    #[snafu(display("it is of the deployment {deployment}"))]
    WrongDeployment {
        /// Which.
        deployment: CompactString,
    },
    /// It is of another topic, or does not begin at the topic's first record.
    #[snafu(display("it is of {topic:?} from {from}"))]
    WrongContent {
        /// The topic.
        topic: SharedTopic,
        /// Where it begins.
        from: Offset,
    },
}

/// A snapshot as bytes. `packed` is a packed bundle that holds all records from the first on.
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
    let mut sealed = blake3::hash(&bytes).as_bytes().to_vec();
    sealed.extend(bytes);
    Ok(sealed.into())
}

/// The snapshot of a topic that was sealed for this deployment.
///
/// # Errors
///
/// Any but [`Error::Call`], except for what can't be unpacked.
pub fn decode(deployment: &str, topic: SharedTopic, sealed: &[u8]) -> Result<Snapshot, Error> {
    let (digest, bytes) = sealed.split_at_checked(DIGEST).ok_or(Error::Digest)?;
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

/// Asks the VM at `address` for all that it knows of a topic.
///
/// # Errors
///
/// An [`Error`]; the log can still be read.
pub async fn fetch(
    address: SocketAddr,
    deployment: &str,
    topic: SharedTopic,
    progress: &Progress,
) -> Result<Snapshot, Error> {
    let path = format!("{PATH}{}", topic.topic().as_str());
    let sealed = bundle::get(address, path, progress).await;
    decode(deployment, topic, &sealed.context(CallSnafu)?)
}

/// The moment as of which a view is proven that was `age` old when it was asked for at `sent`; none if
/// that was before the clock began.
#[must_use]
pub fn proven_at(sent: Moment, age: Duration) -> Option<Moment> {
    let since_boot = sent.since(Moment::ZERO);
    since_boot.checked_sub(age).map(|at| Moment::ZERO + at)
}
