//! The filter chain of each kind of request.

pub mod model;
pub mod service;

use std::sync::Arc;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use pimento_serve::ReplyBody;
use pimento_wire::api::Model;
use pimento_wire::api::Models;
use tokio_util::sync::CancellationToken;

use crate::filter::Filter;
use crate::filter::authenticate::Authenticate;
use crate::filter::reply;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// The path of model requests.
const CHAT: &str = "/v1/chat/completions";

/// The path of the list of models.
const MODELS: &str = "/v1/models";

/// Prefix of the paths of plain services.
const SERVICES: &str = "/services/";

/// Answers one request of a caller. `caller_gone` is cancelled if the caller disconnects before the head
/// of the response is sent.
pub async fn serve(
    node: &Arc<Node>,
    request: Request<Incoming>,
    caller_gone: CancellationToken,
) -> Response<ReplyBody> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let result = if path == CHAT && head.method == Method::POST {
        model::serve(node, &head, body, caller_gone).await
    } else if path == MODELS && head.method == Method::GET {
        models(node, &head).await
    } else if path.starts_with(SERVICES) {
        service::serve(node, &head, body, caller_gone).await
    } else if path == CHAT || path == MODELS {
        let message = format!("{path} does not support the method {}", head.method);
        Err(Refusal::not_run(Code::WrongMethod, message))
    } else {
        Err(Refusal::not_run(Code::UnknownPath, "unknown path"))
    };
    result.unwrap_or_else(|refusal| {
        let refusal = refusal.attribute(&node.end);
        node.metrics.record_refusal(refusal.code, refusal.run);
        log::info!("reply: Refused, {}: {}.", refusal.code, refusal.message);
        refusal.response()
    })
}

async fn models(
    node: &Node,
    head: &hyper::http::request::Parts,
) -> Result<Response<ReplyBody>, Refusal> {
    let caller = Authenticate(node).apply(&head.headers).await?;
    let contract = caller.state.contract(&caller.customer);
    let classes = contract.map_or(&[][..], |contract| &contract.classes);
    let data = classes.iter().map(|class| Model {
        id: class.name.as_str().into(),
        object: "model".into(),
        owned_by: caller.customer.as_str().into(),
    });
    Ok(reply::json(&Models {
        object: "list".into(),
        data: data.collect(),
    }))
}
