//! Calls of plain services, which are passed through.

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
use pimento_scheduler::Requirement;
use pimento_serve::ReplyBody;
use pimento_units::Money;
use pimento_units::Tokens;
use pimento_units::id;
use pimento_wire::api::Run;
use pimento_wire::header;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use self::call::Call;
use self::call::read;
use crate::answers;
use crate::filter::Filter;
use crate::filter::admission::Admission;
use crate::filter::admission::SlotRequest;
use crate::filter::bill;
use crate::filter::bill::Answered;
use crate::filter::bill::Billing;
use crate::filter::budget::Budget;
use crate::filter::budget::Reservation;
use crate::filter::claim::Claim;
use crate::filter::claim::Claimed;
use crate::filter::claim::ClaimedCall;
use crate::filter::contract::Contract;
use crate::filter::reply;
use crate::metrics;
use crate::metrics::ENDED;
use crate::metrics::NO_CLASS;
use crate::metrics::Sample;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::trace::Trace;

/// Cost of a call in tokens. All calls of plain services count the same.
const CALL_TOKENS: Tokens = Tokens(100);

/// Number of refusals by full replicas after which the caller gets an error. A service has few replicas
/// and, unlike an engine, does not report its load, so that it is unknown whether a longer wait helps.
const MAX_REFUSALS: u32 = 6;

/// Priority of plain calls in their pool, which holds no other requests.
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
    caller_gone: CancellationToken,
) -> Result<Response<ReplyBody>, Refusal> {
    let call = node.end.run(read(node, head, body, caller_gone));
    let call = call.await.ok_or_else(Refusal::shutting_down)??;
    if let Some(claimed) = call.claim
        && let Some(answer) = Claim(node).cached(claimed)?
    {
        return Ok(cached_response(&answer));
    }
    let deadline = call.identity.work_deadline();
    let budget = Budget(node);
    let reservation = budget.reserve(&call.customer, call.service.price, deadline);
    let reservation = node.end.run(reservation).await;
    let reservation = reservation.ok_or_else(Refusal::shutting_down)??;
    let mut trace = Trace::default();
    let outcome = run(node, &call, &mut trace).await?;
    match outcome {
        CallResult::Answered(answer) => finish(node, call, reservation, &trace, answer).await,
        CallResult::Cached(answer) => Ok(cached_response(&answer)),
    }
}

/// Result of a call.
enum CallResult {
    /// The service answered.
    Answered(service::Response),
    /// The call was made before; this is the cached answer.
    Cached(answers::Answer),
}

/// Makes the call. If it was claimed, always reports how it ended.
async fn run(node: &Node, call: &Call, trace: &mut Trace) -> Result<CallResult, Refusal> {
    let mut ticket = None;
    let result = attempt_until_done(node, call, trace, &mut ticket).await;
    if let Some(ticket) = ticket {
        match &result {
            Ok(CallResult::Answered(answer)) => {
                let status = Some(answer.status.as_u16());
                node.claimer.report(ticket, record::Run::Ran, status);
            }
            _ => node.claimer.report(ticket, trace.logged_run(), None),
        }
    }
    result
}

async fn attempt_until_done(
    node: &Node,
    call: &Call,
    trace: &mut Trace,
    ticket: &mut Option<Ticket>,
) -> Result<CallResult, Refusal> {
    loop {
        check_blocked(node, call, trace)?;
        let permit = admit(node, call, trace).await?;
        if let (Some(claimed), None) = (call.claim, *ticket) {
            let claimed = ClaimedCall {
                deadline: call.identity.work_deadline(),
                ..claimed
            };
            match Claim(node).apply(claimed).await? {
                Claimed::Owned(owned) => *ticket = Some(owned),
                Claimed::Answered(answer) => return Ok(CallResult::Cached(answer)),
            }
        }
        check_dispatch(node, call, *ticket, trace)?;
        let endpoint = permit.endpoint().clone();
        trace.attempts += 1;
        let result = attempt_once(node, call, *ticket, permit).await;
        match result.ok_or_else(|| record_end(node, call, trace, &endpoint))? {
            Ok(answer) => {
                node.record_complete_answer(call.block_digest);
                trace.record_start();
                let now = node.clock.now();
                let pool = &call.service.pool;
                node.retries.record_success(&call.customer, pool, now);
                return Ok(CallResult::Answered(answer));
            }
            Err(fault) => {
                log::info!(
                    "attempt: {endpoint} failed for {}: {fault}.",
                    call.identity.id
                );
                let result = metrics::result(&fault, &call.identity.end);
                node.metrics.record_attempt(&call.service.pool, result);
                trace.record_failure(&endpoint, &fault);
                if !should_retry(node, call, trace, &fault) {
                    return Err(trace.refusal(&fault));
                }
            }
        }
    }
}

/// Records that the attempt is given up because this VM ends, which tells nothing of the endpoint.
fn record_end(node: &Node, call: &Call, trace: &mut Trace, endpoint: &id::Endpoint) -> Refusal {
    let id = call.identity.id;
    log::warn!("attempt: This VM ends, {id} at {endpoint}: it is given up.");
    let pool = &call.service.pool;
    node.metrics.record_attempt(pool, ENDED);
    trace.record_start();
    trace.ended()
}

fn check_blocked(node: &Node, call: &Call, trace: &Trace) -> Result<(), Refusal> {
    let result = node.ensure_not_blocked(call.block_digest);
    result.map_err(|refusal| trace.correct_run(refusal))
}

async fn admit(node: &Node, call: &Call, trace: &mut Trace) -> Result<Permit, Refusal> {
    let slot_request = SlotRequest {
        pool: &call.service.pool,
        job: Job {
            customer: call.customer.clone(),
            weight: call.weight,
            priority: PRIORITY,
            tokens: CALL_TOKENS,
            deadline: call.identity.work_deadline(),
            requirement: Requirement::default(),
            prefix: None,
            prompt: None,
            aim: None,
            tried: trace.tried.clone(),
            excluded: None,
            previously_refused: call.identity.is_retry,
            repeatable: call.repeatable,
        },
        identity: &call.identity,
    };
    let admitted = Admission(node).apply(slot_request).await;
    let admitted = admitted.map_err(|refusal| trace.correct_run(refusal))?;
    trace.waited += admitted.waited;
    Ok(admitted.permit)
}

/// Checks whether the call may still be sent. The contract may have changed while the call waited, and the
/// process may have been paused past the deadline after it claimed the call.
fn check_dispatch(
    node: &Node,
    call: &Call,
    ticket: Option<Ticket>,
    trace: &Trace,
) -> Result<(), Refusal> {
    check_blocked(node, call, trace)?;
    if call.identity.end.is_reached() {
        return Err(trace.ended());
    }
    if Contract(node)
        .service(&call.customer, &call.service.name)
        .is_none()
    {
        let message = "the contract no longer includes this service";
        let refusal = Refusal::not_run(Code::UnknownService, message);
        return Err(trace.correct_run(refusal));
    }
    let valid = ticket.is_none_or(|ticket| ticket.is_valid(Instant::now()));
    if !valid || node.clock.now() >= call.identity.deadline {
        let message = "the deadline passed before the call could be sent";
        return Err(trace.correct_run(Refusal::not_run(Code::Timeout, message)));
    }
    Ok(())
}

/// `None` if this VM ends first.
async fn attempt_once(
    node: &Node,
    call: &Call,
    ticket: Option<Ticket>,
    permit: Permit,
) -> Option<Result<service::Response, Fault>> {
    let mut outgoing = call.outgoing.clone();
    if let Some(ticket) = ticket {
        outgoing.attempt = ticket.attempt;
    }
    outgoing.timeout = call.identity.deadline.since(node.clock.now());
    let remote = service::Remote::new(node.connections.clone(), permit.address());
    let result = tokio::select! {
        result = remote.call(outgoing) => result,
        () = call.identity.caller_gone.cancelled() => Err(Fault::Cancelled),
        () = call.identity.end.reached() => return None,
    };
    match &result {
        Ok(answer) if answer.status.is_server_error() => permit.failed(&Fault::Failed {
            status: answer.status.as_u16(),
        }),
        Ok(_) => permit.served(CALL_TOKENS),
        Err(fault) => {
            node.record_broken_run(call.block_digest, permit.endpoint(), fault);
            permit.failed(fault);
        }
    }
    Some(result)
}

/// Whether to send the call again to another endpoint. A call that is not repeatable is sent again only if
/// no byte of it was sent or the endpoint reported that it did not start it.
fn should_retry(node: &Node, call: &Call, trace: &mut Trace, fault: &Fault) -> bool {
    if *fault == Fault::Cancelled {
        return false;
    }
    if matches!(fault, Fault::Refused { .. }) {
        trace.record_refusal();
        return trace.refusals < MAX_REFUSALS;
    }
    let now = node.clock.now();
    let pool = node.scheduler.pool(&call.service.pool);
    let failure = retry::Failure {
        repeatable: call.repeatable || fault.not_run(),
        attempts: trace.attempts,
        run_time: pool.expected_run_time(None, CALL_TOKENS),
        deadline: call.identity.work_deadline(),
    };
    if matches!(fault, Fault::Unreachable { .. }) {
        return retry::can_retry_unsent(failure, now);
    }
    node.retries
        .try_retry(&call.customer, &call.service.pool, failure, now)
}

/// Bills the call, retains its answer if it was claimed, and returns the answer.
async fn finish(
    node: &Node,
    call: Call,
    reservation: Reservation,
    trace: &Trace,
    answer: service::Response,
) -> Result<Response<ReplyBody>, Refusal> {
    // Only calls that the service carried out are charged; error responses are not.
    let charged = !answer.status.is_client_error() && !answer.status.is_server_error();
    if charged {
        let answered = Answered {
            // A claimed request id belongs to one call; no other call can be made under it.
            request: match call.claim {
                Some(claimed) => claimed.request,
                None => bill::billing_id(call.identity.id, call.hash),
            },
            customer: call.customer.clone(),
            class: None,
            item: Item::Service(call.service.name.clone()),
            price: call.service.price,
            cost: Money::ZERO,
            input: Tokens::ZERO,
            output: Tokens::ZERO,
            reservation,
        };
        Billing(node).apply(answered).await?;
    }
    let now = node.clock.now();
    if let Some(claimed) = call.claim {
        node.answers
            .insert(claimed.request, cached_answer(claimed, &answer), now);
    }
    let elapsed = now.since(call.identity.arrived);
    let sample = Sample {
        first_byte: elapsed,
        last_byte: elapsed,
        queue_wait: trace.waited,
        cost: Money::ZERO,
    };
    let name = call.service.name.as_str();
    node.metrics
        .record_served(&call.customer, NO_CLASS, name, sample);
    log::info!(
        request:% = call.identity.id, customer:% = call.customer;
        "reply: Served {name} with {} in {elapsed:?}.", answer.status
    );
    let mut response = Response::new(ReplyBody::whole(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    Ok(response)
}

fn cached_answer(claimed: ClaimedCall, answer: &service::Response) -> answers::Answer {
    let content_type = answer.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    answers::Answer {
        digest: claimed.digest,
        status: answer.status.as_u16(),
        content: content_type.unwrap_or_default().into(),
        body: answer.body.clone(),
    }
}

fn cached_response(answer: &answers::Answer) -> Response<ReplyBody> {
    let status = hyper::StatusCode::from_u16(answer.status).unwrap_or(hyper::StatusCode::OK);
    let mut response = reply::raw(status, &answer.content, answer.body.clone());
    let run = hyper::header::HeaderValue::from_static(Run::Ran.as_str());
    response.headers_mut().insert(header::RUN, run);
    response
}
