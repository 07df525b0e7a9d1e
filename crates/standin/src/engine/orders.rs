//! Orders: which versions the engine holds, and what it makes of old fencing numbers.

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
    /// Carries an order out, unless its fencing number is old and looked at.
    pub(super) async fn order(&self, call: &Call) -> Answer {
        let order: Order = match call.json() {
            Ok(order) => order,
            Err(answer) => return answer,
        };
        let number: Option<u64> = call
            .header(header::FENCING)
            .and_then(|text| text.parse().ok());
        let reply = self.fence(number);
        if reply.accepted {
            self.obey(order).await;
        }
        server::json(StatusCode::OK, &reply)
    }

    fn fence(&self, number: Option<u64>) -> Reply {
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

    async fn obey(&self, order: Order) {
        let Order::Versions(mut wanted) = order else {
            return;
        };
        wanted.sort();
        let held = self.versions();
        let new = wanted.iter().filter(|v| held.binary_search(v).is_err());
        let new = u64::try_from(new.count()).unwrap_or(u64::MAX);
        let time = self.settings().order_ms.saturating_mul(new);
        tokio::time::sleep(Duration::from_millis(time)).await;
        self.state.with(|state| state.versions = wanted);
        self.report();
    }
}
