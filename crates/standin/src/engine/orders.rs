//! Orders, which set the versions that the engine loads, and their fencing numbers.

use std::time::Duration;

use hyper::StatusCode;
use pimento_wire::engine::Order;
use pimento_wire::engine::Reply;
use pimento_wire::header;

use crate::engine::Engine;
use crate::engine::Fencing;
use crate::server;
use crate::server::Answer;
use crate::server::Call;
use crate::server::Handler;

impl Engine {
    /// Carries out an order, unless fencing is on and its fencing number is too old.
    pub(super) async fn order(&self, call: &Call) -> Answer {
        let order: Order = match call.json() {
            Ok(order) => order,
            Err(answer) => return answer,
        };
        let number: Option<u64> = call
            .header(header::FENCING)
            .and_then(|text| text.parse().ok());
        let reply = self.check_fencing(number);
        if reply.accepted {
            self.apply(order).await;
        }
        server::json(StatusCode::OK, &reply)
    }

    fn check_fencing(&self, number: Option<u64>) -> Reply {
        self.state.with(|state| {
            if state.settings.fencing == Fencing::Ignores {
                state.stats.orders += 1;
                return Reply {
                    accepted: true,
                    fencing: None,
                };
            }
            let accepted = number >= state.fencing;
            state.fencing = state.fencing.max(number);
            state.stats.orders += u64::from(accepted);
            state.stats.fenced += u64::from(!accepted);
            Reply {
                accepted,
                fencing: state.fencing,
            }
        })
    }

    async fn apply(&self, order: Order) {
        let Order::Versions(mut wanted) = order else {
            return;
        };
        wanted.sort();
        let loaded = self.versions();
        let new = wanted.iter().filter(|v| loaded.binary_search(v).is_err());
        let new = u64::try_from(new.count()).unwrap_or(u64::MAX);
        let time = self.settings().order_ms.saturating_mul(new);
        tokio::time::sleep(Duration::from_millis(time)).await;
        self.state.with(|state| state.versions = wanted);
        self.record_load();
    }
}
