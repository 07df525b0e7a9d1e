//! Entry VMs as holders of copies.

use pimento_units::id;
use pimento_wire::peer::Answer;
use pimento_wire::peer::Call;

use crate::bills::Peers;
use crate::mesh::Mesh;
use crate::mesh::Peer;

/// The order in which a node asks others to hold its copies: those that come after it by name, then
/// from the first one on. If all began with the same one, that node would hold the copies of its
/// whole zone, and its loss would leave all of them with one holder.
#[must_use]
pub fn ring(own: &id::Node, mut nodes: Vec<id::Node>) -> Vec<id::Node> {
    nodes.sort_unstable();
    let next = nodes.partition_point(|node| node <= own);
    nodes.rotate_left(next);
    nodes
}

impl Peers for Mesh {
    /// The own zone's first: a copy across zones costs the caller the link's delay, but where the
    /// zone has no other VM it is the only copy.
    fn peers(&self) -> Vec<id::Node> {
        let peers = Self::peers(self).into_iter().filter(|peer| !peer.leaving);
        let (near, far): (Vec<Peer>, Vec<Peer>) = peers.partition(|peer| &peer.zone == self.zone());
        let names = |peers: Vec<Peer>| peers.into_iter().map(|peer| peer.node).collect();
        let mut order = ring(self.node(), names(near));
        order.extend(ring(self.node(), names(far)));
        order
    }

    async fn hold(&self, peer: &id::Node, bills: Vec<String>) -> bool {
        let Some(peer) = find(self, peer) else {
            return false;
        };
        let node = self.node().clone();
        let answer = self.call(&peer, Call::StoreBills { node, bills }).await;
        matches!(answer, Ok(Answer::Done))
    }

    async fn release(&self, peer: &id::Node, requests: Vec<id::Request>) {
        let Some(peer) = find(self, peer) else { return };
        let node = self.node().clone();
        let call = Call::RemoveBills { node, requests };
        if let Err(error) = self.call(&peer, call).await {
            log::debug!("bills: release not sent: {error}");
        }
    }
}

pub(crate) fn find(mesh: &Mesh, node: &id::Node) -> Option<Peer> {
    Mesh::peers(mesh)
        .into_iter()
        .find(|peer| &peer.node == node)
}
