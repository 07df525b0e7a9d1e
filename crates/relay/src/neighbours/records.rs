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

use crate::border::Border;
use crate::codec::Codec;
use crate::node::Node;
use crate::passage::PATH;
use crate::passage::Passage;
use crate::passage::Shared;
use crate::topic::Log;
use crate::topic::Topic;

/// A passage that was packed, for the VMs that ask for it next: those of a zone lack the same.
#[derive(Debug, Clone)]
struct Packed {
    topic: Topic,
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
pub async fn serve<P: Border + Codec, L: Log>(node: Node<P, L>) {
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

/// What a path asks for.
fn asked(path: &str) -> Option<(Topic, Offset)> {
    let (topic, from) = path.strip_prefix(PATH)?.split_once('/')?;
    let topic = [Topic::Operators, Topic::Endpoints]
        .into_iter()
        .find(|known| known.as_str() == topic)?;
    Some((topic, Offset(from.parse().ok()?)))
}

impl<P: Border + Codec, L: Log> Records<P, L> {
    /// The records from an offset on, packed; none if one is missing here.
    fn packed(&self, topic: Topic, from: Offset) -> Option<Bytes> {
        let (shared, (records, to)) = match topic {
            Topic::Operators => (Shared::Operators, self.node.operators.all(from)),
            Topic::Endpoints => (Shared::Endpoints, self.node.directory.all(from)),
            Topic::Status | Topic::Fleet => return None,
        };
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let fits = |packed: &&Packed| (packed.topic, packed.from, packed.to) == (topic, from, to);
        if let Some(packed) = last.as_ref().filter(fits) {
            return Some(packed.bytes.clone());
        }
        let parts = vec![records?];
        let passage = Passage::list(shared, from, parts, to).pop()?;
        match passage.pack() {
            Ok(bytes) => {
                log::info!(
                    topic = topic.as_str(),
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

impl<P: Border + Codec, L: Log> Serve for Records<P, L> {
    async fn serve(&self, request: Request<Incoming>) -> Response<Reply> {
        let asked = asked(request.uri().path());
        let packed = asked.and_then(|(topic, from)| self.packed(topic, from));
        let Some(bytes) = packed else {
            let mut response = Response::new(Reply::whole("not here\n"));
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        };
        Response::new(Reply::whole(bytes))
    }
}
