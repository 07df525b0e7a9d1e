//! Answers that endpoints cut off because their callers did not read them.
//!
//! A caller that reads slowly for long stops the reading of its endpoint, which cuts the answer off after some
//! seconds. The caller is to blame: the end neither counts against the endpoint nor as evidence of a crash, and
//! no further run is paid from the budget that all callers share.

use std::time::Duration;

use pimento_scheduler::Permit;
use pimento_serve::Writer;
use pimento_units::id;

use crate::node::Node;

/// Time for which an endpoint must have been held back for the end of its answer to be blamed on the caller.
/// Endpoints allow several seconds.
const MIN_HELD_BACK: Duration = Duration::from_secs(1);

/// Time within which the end of an answer is read once its caller reads again. What the kernel holds of the
/// answer comes first.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);

/// Whether an answer that ends now was probably cut off because its caller did not read.
#[must_use]
pub fn is_cut_off(writer: &Writer) -> bool {
    writer.held_back(CATCH_UP_TIME) >= MIN_HELD_BACK
}

/// Records that an endpoint cut off an answer that was not read, which says nothing of the endpoint.
pub fn record<P, L>(node: &Node<P, L>, pool: &id::Pool, permit: Permit) {
    let endpoint = permit.endpoint().as_str();
    log::info!(endpoint; "response: Cut off by its endpoint, the caller did not read it.");
    node.metrics.count_attempt(pool, "unread");
    permit.lost();
}
