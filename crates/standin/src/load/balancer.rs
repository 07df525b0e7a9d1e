//! The balancer before the entry VMs, as far as the load generator plays it: targets in turns,
//! those that say they are not ready last.

use std::time::Duration;

use hyper::StatusCode;
use tokio_util::sync::CancellationToken;

use crate::load::client::Client;
use crate::load::client::Message;
use crate::shared::Shared;

/// Time between two looks at `/ready`. A VM that leaves goes on accepting for longer than this.
const PERIOD: Duration = Duration::from_millis(200);
/// How long a look may take; a VM that does not answer counts as not ready.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Where calls go.
#[derive(Debug, Clone)]
pub struct Balancer {
    targets: Vec<String>,
    ready: Shared<Vec<bool>>,
}

impl Balancer {
    /// A balancer that takes all targets for ready.
    #[must_use]
    pub fn new(targets: Vec<String>) -> Self {
        let ready = Shared::new(vec![true; targets.len()]);
        Self { targets, ready }
    }

    /// Looks at `/ready` of each target's operators' address until the token is cancelled.
    pub async fn watch(self, operators: Vec<String>, token: CancellationToken) {
        let client = Client::default();
        let message = Message::get("/ready");
        while !token.is_cancelled() {
            for (place, address) in operators.iter().enumerate() {
                let look = tokio::time::timeout(TIMEOUT, client.whole(&message, address)).await;
                let ready = matches!(look, Ok(Ok((StatusCode::OK, _, _))));
                self.ready.with(|all| {
                    if let Some(known) = all.get_mut(place) {
                        *known = ready;
                    }
                });
            }
            tokio::select! {
                () = token.cancelled() => {}
                () = tokio::time::sleep(PERIOD) => {}
            }
        }
    }

    /// The targets in the order in which they are tried for a call of this number.
    #[must_use]
    pub fn turns(&self, number: usize) -> Vec<&str> {
        let count = self.targets.len();
        let ready = self.ready.with(|ready| ready.clone());
        let (up, down): (Vec<usize>, Vec<usize>) = (0..count).partition(|place| ready[*place]);
        let mut turns: Vec<&str> = Vec::with_capacity(count);
        for group in [up, down] {
            // Taken in turns within the group, so that the calls of a target that went are spread.
            let first = number % group.len().max(1);
            let places = group.iter().cycle().skip(first).take(group.len());
            turns.extend(places.map(|place| self.targets[*place].as_str()));
        }
        turns
    }
}
