//! Entry VMs as holders of copies.

use pimento_units::id;
use pimento_wire::peer::Answer;
use pimento_wire::peer::Call;

use crate::bills::Peers;
use crate::mesh::Mesh;
use crate::mesh::Peer;

impl Peers for Mesh {
    /// The own zone's first: a copy across zones costs the caller the link's delay, but where the
    /// zone has no other VM it is the only copy.
    fn peers(&self) -> Vec<id::Node> {
        let mut peers = Self::peers(self);
        peers.retain(|peer| !peer.leaving);
        peers.sort_by_key(|peer| &peer.zone != self.zone());
        peers.into_iter().map(|peer| peer.node).collect()
    }

    async fn hold(&self, peer: &id::Node, bills: Vec<String>) -> bool {
        let Some(peer) = find(self, peer) else {
            return false;
        };
        let node = self.node().clone();
        let answer = self.call(&peer, Call::Hold { node, bills }).await;
        matches!(answer, Ok(Answer::Done))
    }

    async fn release(&self, peer: &id::Node, requests: Vec<id::Request>) {
        let Some(peer) = find(self, peer) else { return };
        let node = self.node().clone();
        let call = Call::Drop { node, requests };
        if let Err(error) = self.call(&peer, call).await {
            log::debug!("bills: release not sent: {error}");
        }
    }
}

fn find(mesh: &Mesh, node: &id::Node) -> Option<Peer> {
    Mesh::peers(mesh)
        .into_iter()
        .find(|peer| &peer.node == node)
}
