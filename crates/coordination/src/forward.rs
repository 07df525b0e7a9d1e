//! Appends through the zone's appender.
//!
//! At the target size 400 nodes that append for themselves would spend the log's whole rate. One
//! node of each zone joins the records of all; which one is found by each node for itself. Two at
//! once, or a record that takes two ways, do no harm, since records are safe to append twice.

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
use crate::mesh::Mesh;
use crate::mesh::Peer;
use crate::mesh::Role;

/// A log whose appends go through the zone's appender. Clones share it.
#[derive(Debug, Clone)]
pub struct Forward<L> {
    log: L,
    direct: Appender,
    mesh: Mesh,
    timeout: Duration,
}

impl<L: Log> Forward<L> {
    /// Appends by `direct` where this node is the zone's appender or can't reach it; each append
    /// takes at most `timeout`, which is shorter than that of peers' calls, so that a peer hears
    /// what became of its records and need not stay in doubt.
    pub const fn new(log: L, direct: Appender, mesh: Mesh, timeout: Duration) -> Self {
        Self {
            log,
            direct,
            mesh,
            timeout,
        }
    }

    /// Answers a peer's call, if it is an append.
    ///
    /// It always appends itself: handing on what was handed to it could go in a circle between two
    /// nodes that see different peers.
    pub async fn answer(&self, call: &Call) -> Option<Answer> {
        let Call::Append { stream, records } = call else {
            return None;
        };
        let named = |known: &&Stream| known.name() == stream.as_str();
        let Some(stream) = Stream::ALL.iter().find(named) else {
            let reason = "no such stream".into();
            return Some(Answer::Refused { reason });
        };
        Some(match self.append_here(*stream, records.clone()).await {
            Ok(first) => Answer::Appended { first },
            Err(Error::Refused { .. }) => Answer::Refused {
                reason: "the log refused".into(),
            },
            // In doubt; the caller must not take it for refused.
            Err(_) => Answer::Nothing,
        })
    }

    async fn append_here(&self, stream: Stream, records: Vec<String>) -> Result<Offset, Error> {
        let deadline = Instant::now() + self.timeout;
        self.direct.append_all(stream, records, deadline).await
    }

    fn appender(&self) -> Option<Peer> {
        let chosen = self.mesh.elected(Role::Appender);
        let mut peers = self.mesh.peers().into_iter();
        peers.find(|peer| peer.node == chosen)
    }
}

impl<L: Log> Log for Forward<L> {
    async fn append(&self, stream: Stream, records: Vec<String>) -> Result<Offset, Error> {
        let Some(peer) = self.appender() else {
            return self.append_here(stream, records).await;
        };
        let call = Call::Append {
            stream: stream.name().into(),
            records: records.clone(),
        };
        match self.mesh.call(&peer, call).await {
            Ok(Answer::Appended { first }) => Ok(first),
            Ok(Answer::Refused { .. }) => Err(Error::Refused { after: http::RETRY }),
            Err(mesh::Error::Unreachable { .. } | mesh::Error::Frame { .. }) => {
                self.append_here(stream, records).await
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
