//! A simple load balancer for the entry VMs: round-robin over the ready targets, then over the
//! others.

use std::time::Duration;

use hyper::StatusCode;
use tokio_util::sync::CancellationToken;

use crate::load::client::Client;
use crate::load::client::Message;
use crate::shared::Shared;

/// Polling interval of `/ready`. A VM that shuts down keeps accepting calls for longer than this.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a poll; a VM that does not answer counts as not ready.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Chooses the targets of calls.
#[derive(Debug, Clone)]
pub struct Balancer {
    targets: Vec<String>,
    ready: Shared<Vec<bool>>,
}

impl Balancer {
    /// A balancer that assumes that all targets are ready.
    #[must_use]
    pub fn new(targets: Vec<String>) -> Self {
        let ready = Shared::new(vec![true; targets.len()]);
        Self { targets, ready }
    }

    /// Polls `/ready` at each target's operators' address until the token is cancelled.
    pub async fn watch(self, operators: Vec<String>, token: CancellationToken) {
        let client = Client::default();
        let message = Message::get("/ready");
        while !token.is_cancelled() {
            for (index, address) in operators.iter().enumerate() {
                let response =
                    tokio::time::timeout(POLL_TIMEOUT, client.fetch(&message, address)).await;
                let ready = matches!(response, Ok(Ok((StatusCode::OK, _, _))));
                self.ready.with(|all| {
                    if let Some(known) = all.get_mut(index) {
                        *known = ready;
                    }
                });
            }
            tokio::select! {
                () = token.cancelled() => {}
                () = tokio::time::sleep(POLL_INTERVAL) => {}
            }
        }
    }

    /// The targets in the order in which the call of this number tries them.
    #[must_use]
    pub fn order(&self, number: usize) -> Vec<&str> {
        let count = self.targets.len();
        let states = self.ready.with(|ready| ready.clone());
        let (ready, not_ready): (Vec<usize>, Vec<usize>) =
            (0..count).partition(|index| states[*index]);
        let mut order: Vec<&str> = Vec::with_capacity(count);
        for group in [ready, not_ready] {
            // Rotates within the group, so that the calls of a target that is no longer ready are
            // spread over all others.
            let first = number % group.len().max(1);
            let places = group.iter().cycle().skip(first).take(group.len());
            order.extend(places.map(|index| self.targets[*index].as_str()));
        }
        order
    }
}
