//! Answers the VMs of the zone that lack records too large for datagrams.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use pimento_serve::Reply;
use pimento_serve::Serve;
use pimento_serve::Stop;
use pimento_units::Offset;
use tokio::net::TcpListener;

use crate::boot;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::passage::PATH;
use crate::passage::Passage;
use crate::passage::Shared;
use crate::snapshot;
use crate::snapshot::Snapshot;
use crate::topic::Log;
use crate::topic::Record;

/// A passage that was packed, for the VMs that ask for it next: those of a zone lack the same.
#[derive(Debug, Clone)]
struct Packed {
    topic: Shared,
    from: Offset,
    to: Offset,
    bytes: Bytes,
}

/// Hands records on.
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

/// Serves until the process ends. Where the address can't be had the other VMs read by themselves.
pub async fn serve<P: HeaderCodec + Codec, L: Log>(node: Node<P, L>) {
    let address = node.config.peer_listen;
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("neighbours: No records handed on at {address}: {error}.");
            return;
        }
    };
    let records = Records {
        node,
        last: Arc::default(),
    };
    pimento_serve::run(listener, records, Stop::default()).await;
}

/// The topic whose view a path asks for.
fn view(path: &str) -> Option<Shared> {
    Shared::named(path.strip_prefix(snapshot::PATH)?)
}

/// What a path asks for.
fn asked(path: &str) -> Option<(Shared, Offset)> {
    let (topic, from) = path.strip_prefix(PATH)?.split_once('/')?;
    Some((Shared::named(topic)?, Offset(from.parse().ok()?)))
}

impl<P: HeaderCodec + Codec, L: Log> Records<P, L> {
    /// The view of a topic, for a VM that asks for it now; none if there is none yet.
    async fn view(&self, topic: Shared) -> Option<Bytes> {
        let asked = boot::now();
        let view = match topic {
            Shared::Operators => self.node.operators.snapshot(asked).await,
            Shared::Endpoints => self.node.directory.snapshot(asked).await,
            Shared::Poison => self.node.blocks.snapshot(asked).await,
        };
        let Snapshot { records, to, age } = view?;
        let packed = self.pack(topic, Offset::default(), records, to)?;
        match snapshot::seal(&self.node.config.deployment, age, packed) {
            Ok(sealed) => Some(sealed),
            Err(error) => {
                log::error!("neighbours: A view can't be handed on: {error}.");
                None
            }
        }
    }

    /// The records from an offset on, packed; none if one is missing here.
    fn packed(&self, topic: Shared, from: Offset) -> Option<Bytes> {
        let (records, to) = match topic {
            Shared::Operators => self.node.operators.all(from),
            Shared::Endpoints => self.node.directory.all(from),
            Shared::Poison => self.node.blocks.all(from),
        };
        self.pack(topic, from, records?, to)
    }

    /// These records, packed.
    fn pack(&self, topic: Shared, from: Offset, records: Vec<Record>, to: Offset) -> Option<Bytes> {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let fits = |packed: &&Packed| (packed.topic, packed.from, packed.to) == (topic, from, to);
        if let Some(packed) = last.as_ref().filter(fits) {
            return Some(packed.bytes.clone());
        }
        let parts = vec![records];
        let passage = Passage::list(topic, from, parts, to).pop()?;
        match passage.pack() {
            Ok(bytes) => {
                log::info!(
                    topic = topic.topic().as_str(),
                    from = from.0,
                    bytes = bytes.len();
                    "neighbours: Records packed for the zone."
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
                log::error!("neighbours: Records not packed: {error}.");
                None
            }
        }
    }
}

impl<P: HeaderCodec + Codec, L: Log> Serve for Records<P, L> {
    async fn serve(&self, request: Request<Incoming>) -> Response<Reply> {
        let path = request.uri().path();
        let packed = match view(path) {
            Some(topic) => self.view(topic).await,
            None => asked(path).and_then(|(topic, from)| self.packed(topic, from)),
        };
        let Some(bytes) = packed else {
            let mut response = Response::new(Reply::whole("not here\n"));
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        };
        Response::new(Reply::whole(bytes))
    }
}
