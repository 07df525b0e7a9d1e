//! Calls of plain services, passed through.

mod call;

use std::sync::Arc;

use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::http::request::Parts;
use pimento_coordination::claims::Ticket;
use pimento_endpoint::Fault;
use pimento_endpoint::service;
use pimento_endpoint::service::Service as _;
use pimento_ledger::record;
use pimento_ledger::record::Item;
use pimento_policy::retry;
use pimento_scheduler::Job;
use pimento_scheduler::Permit;
use pimento_serve::ReplyBody;
use pimento_units::Money;
use pimento_units::Tokens;
use pimento_wire::api::Run;
use pimento_wire::header;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use self::call::Call;
use self::call::read;
use crate::filter::Filter;
use crate::filter::admission::Admission;
use crate::filter::admission::Want;
use crate::filter::attempt;
use crate::filter::bill;
use crate::filter::bill::Answered;
use crate::filter::bill::Billing;
use crate::filter::budget::Budget;
use crate::filter::budget::Fund;
use crate::filter::claim::Claim;
use crate::filter::claim::Claimed;
use crate::filter::claim::Subject;
use crate::filter::contract::Contract;
use crate::filter::reply;
use crate::kept;
use crate::metrics::NO_CLASS;
use crate::metrics::Sample;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::trace::Trace;

/// Work of a call, in tokens: calls of plain services are taken for equal.
const WORK: Tokens = Tokens(100);

/// Replicas that refuse a call before its caller is told so. A service has a few, and unlike an
/// engine it does not report its load, so that waiting for long would be a guess.
const REFUSALS: u32 = 6;

/// Priority of plain calls in their own pool, where nothing else waits.
const PRIORITY: u8 = 0;

/// Answers a call of a plain service.
///
/// # Errors
///
/// A [`Refusal`].
pub async fn serve(
    node: &Arc<Node>,
    head: &Parts,
    body: Incoming,
    gone: CancellationToken,
) -> Result<Response<ReplyBody>, Refusal> {
    let call = read(node, head, body, gone).await?;
    if let Some(subject) = call.claim
        && let Some(answer) = Claim(node).kept(subject)?
    {
        return Ok(again(&answer));
    }
    let deadline = call.identity.deadline;
    let fund = Budget(node)
        .reserve(&call.customer, call.service.price, deadline)
        .await?;
    let mut trace = Trace::default();
    let done = run(node, &call, &mut trace).await?;
    match done {
        Done::Answered(answer) => finish(node, call, fund, &trace, answer).await,
        Done::Again(answer) => Ok(again(&answer)),
    }
}

/// How a call ended.
enum Done {
    /// The service answered.
    Answered(service::Answer),
    /// It was made before; this is its answer.
    Again(kept::Answer),
}

/// Makes the call. A claim that was made is always followed by its outcome.
async fn run(node: &Node, call: &Call, trace: &mut Trace) -> Result<Done, Refusal> {
    let mut ticket = None;
    let result = attempts(node, call, trace, &mut ticket).await;
    if let Some(ticket) = ticket {
        match &result {
            Ok(Done::Answered(answer)) => {
                let status = Some(answer.status.as_u16());
                node.claimer.report(ticket, record::Run::Ran, status);
            }
            _ => node.claimer.report(ticket, trace.record(), None),
        }
    }
    result
}

async fn attempts(
    node: &Node,
    call: &Call,
    trace: &mut Trace,
    ticket: &mut Option<Ticket>,
) -> Result<Done, Refusal> {
    loop {
        unbarred(node, call, trace)?;
        let permit = admit(node, call, trace).await?;
        if let (Some(subject), None) = (call.claim, *ticket) {
            match Claim(node).apply(subject).await? {
                Claimed::Owned(owned) => *ticket = Some(owned),
                Claimed::Answered(answer) => return Ok(Done::Again(answer)),
            }
        }
        dispatch(node, call, *ticket, trace)?;
        let endpoint = permit.endpoint().clone();
        trace.attempts += 1;
        match once(node, call, *ticket, permit).await {
            Ok(answer) => {
                node.answered(call.content);
                trace.begun();
                let now = node.clock.now();
                let pool = &call.service.pool;
                node.retries.success(&call.customer, pool, now);
                return Ok(Done::Answered(answer));
            }
            Err(fault) => {
                log::info!(
                    "attempt: {endpoint} failed for {}: {fault}.",
                    call.identity.id
                );
                node.metrics
                    .attempt(&call.service.pool, attempt::name(&fault));
                trace.failed(&endpoint, &fault);
                if !again_after(node, call, trace, &fault) {
                    return Err(trace.refusal(&fault));
                }
            }
        }
    }
}

fn unbarred(node: &Node, call: &Call, trace: &Trace) -> Result<(), Refusal> {
    let unbarred = node.unbarred(call.content);
    unbarred.map_err(|refusal| trace.amend(refusal))
}

async fn admit(node: &Node, call: &Call, trace: &mut Trace) -> Result<Permit, Refusal> {
    let want = Want {
        pool: &call.service.pool,
        job: Job {
            customer: call.customer.clone(),
            weight: call.weight,
            priority: PRIORITY,
            tokens: WORK,
            deadline: call.identity.deadline,
            version: None,
            prefix: None,
            prompt: None,
            tried: trace.tried.clone(),
            previously_refused: call.identity.returning,
            repeatable: call.repeatable,
        },
        gone: &call.identity.gone,
    };
    let admitted = Admission(node).apply(want).await;
    let admitted = admitted.map_err(|refusal| trace.amend(refusal))?;
    trace.waited += admitted.waited;
    Ok(admitted.permit)
}

/// Whether the call may still be sent: the contract may have changed while it waited, and the
/// process may have been paused past the deadline after it claimed the call.
fn dispatch(
    node: &Node,
    call: &Call,
    ticket: Option<Ticket>,
    trace: &Trace,
) -> Result<(), Refusal> {
    unbarred(node, call, trace)?;
    if Contract(node)
        .service(&call.customer, &call.service.name)
        .is_none()
    {
        let message = "the contract no longer has this service";
        let refusal = Refusal::not_run(Code::UnknownService, message);
        return Err(trace.amend(refusal));
    }
    let valid = ticket.is_none_or(|ticket| ticket.valid(Instant::now()));
    if !valid || node.clock.now() >= call.identity.deadline {
        let message = "the deadline passed before the call could be sent";
        return Err(trace.amend(Refusal::not_run(Code::Timeout, message)));
    }
    Ok(())
}

async fn once(
    node: &Node,
    call: &Call,
    ticket: Option<Ticket>,
    permit: Permit,
) -> Result<service::Answer, Fault> {
    let mut sent = call.sent.clone();
    if let Some(ticket) = ticket {
        sent.attempt = ticket.attempt;
    }
    sent.timeout = call.identity.deadline.since(node.clock.now());
    let remote = service::Remote::new(node.connections.clone(), permit.address());
    let result = tokio::select! {
        result = remote.call(sent) => result,
        () = call.identity.gone.cancelled() => Err(Fault::Cancelled),
    };
    match &result {
        Ok(answer) if answer.status.is_server_error() => permit.failed(&Fault::Failed {
            status: answer.status.as_u16(),
        }),
        Ok(_) => permit.served(WORK),
        Err(fault) => {
            node.failed(call.content, permit.endpoint(), fault);
            permit.failed(fault);
        }
    }
    result
}

/// Whether the call is sent again, at another endpoint: always only if no byte of it was sent, or
/// the endpoint said that it did not start it; else only if it may be repeated.
fn again_after(node: &Node, call: &Call, trace: &mut Trace, fault: &Fault) -> bool {
    if *fault == Fault::Cancelled {
        return false;
    }
    if matches!(fault, Fault::Refused { .. }) {
        trace.refused();
        return trace.refusals < REFUSALS;
    }
    let now = node.clock.now();
    let pool = node.scheduler.pool(&call.service.pool);
    let failure = retry::Failure {
        repeatable: call.repeatable || fault.not_run(),
        attempts: trace.attempts,
        run_time: pool.expected_run_time(None, WORK),
        deadline: call.identity.deadline,
    };
    if matches!(fault, Fault::Unreachable { .. }) {
        return retry::can_retry_unsent(failure, now);
    }
    node.retries
        .again(&call.customer, &call.service.pool, failure, now)
}

/// Bills the call, keeps its answer and passes it on.
async fn finish(
    node: &Node,
    call: Call,
    fund: Fund,
    trace: &Trace,
    answer: service::Answer,
) -> Result<Response<ReplyBody>, Refusal> {
    // Only what the service carried out is charged.
    let charged = !answer.status.is_client_error() && !answer.status.is_server_error();
    if charged {
        let answered = Answered {
            // A claimed call's id stands for one call; no other can be made under it.
            request: match call.claim {
                Some(subject) => subject.request,
                None => bill::subject(call.identity.id, call.digest),
            },
            customer: call.customer.clone(),
            class: None,
            item: Item::Service(call.service.name.clone()),
            price: call.service.price,
            cost: Money::ZERO,
            input: Tokens::ZERO,
            output: Tokens::ZERO,
            fund,
        };
        Billing(node).apply(answered).await?;
    }
    let now = node.clock.now();
    if let Some(subject) = call.claim {
        node.kept.put(subject.request, keep(subject, &answer), now);
    }
    let took = now.since(call.identity.arrived);
    let sample = Sample {
        first: took,
        last: took,
        waited: trace.waited,
        cost: Money::ZERO,
    };
    let name = call.service.name.as_str();
    node.metrics.served(&call.customer, NO_CLASS, name, sample);
    log::info!(
        request:% = call.identity.id, customer:% = call.customer;
        "reply: Served {name} with {} in {took:?}.", answer.status
    );
    let mut response = Response::new(ReplyBody::whole(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    Ok(response)
}

fn keep(subject: Subject, answer: &service::Answer) -> kept::Answer {
    let content = answer.headers.get(CONTENT_TYPE);
    let content = content.and_then(|value| value.to_str().ok());
    kept::Answer {
        digest: subject.digest,
        status: answer.status.as_u16(),
        content: content.unwrap_or_default().into(),
        body: answer.body.clone(),
    }
}

fn again(answer: &kept::Answer) -> Response<ReplyBody> {
    let status = hyper::StatusCode::from_u16(answer.status).unwrap_or(hyper::StatusCode::OK);
    let mut response = reply::raw(status, &answer.content, answer.body.clone());
    let ran = hyper::header::HeaderValue::from_static(Run::Ran.as_str());
    response.headers_mut().insert(header::RUN, ran);
    response
}
