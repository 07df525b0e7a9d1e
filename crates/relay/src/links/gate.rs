//! Connects to endpoints on behalf of other VMs.

use std::net::SocketAddr;
use std::sync::Arc;

use pimento_tunnel::Gate;
use pimento_tunnel::message::Reply;
use pimento_units::id;
use tokio::net::TcpStream;

use super::Links;

/// The endpoints to which other VMs may be connected.
pub trait Endpoints: Clone + Send + Sync + 'static {
    /// The address of an endpoint that may get new requests now.
    fn usable_address(&self, endpoint: &id::Endpoint) -> Option<SocketAddr>;
}

/// Connects other VMs by this VM's own links only, so that no tunnel has a second hop.
#[derive(Debug, Clone)]
pub struct RelayGate<E> {
    links: Arc<Links>,
    endpoints: E,
}

impl<E: Endpoints> RelayGate<E> {
    /// Creates a gate to these endpoints.
    #[must_use]
    pub const fn new(links: Arc<Links>, endpoints: E) -> Self {
        Self { links, endpoints }
    }
}

impl<E: Endpoints> Gate for RelayGate<E> {
    async fn connect(&self, endpoint: &id::Endpoint) -> Result<TcpStream, Reply> {
        let address = self.endpoints.usable_address(endpoint);
        let Some(address) = address.filter(|_| !self.links.is_down()) else {
            return Err(Reply::Unable);
        };
        let connected = self.links.connect_directly(endpoint, address).await;
        connected.map_err(|error| {
            // The links of both VMs may be cut at the same moment.
            if self.links.are_suspect() {
                return Reply::Unable;
            }
            match error.kind() {
                std::io::ErrorKind::TimedOut => Reply::TimedOut,
                _ => Reply::Refused,
            }
        })
    }
}
