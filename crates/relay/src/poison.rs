//! Endpoints that end while a request runs there.

mod ended;

use pimento_policy::choice;
use pimento_units::Digest;
use pimento_units::id;

use crate::border::Border;
use crate::codec::Codec;
use crate::node::Node;
use crate::topic::Log;

/// One life of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Life {
    /// Hash of the endpoint's id.
    pub endpoint: u64,
    /// When it began, in milliseconds since the Unix epoch by the endpoint's clock.
    pub born: u64,
}

impl Life {
    /// The life of an endpoint that began at `born`.
    #[must_use]
    pub fn of(endpoint: &id::Endpoint, born: u64) -> Self {
        Self {
            endpoint: choice::key(endpoint.as_str()),
            born,
        }
    }
}

/// The connection to an endpoint ended in the middle of a request: looks whether the endpoint ended.
pub fn broke<P: Border + Codec, L: Log>(
    node: &Node<P, L>,
    digest: Digest,
    endpoint: &id::Endpoint,
) {
    let known = node.directory.view(|view| view.member(endpoint).cloned());
    // One that leaves ends what runs there in its own time.
    let Some(member) = known.filter(|member| !member.entry.leaving) else {
        return;
    };
    let node = node.clone();
    // Bounded in time, and of no use to a VM that ends.
    tokio::spawn(async move {
        let proof = ended::look(&node, &member.entry).await;
        log::info!(
            digest:%,
            endpoint = member.entry.id.as_str(),
            proof = proof.map(ended::Proof::as_str);
            "poison: A run broke off."
        );
    });
}
