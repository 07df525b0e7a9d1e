//! Forwards responses that are not streams.
//!
//! A response is read to its end before its head is sent to the caller, unless it is long. A response that
//! breaks off must not look complete, and a request that may run again is better answered by another
//! endpoint.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use compact_str::CompactString;
use hyper::Response;
use hyper::StatusCode;
use pimento_endpoint::Fault;
use pimento_scheduler::Permit;
use pimento_serve::ReplyBody;
use pimento_serve::Writer;
use pimento_serve::unread::CALLER_BYTES;
use pimento_serve::unread::Reservation;
use pimento_serve::unread::Unread;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;

use crate::admitted::AdmittedRequest;
use crate::attempts::Attempts;
use crate::attempts::Opened;
use crate::attempts::Overrides;
use crate::codec::Codec;
use crate::connection::ResponseBody;
use crate::error_body;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::node::millis;
use crate::poison;
use crate::refusal::Cause;
use crate::refusal::Refusal;
use crate::stream::unread;
use crate::topic::Log;

/// Maximum size of a response that is buffered, in bytes. Responses of plain services have a few
/// kilobytes; a VM has tens of megabytes for some hundred concurrent requests.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Maximum size of a response, in bytes. Until it is reached, the deadline and the caller's reading limit what an
/// endpoint sends; a response that does not end must not take a VM's link all that time.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// The part of a body that was read.
enum Buffered {
    Complete(Bytes),
    /// The body is too long to be buffered: its beginning and the rest.
    Partial(Bytes, ResponseBody),
}

/// Handles a request that is not for a stream.
///
/// # Errors
///
/// A [`Refusal`] if no endpoint answered.
pub async fn serve<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    request: &AdmittedRequest,
) -> Result<Response<ReplyBody>, Refusal> {
    let mut attempts = Attempts::new(node, request);
    // A server error of an endpoint is forwarded unchanged if no other response follows.
    let mut failure: Option<Response<ReplyBody>> = None;
    loop {
        let opened = match attempts.open(&Overrides::default()).await {
            Ok(opened) => opened,
            Err(refusal) => return failure.ok_or(refusal),
        };
        let Opened {
            permit, response, ..
        } = opened;
        let (mut head, mut body) = (response.head, response.body);
        let is_error = head.status.is_server_error();
        // The end of this VM says nothing of the endpoint. Callers who wait by then get a final response.
        let left = request.left_by_deadline(node.now());
        let ends_with_connection = body.ends_with_connection();
        let read = async {
            let read = if is_error {
                Buffered::Complete(error_body::read(&mut body, left).await?)
            } else {
                read(body, &node.unread).await?
            };
            if ends_with_connection && matches!(read, Buffered::Complete(_)) {
                node.links.check_end(&permit).await?;
            }
            Ok(read)
        };
        let read = tokio::time::timeout(left, read).await;
        let read = read.unwrap_or(Err(Fault::Timeout));
        node.platform.strip_connection_headers(&mut head.headers);
        match read {
            Ok(Buffered::Complete(bytes)) => {
                let failed = is_error;
                attempts.record_result(&permit, failed);
                attempts.response_complete(head.status);
                attempts.record_session_version(&permit);
                attempts.avoid(permit.endpoint());
                // A server error comes fast. Counted as served, it would make other endpoints look slow.
                if failed {
                    permit.failed(&Fault::Failed {
                        status: head.status.as_u16(),
                    });
                } else {
                    permit.served(PLAIN_CALL_WORK);
                }
                record_response(node, request, head.status, bytes.len());
                let response = Response::from_parts(head, ReplyBody::whole(bytes));
                if failed && attempts.may_retry() {
                    failure = Some(response);
                    continue;
                }
                return Ok(response);
            }
            Ok(Buffered::Partial(start, rest)) => {
                let (writer, reply) = ReplyBody::stream_within(&node.unread);
                let took = node.now().since(request.began);
                let route = request.grant.route.name.clone();
                node.metrics.observe_first_byte(&route, took);
                let transfer = Transfer {
                    node: node.clone(),
                    pool: request.pool.clone(),
                    permit,
                    run: attempts.run(),
                    status: head.status,
                    id: request.info.id.clone(),
                    route,
                    began: request.began,
                    ends_with_connection,
                };
                let left = request.left_by_deadline(node.now());
                node.response_tasks
                    .spawn(async move { transfer.run(writer, (start, rest), left).await });
                return Ok(Response::from_parts(head, reply));
            }
            Err(fault) => {
                if let Err(refusal) = attempts.attempt_failed(permit, &fault) {
                    return failure.ok_or(refusal);
                }
            }
        }
    }
}

/// A response that is too long to be buffered, on its way to the caller.
struct Transfer<P, L> {
    node: Node<P, L>,
    pool: id::Pool,
    permit: Permit,
    run: poison::Run,
    status: StatusCode,
    /// The request's id.
    id: CompactString,
    route: CompactString,
    /// When the request's head was received.
    began: Moment,
    ends_with_connection: bool,
}

impl<P: HeaderCodec + Codec, L: Log> Transfer<P, L> {
    async fn run(self, writer: Writer, body: (Bytes, ResponseBody), left: Duration) {
        let forwarded = tokio::select! {
            biased;
            forwarded = tokio::time::timeout(left, self.forward(&writer, body)) => {
                forwarded.unwrap_or(Err(Fault::Timeout))
            }
            // Amid a silent body no write would show it, and the endpoint would go on.
            () = writer.disconnected() => Err(Fault::Cancelled),
        };
        let ended = !matches!(forwarded, Ok(()) | Err(Fault::Cancelled));
        let unread = ended && unread::is_cut_off(&writer);
        self.record_end(&forwarded, unread);
        match forwarded {
            Ok(()) => {
                poison::record_answer(&self.node, &self.run, self.status.is_success());
                self.permit.served(PLAIN_CALL_WORK);
                if writer.end().await.is_err() {
                    log::debug!("response: Caller disconnected at the end.");
                }
            }
            // Dropping the writer without a call of end() aborts the connection.
            Err(_) if unread => unread::record(&self.node, &self.pool, self.permit),
            Err(fault) => {
                poison::record_failure(&self.node, self.run, self.permit.endpoint(), &fault);
                self.permit.failed(&fault);
            }
        }
    }

    async fn forward(&self, writer: &Writer, body: (Bytes, ResponseBody)) -> Result<(), Fault> {
        let disconnected = |_| Fault::Cancelled;
        let (start, mut rest) = body;
        let mut forwarded = start.len() as u64;
        if !start.is_empty() {
            writer.send(start).await.map_err(disconnected)?;
        }
        while let Some(data) = rest.next().await? {
            forwarded += data.len() as u64;
            check_length(forwarded)?;
            writer.send(data).await.map_err(disconnected)?;
        }
        if self.ends_with_connection {
            if unread::is_cut_off(writer) {
                return Err(Fault::Interrupted {
                    reason: "the end may be that of an unread answer".into(),
                });
            }
            self.node.links.check_end(&self.permit).await?;
        }
        Ok(())
    }

    /// Records how the response ended, in metrics and the log.
    fn record_end(&self, forwarded: &Result<(), Fault>, unread: bool) {
        let took = self.node.now().since(self.began);
        let (end, cause) = match forwarded {
            Ok(()) if self.status.is_server_error() => ("failed", None),
            Ok(()) => ("whole", None),
            Err(Fault::Cancelled) if self.node.lifetime.is_aborted() => ("vm_stopped", None),
            Err(Fault::Cancelled) => ("caller_left", None),
            Err(_) if unread => ("broken_off", Some(Cause::Unread)),
            Err(Fault::Timeout) => ("broken_off", Some(Cause::Timeout)),
            Err(_) => ("broken_off", Some(Cause::Failed)),
        };
        self.node.metrics.observe_end(&self.route, end, took);
        log::info!(
            request = self.id.as_str(),
            end,
            cause = cause.map(Cause::as_str),
            endpoint = self.permit.endpoint().as_str(),
            status = self.status.as_u16(),
            took_ms = millis(took);
            "response: Ended."
        );
    }
}

/// Records a complete response in metrics and the log.
fn record_response<P, L>(
    node: &Node<P, L>,
    request: &AdmittedRequest,
    status: StatusCode,
    bytes: usize,
) {
    let took = node.clock.now().since(request.began);
    let route = &request.grant.route.name;
    let end = if status.is_server_error() {
        "failed"
    } else {
        "whole"
    };
    node.metrics.observe_first_byte(route, took);
    node.metrics.observe_end(route, end, took);
    log::info!(
        request = request.info.id.as_str(),
        status = status.as_u16(),
        bytes,
        took_ms = millis(took);
        "request: The endpoint responded."
    );
}

/// The scheduler's measure of work for a call to a plain service.
const PLAIN_CALL_WORK: Tokens = Tokens(1);

fn check_length(bytes: u64) -> Result<(), Fault> {
    if bytes > MAX_BODY_BYTES {
        return Err(Fault::Invalid {
            reason: "the body is too long".into(),
        });
    }
    Ok(())
}

/// Reads an answer that is short enough to be buffered. While callers leave much unread, only the shortest are.
async fn read(mut body: ResponseBody, unread: &Unread) -> Result<Buffered, Fault> {
    let length = body.min_remaining();
    check_length(length)?;
    if length > MAX_BUFFERED_BYTES as u64 {
        return Ok(Buffered::Partial(Bytes::new(), body));
    }
    let length = usize::try_from(length).unwrap_or(MAX_BUFFERED_BYTES);
    let expected = if length == 0 {
        MAX_BUFFERED_BYTES
    } else {
        length
    };
    let mut reservation = None;
    let mut buffer = BytesMut::new();
    while let Some(data) = body.next().await? {
        buffer.extend_from_slice(&data);
        if buffer.len() > CALLER_BYTES && reservation.is_none() {
            reservation = unread.reserve(expected);
        }
        let limit = reservation
            .as_ref()
            .map_or(CALLER_BYTES, |_| MAX_BUFFERED_BYTES);
        if buffer.len() > limit {
            return Ok(Buffered::Partial(hold(buffer, reservation), body));
        }
    }
    Ok(Buffered::Complete(hold(buffer, reservation)))
}

fn hold(buffer: BytesMut, reservation: Option<Reservation>) -> Bytes {
    match reservation {
        Some(reservation) => reservation.hold(&buffer),
        None => buffer.freeze(),
    }
}
