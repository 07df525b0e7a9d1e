//! Entry VMs as sources of transferred grants.

use pimento_units::Money;
use pimento_units::id;
use pimento_wire::peer::Answer;
use pimento_wire::peer::Call;

use crate::bills;
use crate::grants::Peers;
use crate::mesh::Mesh;

impl Peers for Mesh {
    fn peers(&self) -> Vec<id::Node> {
        bills::Peers::peers(self)
    }

    async fn request_transfer(
        &self,
        peer: &id::Node,
        customer: &id::Customer,
        period: u64,
        amount: Money,
    ) -> Money {
        let Some(peer) = bills::find_peer(self, peer) else {
            return Money::ZERO;
        };
        let call = Call::TransferGrant {
            customer: customer.clone(),
            period,
            amount,
        };
        match self.call(&peer, call).await {
            // Nothing beyond the requested amount counts: it would raise the sum of all grants.
            Ok(Answer::GrantTransferred {
                amount: transferred,
            }) => transferred.min(amount),
            Ok(_) => Money::ZERO,
            Err(error) => {
                log::info!("grants: nothing transferred: {error}");
                Money::ZERO
            }
        }
    }
}
