//! Replication of bills to other entry VMs.

use pimento_units::id;
use pimento_wire::peer::Answer;
use pimento_wire::peer::Call;

use crate::bills::Peers;
use crate::mesh::Mesh;
use crate::mesh::Peer;

/// The order in which a node asks others to hold its copies: nodes after it by name, then from the
/// first name on. If all nodes began with the same one, it would hold the copies of its whole zone,
/// and its loss would leave all of those bills with one holder.
#[must_use]
pub fn ring(own: &id::Node, mut nodes: Vec<id::Node>) -> Vec<id::Node> {
    nodes.sort_unstable();
    let next = nodes.partition_point(|node| node <= own);
    nodes.rotate_left(next);
    nodes
}

impl Peers for Mesh {
    /// Peers of the local zone come first, since a copy to another zone adds the link's delay to
    /// the caller's response. If the local zone has no other VM, the copy in another zone
    /// is the only one.
    fn peers(&self) -> Vec<id::Node> {
        let peers = Self::peers(self).into_iter().filter(|peer| !peer.leaving);
        let (local, remote): (Vec<Peer>, Vec<Peer>) =
            peers.partition(|peer| &peer.zone == self.zone());
        let names = |peers: Vec<Peer>| peers.into_iter().map(|peer| peer.node).collect();
        let mut order = ring(self.node(), names(local));
        order.extend(ring(self.node(), names(remote)));
        order
    }

    async fn store_copies(&self, peer: &id::Node, bills: Vec<String>) -> bool {
        let Some(peer) = find_peer(self, peer) else {
            return false;
        };
        let node = self.node().clone();
        let answer = self.call(&peer, Call::StoreBills { node, bills }).await;
        matches!(answer, Ok(Answer::Done))
    }

    async fn remove_copies(&self, peer: &id::Node, requests: Vec<id::Request>) {
        let Some(peer) = find_peer(self, peer) else {
            return;
        };
        let node = self.node().clone();
        let call = Call::RemoveBills { node, requests };
        if let Err(error) = self.call(&peer, call).await {
            log::debug!("bills: removal of copies not confirmed: {error}");
        }
    }
}

pub(crate) fn find_peer(mesh: &Mesh, node: &id::Node) -> Option<Peer> {
    Mesh::peers(mesh)
        .into_iter()
        .find(|peer| &peer.node == node)
}
