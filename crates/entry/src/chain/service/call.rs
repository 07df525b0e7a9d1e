//! Reads and checks a call of a plain service.

use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::http::request::Parts;
use pimento_contract::Service;
use pimento_contract::service::ClaimMode;
use pimento_endpoint::service;
use pimento_endpoint::service::end_to_end;
use pimento_units::Digest;
use pimento_units::id;
use pimento_wire::header;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::filter::Filter;
use crate::filter::authenticate::Authenticate;
use crate::filter::claim::ClaimedCall;
use crate::filter::contract::Contract;
use crate::filter::identify;
use crate::filter::identify::Identity;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// A valid call that the contract allows.
pub(super) struct Call {
    pub(super) identity: Identity,
    pub(super) customer: id::Customer,
    pub(super) weight: u32,
    pub(super) service: Service,
    pub(super) outgoing: service::Call,
    /// Whether it may be sent more than once.
    pub(super) repeatable: bool,
    /// Hash of customer, method, path and body, by which claims and bills tell calls apart.
    pub(super) hash: u64,
    /// Digest of the same parts, by which calls that crash endpoints are blocked.
    pub(super) block_digest: Digest,
    /// What to claim before it is sent; none if it needs no claim.
    pub(super) claim: Option<ClaimedCall>,
}

/// Authenticates the caller, checks the contract and reads the call.
///
/// # Errors
///
/// A [`Refusal`] if the call is invalid or not allowed.
pub(super) async fn read(
    node: &Node,
    head: &Parts,
    body: Incoming,
    caller_gone: CancellationToken,
) -> Result<Call, Refusal> {
    let caller = Authenticate(node).apply(&head.headers).await?;
    let (name, path) = split(head);
    let customer = caller.customer;
    let service = name
        .parse()
        .ok()
        .and_then(|name| Contract(node).service(&customer, &name));
    let service = service.ok_or_else(|| {
        let message = format!("the contract has no service {name:?}");
        Refusal::not_run(Code::UnknownService, message)
    })?;
    let contract = caller.state.contract(&customer);
    let weight = contract.map_or(1, |contract| contract.weight);
    let repeatable = service.is_repeatable(head.method.as_str());
    // A call that is not repeatable is completed even if its caller disconnects.
    let caller_gone = if repeatable {
        caller_gone
    } else {
        CancellationToken::new()
    };
    let timeout = service.timeout.duration();
    let identify::Content {
        bytes: body,
        memory,
    } = identify::body(node, body).await?;
    let identity = identify::identity(node, &head.headers, timeout, caller_gone, memory)?;
    let hash = hash(&customer, head, &body);
    let block_digest = block_digest(&customer, head, &body);
    // A claim serves calls that are sent again under the same id. Without an id chosen by the caller there
    // are none, and no claim is made.
    let claimed = !repeatable && identity.caller_chosen && service.claims == ClaimMode::Log;
    let claim = claimed.then_some(ClaimedCall {
        request: identity.id,
        digest: hash,
        deadline: identity.deadline,
    });
    let outgoing = service::Call {
        attempt: id::Attempt(Uuid::now_v7()),
        request: identity.id,
        method: head.method.clone(),
        path,
        headers: forwarded_headers(&head.headers),
        body,
        timeout,
    };
    Ok(Call {
        identity,
        customer,
        weight,
        service,
        outgoing,
        repeatable,
        hash,
        block_digest,
        claim,
    })
}

/// The service's name and the remaining path with the query.
fn split(head: &Parts) -> (&str, String) {
    let path = head.uri.path();
    let rest = path
        .strip_prefix(crate::chain::SERVICES)
        .unwrap_or_default();
    let (name, subpath) = rest.split_once('/').unwrap_or((rest, ""));
    let query = head.uri.query().map_or(String::new(), |q| format!("?{q}"));
    (name, format!("/{subpath}{query}"))
}

/// The headers to forward to the service. The API key must not reach it.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = end_to_end(headers);
    forwarded.remove(AUTHORIZATION);
    let router_headers = [
        header::SESSION_TOKEN,
        header::IDEMPOTENCY_KEY,
        header::REQUEST_TIMEOUT,
        header::ATTEMPT,
    ];
    for name in router_headers {
        forwarded.remove(name);
    }
    forwarded
}

/// Hash of customer, method, path and body. Two calls with the same hash count as the same call.
fn hash(customer: &id::Customer, head: &Parts, body: &[u8]) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    for part in [customer.as_str(), head.method.as_str(), path] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(body);
    hasher.digest()
}

/// The digest of customer, method, path and body.
fn block_digest(customer: &id::Customer, head: &Parts, body: &[u8]) -> Digest {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let texts = [customer.as_str(), head.method.as_str(), path];
    Digest::of(texts.into_iter().map(str::as_bytes).chain([body]))
}
