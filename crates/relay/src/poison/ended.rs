//! Whether an endpoint whose connections broke has ended.
//!
//! A connection breaks for many reasons: a reset on the way, an answer that an endpoint cut short, a
//! limit on connections. Only an endpoint that is not there any more has ended.

use std::time::Duration;

use pimento_endpoint::gone;

use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::registration::Registration;
use crate::topic::Log;

/// How long an endpoint that ended may stay registered: its entry goes after three silent heartbeats.
const REGISTERED: Duration = Duration::from_secs(6);

/// How an end is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// Nobody listens at its address.
    Refused,
    /// Its entry is gone, or is that of a later start.
    Unregistered,
}

impl Proof {
    /// The name in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unregistered => "unregistered",
        }
    }
}

/// Waits until an endpoint is known to have ended; none if it is still there.
pub async fn look<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    entry: &Registration,
) -> Option<Proof> {
    let bound = node.connect_times(|reach| reach.bound());
    if gone::is_refused(entry.address, bound).await {
        return Some(Proof::Refused);
    }
    let mut changes = node.directory.changes();
    let gone = async {
        while registered(node, entry) {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
        Proof::Unregistered
    };
    tokio::time::timeout(REGISTERED, gone).await.ok()
}

/// Whether an endpoint is registered as it was, or has lost its entry while the log was out.
fn registered<P: HeaderCodec + Codec, L: Log>(node: &Node<P, L>, entry: &Registration) -> bool {
    node.directory.view(|view| {
        let known = view.member(&entry.id);
        known.is_some_and(|known| known.entry.started_unix_ms == entry.started_unix_ms)
    })
}
