//! A call of a plain service as it came, read and checked.

use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::http::request::Parts;
use pimento_contract::Service;
use pimento_contract::service::Claims;
use pimento_endpoint::service;
use pimento_endpoint::service::end_to_end;
use pimento_units::Digest;
use pimento_units::id;
use pimento_wire::header;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::filter::Filter;
use crate::filter::authenticate::Authenticate;
use crate::filter::claim::Subject;
use crate::filter::contract::Contract;
use crate::filter::identify;
use crate::filter::identify::Identity;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// A call that was understood and may be made.
pub(super) struct Call {
    pub(super) identity: Identity,
    pub(super) customer: id::Customer,
    pub(super) weight: u32,
    pub(super) service: Service,
    pub(super) sent: service::Call,
    /// Whether it may be sent twice.
    pub(super) repeatable: bool,
    /// Hash of customer, method, path and body.
    pub(super) digest: u64,
    /// The same for telling requests under which endpoints end.
    pub(super) content: Digest,
    /// What it is claimed by; none if it needs no claim.
    pub(super) claim: Option<Subject>,
}

/// Authenticates, identifies and checks the contract.
pub(super) async fn read(
    node: &Node,
    head: &Parts,
    body: Incoming,
    gone: CancellationToken,
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
    // A call that may not be repeated runs to its end whether or not its caller stays.
    let gone = if repeatable {
        gone
    } else {
        CancellationToken::new()
    };
    let timeout = service.timeout.duration();
    let identify::Content { bytes: body, room } = identify::body(node, body).await?;
    let identity = identify::identity(node, &head.headers, timeout, gone, room)?;
    let digest = digest(&customer, head, &body);
    let content = content(&customer, head, &body);
    // Without an id of the caller's own nobody can ask twice, and one attempt is made.
    let claimed = !repeatable && identity.given && service.claims == Claims::Log;
    let claim = claimed.then_some(Subject {
        request: identity.id,
        digest,
        deadline: identity.deadline,
    });
    let sent = service::Call {
        attempt: id::Attempt(Uuid::now_v7()),
        request: identity.id,
        method: head.method.clone(),
        path,
        headers: passed(&head.headers),
        body,
        timeout,
    };
    Ok(Call {
        identity,
        customer,
        weight,
        service,
        sent,
        repeatable,
        digest,
        content,
        claim,
    })
}

/// The service's name and the path below it, with the query.
fn split(head: &Parts) -> (&str, String) {
    let path = head.uri.path();
    let rest = path
        .strip_prefix(crate::chain::SERVICES)
        .unwrap_or_default();
    let (name, below) = rest.split_once('/').unwrap_or((rest, ""));
    let query = head.uri.query().map_or(String::new(), |q| format!("?{q}"));
    (name, format!("/{below}{query}"))
}

/// The headers that the service gets. The API key is between the caller and us.
fn passed(headers: &HeaderMap) -> HeaderMap {
    let mut passed = end_to_end(headers);
    passed.remove(AUTHORIZATION);
    let own = [
        header::SESSION_TOKEN,
        header::IDEMPOTENCY_KEY,
        header::REQUEST_TIMEOUT,
        header::ATTEMPT,
    ];
    for name in own {
        passed.remove(name);
    }
    passed
}

/// Two calls with one digest are the same call.
fn digest(customer: &id::Customer, head: &Parts, body: &[u8]) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    for part in [customer.as_str(), head.method.as_str(), path] {
        hash.update(part.as_bytes());
        hash.update(&[0]);
    }
    hash.update(body);
    hash.digest()
}

/// The digest of customer, method, path and body.
fn content(customer: &id::Customer, head: &Parts, body: &[u8]) -> Digest {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let texts = [customer.as_str(), head.method.as_str(), path];
    Digest::of(texts.into_iter().map(str::as_bytes).chain([body]))
}
