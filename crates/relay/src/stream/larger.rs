//! Answers that are given up for a larger model's. The VM keeps one until an endpoint is reserved for the larger
//! model, since callers prefer any answer to a refusal.

use std::time::Duration;

use pimento_units::id;

use crate::attempts::Attempts;
use crate::attempts::Overrides;
use crate::attempts::Reservation;
use crate::cascade;
use crate::cascade::Dropped;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::stage::Step;
use crate::topic::Log;

/// Time within which an endpoint must be had for a larger model. The small model's run holds its slot meanwhile,
/// which may be the one waited for, and its caller gets no event.
const MAX_RESERVE_WAIT: Duration = Duration::from_millis(200);

/// An endpoint that can run a larger model.
pub struct Upgrade {
    pub model: id::Version,
    pub reservation: Reservation,
}

/// Reserves an endpoint for a larger model if an answer of this confidence is to be dropped. The answer's run must
/// be closed before the request is sent there. Returns none if the answer is forwarded to the caller.
pub async fn reserve<P: HeaderCodec + Codec, L: Log>(
    attempts: &mut Attempts<'_, P, L>,
    overrides: &Overrides,
    confidence: Option<u8>,
    dropped: &mut Option<Dropped>,
) -> Option<Upgrade> {
    let model = cascade::choose_larger(attempts, overrides, confidence, dropped)?;
    let next = Overrides {
        model: Some(model.clone()),
        last_event_id: overrides.last_event_id,
    };
    attempts.begin_search();
    let reserved = tokio::time::timeout(MAX_RESERVE_WAIT, attempts.reserve(&next, None)).await;
    let cause = match reserved {
        Ok(Ok(reservation)) => {
            cascade::count_decision(attempts, overrides, true);
            return Some(Upgrade { model, reservation });
        }
        Ok(Err(refusal)) => Some(refusal.cause.as_str()),
        Err(_) => None,
    };
    let request = attempts.request();
    let id = request.info.id.as_str();
    log::info!(request = id, cause; "stream: Answer kept, no endpoint can run the larger model now.");
    cascade::count_decision(attempts, overrides, false);
    *dropped = None;
    request.tracker.enter(Step::Answered, attempts.node().now());
    None
}
