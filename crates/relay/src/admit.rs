//! What a request may do: its route, its customer and its deadline.
//!
//! Asked when the request comes and again before each send: while a request waits, its key may be
//! revoked, its route dropped or moved to another service, or the configuration grow too old.

use std::sync::Arc;
use std::time::Duration;

use pimento_units::id;

use crate::boot;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::headers::RequestInfo;
use crate::node::Freshness;
use crate::node::Node;
use crate::refusal::Cause;
use crate::refusal::Refusal;
use crate::table::Customer;
use crate::table::Route;
use crate::table::Table;
use crate::topic::Log;

/// Share of the bound on changes that a configuration may be old and still be taken at its word that
/// a route or key does not exist: one that was added longer ago than the bound is then known. The
/// rest covers the time that the answer takes. To ask the log for each request with a revoked key
/// made up a third of its calls.
const CERTAIN: f64 = 0.8;

/// When to come back to a VM that can't know its configuration: its balancer has noticed by then,
/// and other VMs of the zone take the request.
const ELSEWHERE: Duration = Duration::from_millis(200);

/// What a request may do.
#[derive(Debug, Clone)]
pub struct Grant {
    /// The configuration that says so.
    pub table: Arc<Table>,
    /// Its route.
    pub route: Arc<Route>,
    /// Its customer; none on a public route.
    pub customer: Option<Customer>,
}

/// Why the configuration at hand does not let a request in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Denial {
    NoTable,
    Stale,
    Route,
    Key,
}

/// What a request may do by the configuration at hand, without asking anybody.
fn look<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    info: &RequestInfo,
    path: &str,
) -> Result<Grant, Denial> {
    let table = node.table().ok_or(Denial::NoTable)?;
    if node.current() == Freshness::Stale {
        return Err(Denial::Stale);
    }
    let route = table.route(&info.host, path).ok_or(Denial::Route)?;
    let route = Arc::clone(route);
    if route.public || !table.requires_key() {
        return Ok(Grant {
            table,
            route,
            customer: None,
        });
    }
    if node.freshness() == Freshness::Stale {
        return Err(Denial::Stale);
    }
    let customer = info.key.as_deref().and_then(|key| table.customer(key));
    let customer = customer.cloned().ok_or(Denial::Key)?;
    Ok(Grant {
        table,
        route,
        customer: Some(customer),
    })
}

/// Lets a request in. An unknown route or key may have been added a moment ago, so that the log is
/// asked once more before the caller hears that it does not exist.
///
/// # Errors
///
/// A [`Refusal`].
pub async fn admit<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    info: &RequestInfo,
    path: &str,
) -> Result<Grant, Refusal> {
    let denial = match look(node, info, path) {
        Ok(grant) => return Ok(grant),
        Err(denial) => denial,
    };
    if matches!(denial, Denial::Route | Denial::Key) {
        let now = boot::now();
        let bound = node.config.bounds.config_apply.mul_f64(CERTAIN);
        let certain = node.operators.age().is_some_and(|age| age <= bound);
        if !certain && !node.operators.confirm(now).await {
            return Err(Refusal::new(Cause::Stale).after(ELSEWHERE));
        }
    }
    look(node, info, path).map_err(refusal)
}

/// Whether a request that was let in may still be sent to `pool`.
///
/// # Errors
///
/// A [`Refusal`] of the request as not run.
pub fn recheck<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    info: &RequestInfo,
    path: &str,
) -> Result<Grant, Refusal> {
    look(node, info, path).map_err(refusal)
}

fn refusal(denial: Denial) -> Refusal {
    match denial {
        Denial::NoTable => Refusal::new(Cause::NotReady).after(ELSEWHERE),
        Denial::Stale => Refusal::new(Cause::Stale).after(ELSEWHERE),
        Denial::Route => Refusal::new(Cause::UnknownRoute),
        Denial::Key => Refusal::new(Cause::UnknownKey),
    }
}

impl Grant {
    /// The service for a request.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> Option<id::Pool> {
        self.route.pick_service(random).cloned()
    }
}
