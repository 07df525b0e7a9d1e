//! Model requests, answered as a whole or as a stream.

use std::sync::Arc;

use hyper::Response;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use pimento_ledger::record::Item;
use pimento_serve::ReplyBody;
use pimento_wire::api::Run;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::filter::Filter;
use crate::filter::authenticate::Authenticate;
use crate::filter::bill;
use crate::filter::bill::Answered;
use crate::filter::bill::Billing;
use crate::filter::budget::Budget;
use crate::filter::budget::Funded;
use crate::filter::cascade::Cascade;
use crate::filter::cascade::Served;
use crate::filter::cascade::Work;
use crate::filter::contract::Contract;
use crate::filter::delivery::Delivery;
use crate::filter::identify;
use crate::filter::identify::Identify;
use crate::filter::identify::Raw;
use crate::metrics::Sample;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::trace::Trace;

/// Answers a model request.
///
/// # Errors
///
/// A [`Refusal`], if nothing has been sent to the caller yet.
pub async fn serve(
    node: &Arc<Node>,
    head: &Parts,
    body: Incoming,
    caller_gone: CancellationToken,
) -> Result<Response<ReplyBody>, Refusal> {
    let funded = node.end.run(prepare(node, head, body, caller_gone));
    let funded = funded.await.ok_or_else(Refusal::shutting_down)??;
    if funded.resolved.request.chat.stream {
        stream(node, funded).await
    } else {
        whole(node, funded).await
    }
}

/// Reads and checks the request; nothing is sent to an endpoint yet.
async fn prepare(
    node: &Node,
    head: &Parts,
    body: Incoming,
    caller_gone: CancellationToken,
) -> Result<Funded, Refusal> {
    let caller = Authenticate(node).apply(&head.headers).await?;
    let body = identify::body(node, body).await?;
    let raw = Raw {
        caller,
        headers: &head.headers,
        body,
        caller_gone,
    };
    let request = Identify(node).apply(raw).await?;
    let resolved = Contract(node).apply(request).await?;
    Budget(node).apply(resolved).await
}

async fn whole(node: &Arc<Node>, funded: Funded) -> Result<Response<ReplyBody>, Refusal> {
    let identity = &funded.resolved.request.identity;
    let request = identity.id;
    let mut delivery = Delivery::whole(node.clock, request, identity.deadline);
    let served = run(node, funded, &mut delivery).await?;
    Ok(served.head.whole(request, node.clock.wall(), served.answer))
}

/// Runs the request in a separate task, because the head of the response is sent before its body is
/// complete.
async fn stream(node: &Arc<Node>, funded: Funded) -> Result<Response<ReplyBody>, Refusal> {
    let (head, response) = oneshot::channel();
    let identity = &funded.resolved.request.identity;
    let mut delivery = Delivery::stream(node.clock, identity.id, identity.deadline, head);
    let task_node = Arc::clone(node);
    node.tasks.spawn(async move {
        if let Err(refusal) = run(&task_node, funded, &mut delivery).await {
            let refusal = refusal.attribute(&task_node.end);
            task_node.metrics.record_refusal(refusal.code, refusal.run);
            log::info!(
                "reply: Stream failed, {}: {}.",
                refusal.code,
                refusal.message
            );
            delivery.fail(&refusal).await;
        }
    });
    response.await.map_err(|_| {
        Refusal::new(
            Code::Internal,
            "the answer ended unexpectedly",
            Run::Unknown,
        )
    })
}

async fn run(node: &Node, funded: Funded, delivery: &mut Delivery) -> Result<Served, Refusal> {
    let mut trace = Trace::default();
    let work = Work {
        funded: &funded,
        delivery,
        trace: &mut trace,
    };
    let served = Cascade(node).apply(work).await?;
    let request = funded.resolved.request;
    let version = &served.version;
    let input = served.answer.input();
    let output = served.answer.output();
    let answered = Answered {
        request: bill::chat_billing_id(request.identity.id, &request.chat),
        customer: request.customer.clone(),
        class: Some(request.class.name.clone()),
        item: Item::Version(version.id.clone()),
        price: version.price.of(input, output),
        cost: trace.cost,
        input,
        output,
        reservation: funded.reservation,
    };
    Billing(node).apply(answered).await?;
    let finished = delivery.finish().await;
    finished.map_err(|fault| trace.refusal(&fault))?;
    let now = node.clock.now();
    let arrived = request.identity.arrived;
    let first_sent_at = delivery.first_sent_at().unwrap_or(now);
    let sample = Sample {
        first_byte: first_sent_at.since(arrived),
        last_byte: now.since(arrived),
        queue_wait: trace.waited,
        cost: trace.cost,
    };
    let class = request.class.name.as_str();
    node.metrics
        .record_served(&request.customer, class, version.id.as_str(), sample);
    log::info!(
        request:% = request.identity.id, customer:% = request.customer;
        "reply: Served {class} by {} in {:?}.", version.id, sample.last_byte
    );
    Ok(served)
}
