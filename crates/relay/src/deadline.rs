//! Deadlines of requests, which operators may put off while the requests are under way.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use pimento_units::Moment;

use crate::admit;
use crate::admitted::AdmittedRequest;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::headers::RequestInfo;
use crate::node::Node;
use crate::node::millis;
use crate::table::Route;
use crate::topic::Log;

/// When a response must be complete.
#[derive(Debug)]
pub struct Deadline(AtomicU64);

impl From<Moment> for Deadline {
    fn from(moment: Moment) -> Self {
        Self(AtomicU64::new(moment.nanos()))
    }
}

impl Deadline {
    /// The present deadline.
    #[must_use]
    pub fn get(&self) -> Moment {
        Moment::from_nanos(self.0.load(Ordering::Relaxed))
    }

    /// Puts the deadline off to `later`. Returns false if it is not earlier.
    fn extend(&self, later: Moment) -> bool {
        self.0.fetch_max(later.nanos(), Ordering::Relaxed) < later.nanos()
    }
}

/// How long the caller and the route allow a request to take.
#[must_use]
pub fn time_limit(info: &RequestInfo, route: &Route) -> Duration {
    let limit = route.timeout;
    info.timeout.map_or(limit, |caller| caller.min(limit))
}

/// Waits until the response must be complete by the configuration at admission and by the one in force, so
/// that a change cuts no response that may go on. A shorter timeout is for requests that come after it.
pub async fn passed<P: HeaderCodec + Codec, L: Log>(node: &Node<P, L>, request: &AdmittedRequest) {
    loop {
        tokio::time::sleep(request.left_by_deadline(node.now())).await;
        if !extend(node, request) {
            return;
        }
    }
}

/// Puts off the deadline of a request if the configuration in force allows it more time. Returns whether
/// there is time left then.
pub fn extend<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    request: &AdmittedRequest,
) -> bool {
    let Ok(grant) = admit::recheck_sent(node, &request.info, request.path()) else {
        return false;
    };
    let limit = time_limit(&request.info, &grant.route);
    let now = node.now();
    // Another wait of the same request may have put it off already.
    if request.deadline.extend(request.began + limit) {
        let (request, limit_ms) = (request.info.id.as_str(), millis(limit));
        log::info!(request, limit_ms; "request: Its route allows more time by now.");
    }
    !request.left_by_deadline(now).is_zero()
}
