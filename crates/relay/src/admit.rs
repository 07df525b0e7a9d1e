//! Admission of requests: finds a request's route and checks its key.
//!
//! Requests are checked on arrival and again before each attempt. While a request waits, its key may be
//! revoked, its route may be removed or moved to another service, or the configuration may become too
//! old. The last does not end a request that may have run.

use std::sync::Arc;

use pimento_units::id;

use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::headers::RequestInfo;
use crate::home;
use crate::node::Freshness;
use crate::node::Node;
use crate::refusal::Cause;
use crate::refusal::OTHER_VM_RETRY_AFTER;
use crate::refusal::Refusal;
use crate::table::Customer;
use crate::table::Route;
use crate::table::Table;
use crate::topic::Log;

/// Maximum age of a configuration by which an unknown route or key is denied, as a share of the bound on
/// configuration changes. A younger configuration has every route and key that was added longer ago than the
/// bound. The rest of the bound covers the time until the caller gets the response.
const DENIAL_MAX_AGE: f64 = 0.8;

/// The result of a successful admission. It is no grant of money, as in [`pimento_policy::budget`].
#[derive(Debug, Clone)]
pub struct Grant {
    /// The configuration that the request was checked against.
    pub table: Arc<Table>,
    /// The request's route.
    pub route: Arc<Route>,
    /// The customer that owns the request's key; none if the request needs no key.
    pub customer: Option<Customer>,
}

/// Why the current configuration does not admit a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Denial {
    NoTable,
    Stale,
    Route,
    Key,
}

/// Checks a request against the current configuration, without a call of the log.
fn check<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    info: &RequestInfo,
    path: &str,
) -> Result<Grant, Denial> {
    let table = node.table().ok_or(Denial::NoTable)?;
    if node.config_freshness() == Freshness::Stale {
        return Err(Denial::Stale);
    }
    let found = look_up(table, info, path);
    let keyed = match &found {
        Ok(grant) => grant.customer.is_some(),
        Err(denial) => *denial == Denial::Key,
    };
    if keyed && node.key_freshness() == Freshness::Stale {
        return Err(Denial::Stale);
    }
    found
}

/// Looks a request up in a configuration of any age.
fn look_up(table: Arc<Table>, info: &RequestInfo, path: &str) -> Result<Grant, Denial> {
    let route = table.route(&info.host, path).ok_or(Denial::Route)?;
    let route = Arc::clone(route);
    if route.public || !table.requires_key() {
        return Ok(Grant {
            table,
            route,
            customer: None,
        });
    }
    let customer = info.key.as_deref().and_then(|key| table.customer(key));
    let customer = customer.cloned().ok_or(Denial::Key)?;
    Ok(Grant {
        table,
        route,
        customer: Some(customer),
    })
}

/// Admits a request. An unknown route or key may have been added since the configuration was current. The
/// caller is told that it does not exist only by a configuration that is young enough, and is sent to another
/// VM by an older one. The log is not read for it: VMs that lost touch would all read it for their callers.
///
/// # Errors
///
/// A [`Refusal`].
pub fn admit<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    info: &RequestInfo,
    path: &str,
) -> Result<Grant, Refusal> {
    check(node, info, path).map_err(|denial| {
        let bound = node.config.bounds.config_apply.mul_f64(DENIAL_MAX_AGE);
        let young = node.operators.age().is_some_and(|age| age <= bound);
        let unknown = matches!(denial, Denial::Route | Denial::Key);
        refusal(if unknown && !young {
            Denial::Stale
        } else {
            denial
        })
    })
}

/// Checks an admitted request again, without a call of the log.
///
/// # Errors
///
/// A [`Refusal`] if the configuration no longer admits the request. It declares the request as not run.
pub fn recheck<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    info: &RequestInfo,
    path: &str,
) -> Result<Grant, Refusal> {
    check(node, info, path).map_err(refusal)
}

/// Checks a request again that was sent to an endpoint. It was admitted by a configuration that was recent
/// enough, and no other VM can go on with it, so that one that has become too old ends it only by what it says.
///
/// # Errors
///
/// A [`Refusal`] if the last configuration that was read does not admit the request.
pub fn recheck_sent<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    info: &RequestInfo,
    path: &str,
) -> Result<Grant, Refusal> {
    let table = node.table().ok_or(Denial::NoTable);
    let found = table.and_then(|table| look_up(table, info, path));
    found.map_err(refusal)
}

fn refusal(denial: Denial) -> Refusal {
    match denial {
        Denial::NoTable => Refusal::new(Cause::NotReady).with_retry_after(OTHER_VM_RETRY_AFTER),
        Denial::Stale => Refusal::new(Cause::Stale).with_retry_after(OTHER_VM_RETRY_AFTER),
        Denial::Route => Refusal::new(Cause::UnknownRoute),
        Denial::Key => Refusal::new(Cause::UnknownKey),
    }
}

impl Grant {
    /// The zones in which the request may run, of all `zones` with their regions; none if it may run in any.
    #[must_use]
    pub fn allowed_zones(&self, zones: &[(id::Zone, String)]) -> Option<Vec<id::Zone>> {
        let customer = self.customer.as_ref();
        let customer = customer.map_or(&[][..], |customer| &customer.home_regions);
        home::allowed_zones(zones, &self.route.home_regions, customer)
    }

    /// The service for the request. `random` must be the same for all attempts of one request.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> Option<id::Pool> {
        self.route.pick_service(random).cloned()
    }
}
