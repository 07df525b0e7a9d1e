//! Checks whether an endpoint whose connections broke has crashed.
//!
//! A connection breaks for many reasons: a reset on the way, an answer that the endpoint cut short, a
//! limit on connections. The endpoint has crashed only if it is not there any more.

use std::time::Duration;

use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::links::Target;
use crate::node::Node;
use crate::registration::Registration;
use crate::topic::Log;

/// How long an endpoint that crashed may stay registered: its entry is removed after three missed
/// heartbeats.
const DEREGISTRATION_TIMEOUT: Duration = Duration::from_secs(6);

/// What shows that an endpoint crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashEvidence {
    /// Its address refuses connections.
    Refused,
    /// Its entry is gone, or belongs to a later incarnation.
    Unregistered,
}

impl CrashEvidence {
    /// The name in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unregistered => "unregistered",
        }
    }
}

/// Waits until an endpoint is known to have crashed; none if it is still there.
pub async fn wait_for_crash<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    registration: &Registration,
) -> Option<CrashEvidence> {
    if node.links.is_refused(target(registration)).await {
        return Some(CrashEvidence::Refused);
    }
    let mut changes = node.directory.changes();
    let gone = async {
        while is_registered(node, registration) {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
        CrashEvidence::Unregistered
    };
    tokio::time::timeout(DEREGISTRATION_TIMEOUT, gone)
        .await
        .ok()
}

const fn target(registration: &Registration) -> Target<'_> {
    Target {
        endpoint: &registration.id,
        zone: &registration.zone,
        address: registration.address,
        lifetime: Duration::ZERO,
    }
}

/// Whether an endpoint is still registered with the same start. One that lost its entry while the log
/// was out counts as registered.
fn is_registered<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    registration: &Registration,
) -> bool {
    node.directory.view(|view| {
        let known = view.member(&registration.id);
        known
            .is_some_and(|known| known.registration.started_unix_ms == registration.started_unix_ms)
    })
}
