//! Appends through the zone's appending node.
//!
//! At the target size, 400 nodes that each append for themselves would exhaust the log's rate. So
//! one node of each zone appends the records of all. Each node determines that node for itself. Two
//! appenders at once, or a record that is appended by two, are harmless, since records are safe to
//! append twice.

use std::time::Duration;

use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_wire::peer::Answer;
use pimento_wire::peer::Call;
use pimento_wire::platform::Batch;
use tokio::time::Instant;

use crate::appender::Appender;
use crate::http;
use crate::log::Error;
use crate::log::Log;
use crate::mesh;
use crate::mesh::Duty;
use crate::mesh::Mesh;
use crate::mesh::Peer;

/// A log whose appends go through the zone's appending node. Clones share it.
#[derive(Debug, Clone)]
pub struct Forwarder<L> {
    log: L,
    direct: Appender,
    mesh: Mesh,
    timeout: Duration,
}

impl<L: Log> Forwarder<L> {
    /// Appends through `direct` if this node is the zone's appender or cannot reach it. Each such
    /// append takes at most `timeout`, which must be shorter than the timeout of peers' calls, so
    /// that a peer gets the result for its records.
    pub const fn new(log: L, direct: Appender, mesh: Mesh, timeout: Duration) -> Self {
        Self {
            log,
            direct,
            mesh,
            timeout,
        }
    }

    /// Answers a peer's call if it is an append.
    ///
    /// It always appends directly: records forwarded again could loop between two nodes that see
    /// different peers.
    pub async fn answer(&self, call: &Call) -> Option<Answer> {
        let Call::Append { stream, records } = call else {
            return None;
        };
        let named = |known: &&Stream| known.name() == stream.as_str();
        let Some(stream) = Stream::ALL.iter().find(named) else {
            let reason = "unknown stream".into();
            return Some(Answer::Refused { reason });
        };
        Some(match self.append_direct(*stream, records.clone()).await {
            Ok(first) => Answer::Appended { first },
            Err(Error::Refused { .. }) => Answer::Refused {
                reason: "the log refused".into(),
            },
            // The records may be on the log, so the caller must not treat them as refused.
            Err(_) => Answer::Nothing,
        })
    }

    async fn append_direct(&self, stream: Stream, records: Vec<String>) -> Result<Offset, Error> {
        let deadline = Instant::now() + self.timeout;
        self.direct.append_all(stream, records, deadline).await
    }

    fn appending_peer(&self) -> Option<Peer> {
        let chosen = self.mesh.assigned(Duty::Appender);
        let mut peers = self.mesh.peers().into_iter();
        peers.find(|peer| peer.node == chosen)
    }
}

impl<L: Log> Log for Forwarder<L> {
    async fn append(&self, stream: Stream, records: Vec<String>) -> Result<Offset, Error> {
        let Some(peer) = self.appending_peer() else {
            return self.append_direct(stream, records).await;
        };
        let call = Call::Append {
            stream: stream.name().into(),
            records: records.clone(),
        };
        match self.mesh.call(&peer, call).await {
            Ok(Answer::Appended { first }) => Ok(first),
            Ok(Answer::Refused { .. }) => Err(Error::Refused {
                retry_after: http::RETRY_DELAY,
            }),
            Err(mesh::Error::Unreachable { .. } | mesh::Error::Frame { .. }) => {
                self.append_direct(stream, records).await
            }
            Ok(_) | Err(_) => {
                let reason = format!("no answer from the appender {}", peer.node);
                Err(Error::Lost { reason })
            }
        }
    }

    async fn read(
        &self,
        stream: Stream,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<Batch, Error> {
        self.log.read(stream, from, max, wait).await
    }
}
