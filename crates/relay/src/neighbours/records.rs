//! Serves records that are too large for datagrams to the other VMs of the zone.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use pimento_serve::ReplyBody;
use pimento_serve::Serve;
use pimento_serve::Stop;
use pimento_units::Offset;
use tokio::net::TcpListener;

use crate::boot;
use crate::bundle::Bundle;
use crate::bundle::PATH;
use crate::bundle::SharedTopic;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::snapshot;
use crate::snapshot::Snapshot;
use crate::topic::Log;
use crate::topic::Record;

/// The last records that were packed. They are reused, as the VMs of a zone lack the same ones.
#[derive(Debug, Clone)]
struct Packed {
    topic: SharedTopic,
    from: Offset,
    to: Offset,
    bytes: Bytes,
}

/// Serves records to other VMs.
#[derive(Debug)]
struct Records<P, L> {
    node: Node<P, L>,
    last: Arc<Mutex<Option<Packed>>>,
}

impl<P: Clone, L: Clone> Clone for Records<P, L> {
    fn clone(&self) -> Self {
        Self {
            node: self.node.clone(),
            last: Arc::clone(&self.last),
        }
    }
}

/// Serves until the process ends. If the address can't be bound, the other VMs read the log by
/// themselves.
pub async fn serve<P: HeaderCodec + Codec, L: Log>(node: Node<P, L>) {
    let address = node.config.peer_listen;
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("neighbours: Can't listen at {address} to serve records: {error}.");
            return;
        }
    };
    let records = Records {
        node,
        last: Arc::default(),
    };
    pimento_serve::run(listener, records, Stop::default()).await;
}

/// The topic whose whole view a path requests.
fn snapshot_request(path: &str) -> Option<SharedTopic> {
    SharedTopic::from_name(path.strip_prefix(snapshot::PATH)?)
}

/// The topic and first offset of the records that a path requests.
fn records_request(path: &str) -> Option<(SharedTopic, Offset)> {
    let (topic, from) = path.strip_prefix(PATH)?.split_once('/')?;
    Some((SharedTopic::from_name(topic)?, Offset(from.parse().ok()?)))
}

impl<P: HeaderCodec + Codec, L: Log> Records<P, L> {
    /// The view of a topic, read once more if the log can be read; none if there is none yet.
    async fn snapshot(&self, topic: SharedTopic) -> Option<Bytes> {
        let asked = boot::now();
        let snapshot = match topic {
            SharedTopic::Operators => self.node.operators.snapshot(asked).await,
            SharedTopic::Endpoints => self.node.directory.snapshot(asked).await,
            SharedTopic::Poison => self.node.blocklist.snapshot(asked).await,
        };
        let Snapshot { records, to, age } = snapshot?;
        let packed = self.pack(topic, Offset::default(), records, to)?;
        match snapshot::encode(&self.node.config.deployment, age, packed) {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                log::error!("neighbours: A snapshot can't be encoded: {error}.");
                None
            }
        }
    }

    /// The records from an offset on, packed; none if this VM lacks one of them.
    fn records(&self, topic: SharedTopic, from: Offset) -> Option<Bytes> {
        let (records, to) = match topic {
            SharedTopic::Operators => self.node.operators.records_from(from),
            SharedTopic::Endpoints => self.node.directory.records_from(from),
            SharedTopic::Poison => self.node.blocklist.records_from(from),
        };
        self.pack(topic, from, records?, to)
    }

    /// Packs records, or returns the last packed ones if they are the same.
    fn pack(
        &self,
        topic: SharedTopic,
        from: Offset,
        records: Vec<Record>,
        to: Offset,
    ) -> Option<Bytes> {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let same = |packed: &&Packed| (packed.topic, packed.from, packed.to) == (topic, from, to);
        if let Some(packed) = last.as_ref().filter(same) {
            return Some(packed.bytes.clone());
        }
        let chunks = vec![records];
        let bundle = Bundle::from_chunks(topic, from, chunks, to).pop()?;
        match bundle.pack() {
            Ok(bytes) => {
                log::info!(
                    topic = topic.topic().as_str(),
                    from = from.0,
                    bytes = bytes.len();
                    "neighbours: Packed records for the zone."
                );
                *last = Some(Packed {
                    topic,
                    from,
                    to,
                    bytes: bytes.clone(),
                });
                Some(bytes)
            }
            Err(error) => {
                log::error!("neighbours: Records can't be packed: {error}.");
                None
            }
        }
    }
}

impl<P: HeaderCodec + Codec, L: Log> Serve for Records<P, L> {
    async fn serve(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let path = request.uri().path();
        let packed = match snapshot_request(path) {
            Some(topic) => self.snapshot(topic).await,
            None => records_request(path).and_then(|(topic, from)| self.records(topic, from)),
        };
        let Some(bytes) = packed else {
            let mut response = Response::new(ReplyBody::whole("not here\n"));
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        };
        Response::new(ReplyBody::whole(bytes))
    }
}
