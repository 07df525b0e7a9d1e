//! Serves records that are too large for datagrams to the other VMs of the zone.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use pimento_serve::ReplyBody;
use pimento_serve::Serve;
use pimento_serve::Stop;
use pimento_serve::Writer;
use pimento_units::Moment;
use pimento_units::Offset;
use tokio::net::TcpListener;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

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

/// Views that are sent at the same time. More would each get so little of a small VM's link that they take
/// longer than the receivers wait; a VM that is turned away asks another one, and by then there are more.
const MAX_SNAPSHOTS: usize = 4;

/// Packed records that are kept: the VMs of a group lack the same ones, but for those that got the last proof a
/// moment later.
const MAX_PACKED: usize = 4;

/// Bytes of a piece of a view.
const PIECE_BYTES: usize = 4 << 10;

/// How long a packed view is sent to others before it is packed anew. The view of the reader changes with each
/// read, and packing it for each VM would take a small VM's processor for as long as sending it.
const REUSE: Duration = Duration::from_millis(1_500);

/// The last records that were packed. They are reused, as the VMs of a group lack the same ones.
#[derive(Debug, Clone)]
struct Packed {
    topic: SharedTopic,
    from: Offset,
    to: Offset,
    bytes: Bytes,
}

/// A packed view, and when it was proven.
#[derive(Debug, Clone)]
struct PackedView {
    topic: SharedTopic,
    proven: Moment,
    bytes: Bytes,
}

/// What was packed last.
#[derive(Debug, Default)]
struct Cache {
    /// The latest last.
    records: Vec<Packed>,
    /// One for each topic at most.
    views: Vec<PackedView>,
}

/// Serves records to other VMs.
#[derive(Debug)]
struct Records<P, L> {
    node: Node<P, L>,
    cache: Arc<Mutex<Cache>>,
    sending: Arc<Semaphore>,
}

impl<P: Clone, L: Clone> Clone for Records<P, L> {
    fn clone(&self) -> Self {
        Self {
            node: self.node.clone(),
            cache: Arc::clone(&self.cache),
            sending: Arc::clone(&self.sending),
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
        cache: Arc::default(),
        sending: Arc::new(Semaphore::new(MAX_SNAPSHOTS)),
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
    fn cache(&self) -> MutexGuard<'_, Cache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The view of a topic; none if there is none yet.
    fn snapshot(&self, topic: SharedTopic) -> Option<Bytes> {
        let view = self.packed_view(topic)?;
        let age = boot::now().since(view.proven);
        match snapshot::encode(&self.node.config.deployment, age, view.bytes) {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                log::error!("neighbours: A snapshot can't be encoded: {error}.");
                None
            }
        }
    }

    fn packed_view(&self, topic: SharedTopic) -> Option<PackedView> {
        let usable =
            |view: &&PackedView| view.topic == topic && boot::now().since(view.proven) < REUSE;
        if let Some(view) = self.cache().views.iter().find(usable) {
            return Some(view.clone());
        }
        let (snapshot, proven) = match topic {
            SharedTopic::Operators => self.node.operators.snapshot(),
            SharedTopic::Endpoints => self.node.directory.snapshot(),
            SharedTopic::Poison => self.node.blocklist.snapshot(),
        }?;
        let Snapshot { records, to, .. } = snapshot;
        let bytes = pack(topic, Offset::default(), records, to)?;
        let view = PackedView {
            topic,
            proven,
            bytes,
        };
        let views = &mut self.cache().views;
        views.retain(|view| view.topic != topic);
        views.push(view.clone());
        Some(view)
    }

    /// The records from an offset on, packed; none if this VM lacks one of them.
    fn records(&self, topic: SharedTopic, from: Offset) -> Option<Bytes> {
        let (records, to) = match topic {
            SharedTopic::Operators => self.node.operators.records_from(from),
            SharedTopic::Endpoints => self.node.directory.records_from(from),
            SharedTopic::Poison => self.node.blocklist.records_from(from),
        };
        let same = |packed: &&Packed| (packed.topic, packed.from, packed.to) == (topic, from, to);
        if let Some(packed) = self.cache().records.iter().find(same) {
            return Some(packed.bytes.clone());
        }
        let bytes = pack(topic, from, records?, to)?;
        let packed = &mut self.cache().records;
        if packed.len() == MAX_PACKED {
            packed.remove(0);
        }
        packed.push(Packed {
            topic,
            from,
            to,
            bytes: bytes.clone(),
        });
        Some(bytes)
    }
}

/// Packs records; none if they can't be packed.
fn pack(topic: SharedTopic, from: Offset, records: Vec<Record>, to: Offset) -> Option<Bytes> {
    let bundle = Bundle::from_chunks(topic, from, vec![records], to).pop()?;
    match bundle.pack() {
        Ok(bytes) => {
            log::info!(
                topic = topic.topic().as_str(),
                from = from.0,
                bytes = bytes.len();
                "neighbours: Packed records for other VMs."
            );
            Some(bytes)
        }
        Err(error) => {
            log::error!("neighbours: Records can't be packed: {error}.");
            None
        }
    }
}

/// Sends a view in pieces, of which few are buffered, so that `sending` is held nearly until the receiver has
/// all of them.
async fn send(bytes: Bytes, writer: Writer, sending: OwnedSemaphorePermit) {
    for start in (0..bytes.len()).step_by(PIECE_BYTES) {
        let end = bytes.len().min(start + PIECE_BYTES);
        if writer.send(bytes.slice(start..end)).await.is_err() {
            log::debug!("neighbours: A VM stopped receiving a view.");
            return;
        }
    }
    if writer.end().await.is_err() {
        log::debug!("neighbours: A VM stopped receiving a view.");
    }
    drop(sending);
}

fn refuse(status: StatusCode, reason: &'static str) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::whole(reason));
    *response.status_mut() = status;
    response
}

impl<P: HeaderCodec + Codec, L: Log> Serve for Records<P, L> {
    async fn serve(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let path = request.uri().path();
        let Some(topic) = snapshot_request(path) else {
            let records = records_request(path).and_then(|(topic, from)| self.records(topic, from));
            return match records {
                Some(bytes) => Response::new(ReplyBody::whole(bytes)),
                None => refuse(StatusCode::NOT_FOUND, "not here\n"),
            };
        };
        let Ok(sending) = Arc::clone(&self.sending).try_acquire_owned() else {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "busy\n");
        };
        let Some(bytes) = self.snapshot(topic) else {
            return refuse(StatusCode::NOT_FOUND, "not here\n");
        };
        let (writer, body) = ReplyBody::stream();
        tokio::spawn(send(bytes, writer, sending));
        Response::new(body)
    }
}
