//! Reads a response up to its first event.

use std::sync::Arc;

use hyper::Response;
use hyper::StatusCode;
use hyper::http::response;
use pimento_endpoint::Fault;
use pimento_scheduler::Permit;
use pimento_serve::ReplyBody;

use super::silence;
use super::silence::Silence;
use super::source::Item;
use super::source::Source;
use crate::attempts::Attempts;
use crate::attempts::Opened;
use crate::attempts::Overrides;
use crate::attempts::Reservation;
use crate::codec::Codec;
use crate::connection::EndpointResponse;
use crate::error_body;
use crate::events::Event;
use crate::headers::HeaderCodec;
use crate::refusal::Refusal;
use crate::topic::Log;

/// A stream whose first event was received.
pub struct StartedStream {
    pub head: response::Parts,
    pub source: Source,
    pub event: Event,
    /// The model's confidence in its answer, from 0 to 100.
    pub confidence: Option<u8>,
}

/// The start of an endpoint's response.
pub enum FirstResponse {
    /// A stream, with its first event.
    Stream(Box<StartedStream>),
    /// An error response, to be forwarded if no other response follows.
    Error(Response<ReplyBody>),
}

/// What came of one attempt.
enum Outcome {
    Response(FirstResponse),
    /// It failed, and another one may be made.
    Failed,
    /// It was silent, and another endpoint can take over.
    TakenOver(Box<Reservation>),
}

/// Reads a response up to its first event, from another endpoint if one takes over meanwhile. Returns none if
/// the attempt failed and another one may be made.
///
/// # Errors
///
/// A [`Refusal`] if no further attempt may be made.
pub async fn read<P: HeaderCodec + Codec, L: Log>(
    attempts: &mut Attempts<'_, P, L>,
    overrides: &Overrides,
    opened: Opened,
) -> Result<Option<FirstResponse>, Refusal> {
    let mut opened = opened;
    loop {
        let Opened {
            permit,
            response,
            info,
        } = opened;
        let outcome = if response.head.status == StatusCode::OK {
            read_first_event(attempts, overrides, permit, response, info.confidence).await?
        } else {
            read_error(attempts, permit, response).await?
        };
        let reservation = match outcome {
            Outcome::Response(first) => return Ok(Some(first)),
            Outcome::Failed => return Ok(None),
            Outcome::TakenOver(reservation) => reservation,
        };
        match attempts.send(*reservation, overrides).await? {
            Some(next) => opened = next,
            None => return Ok(None),
        }
    }
}

async fn read_error<P: HeaderCodec + Codec, L: Log>(
    attempts: &mut Attempts<'_, P, L>,
    permit: Permit,
    response: EndpointResponse,
) -> Result<Outcome, Refusal> {
    let EndpointResponse { mut head, mut body } = response;
    match error_body::read(&mut body, attempts.left_by_deadline()).await {
        Ok(bytes) => {
            attempts.record_result(&permit, head.status.is_server_error());
            attempts.response_complete(head.status);
            // The endpoint has the prompt in its cache, so the scheduler would prefer it for the next
            // attempt.
            attempts.avoid(permit.endpoint());
            permit.failed(&Fault::Failed {
                status: head.status.as_u16(),
            });
            let platform = &attempts.node().platform;
            platform.strip_connection_headers(&mut head.headers);
            let response = Response::from_parts(head, ReplyBody::whole(bytes));
            Ok(Outcome::Response(FirstResponse::Error(response)))
        }
        Err(fault) => {
            attempts.attempt_failed(permit, &fault)?;
            Ok(Outcome::Failed)
        }
    }
}

async fn read_first_event<P: HeaderCodec + Codec, L: Log>(
    attempts: &mut Attempts<'_, P, L>,
    overrides: &Overrides,
    permit: Permit,
    response: EndpointResponse,
    confidence: Option<u8>,
) -> Result<Outcome, Refusal> {
    let EndpointResponse { head, body } = response;
    let links = Arc::clone(&attempts.node().links);
    let request = attempts.request();
    let last = overrides.last_event_id.or(request.info.last_event_id);
    let mut source = Source::new(permit, body, &request.grant.route, last, links);
    let timeout = source.timeout().min(attempts.left_by_deadline());
    let mut item = source.next_within(timeout).await;
    let mut reservation = None;
    if matches!(item, Err(Fault::Timeout)) {
        item = match silence::outlast(attempts, overrides, &mut source).await {
            Silence::Over(item) => item,
            Silence::TakenOver(reserved) => {
                reservation = Some(reserved);
                Err(Fault::Timeout)
            }
            Silence::Expired => Err(Fault::Timeout),
        };
    }
    let fault = match item {
        Ok(Item::Event(event)) => {
            attempts.record_result(&source.permit, false);
            return Ok(Outcome::Response(FirstResponse::Stream(Box::new(
                StartedStream {
                    head,
                    source,
                    event,
                    confidence,
                },
            ))));
        }
        Ok(Item::End) => Fault::Invalid {
            reason: "the stream has no event".into(),
        },
        Err(fault) => fault,
    };
    attempts.attempt_failed(source.close(), &fault)?;
    Ok(reservation.map_or(Outcome::Failed, Outcome::TakenOver))
}
