//! Forwards responses that are not streams.
//!
//! A response is read to its end before its head is sent to the caller, unless it is long. A response that
//! breaks off must not look complete, and a request that may run again is better answered by another
//! endpoint.

use bytes::Bytes;
use bytes::BytesMut;
use hyper::Response;
use hyper::StatusCode;
use pimento_endpoint::Fault;
use pimento_serve::ReplyBody;
use pimento_serve::Writer;
use pimento_units::Tokens;

use crate::admitted::AdmittedRequest;
use crate::attempts::Attempts;
use crate::attempts::Opened;
use crate::attempts::Overrides;
use crate::codec::Codec;
use crate::connection::ResponseBody;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::node::millis;
use crate::poison;
use crate::refusal::Refusal;
use crate::topic::Log;

/// Maximum size of a response that is buffered, in bytes. Responses of plain services have a few
/// kilobytes; a VM has tens of megabytes for some hundred concurrent requests.
const MAX_BUFFERED_BYTES: u64 = 256 << 10;

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
        let (mut head, body) = (response.head, response.body);
        // The end of this VM says nothing of the endpoint. The last call answers callers who wait by then.
        let left = request.left_by_deadline(node.now());
        let ends_with_connection = body.ends_with_connection();
        let read = async {
            let read = read(body).await?;
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
                let failed = head.status.is_server_error();
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
                let (writer, reply) = ReplyBody::stream();
                let left = request.left_by_deadline(node.now());
                let (shared, run, status) = (node.clone(), attempts.run(), head.status);
                node.response_tasks.spawn(async move {
                    let forwarding = async {
                        forward(&writer, start, rest).await?;
                        if ends_with_connection {
                            shared.links.check_end(&permit).await?;
                        }
                        Ok(())
                    };
                    let forwarded = tokio::select! {
                        biased;
                        forwarded = tokio::time::timeout(left, forwarding) => {
                            forwarded.unwrap_or(Err(Fault::Timeout))
                        }
                        // Amid a silent body no write would show it, and the endpoint would go on.
                        () = writer.disconnected() => Err(Fault::Cancelled),
                    };
                    match forwarded {
                        Ok(()) => {
                            poison::record_answer(&shared, &run, status.is_success());
                            permit.served(PLAIN_CALL_WORK);
                            let _ = writer.end().await;
                        }
                        Err(fault) => {
                            poison::record_failure(&shared, run, permit.endpoint(), &fault);
                            permit.failed(&fault);
                        }
                    }
                });
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

async fn read(mut body: ResponseBody) -> Result<Buffered, Fault> {
    if body.min_remaining() > MAX_BUFFERED_BYTES {
        return Ok(Buffered::Partial(Bytes::new(), body));
    }
    let mut buffer = BytesMut::new();
    while let Some(data) = body.next().await? {
        buffer.extend_from_slice(&data);
        if buffer.len() as u64 > MAX_BUFFERED_BYTES {
            return Ok(Buffered::Partial(buffer.freeze(), body));
        }
    }
    Ok(Buffered::Complete(buffer.freeze()))
}

async fn forward(writer: &Writer, start: Bytes, mut rest: ResponseBody) -> Result<(), Fault> {
    let disconnected = |_| Fault::Cancelled;
    if !start.is_empty() {
        writer.send(start).await.map_err(disconnected)?;
    }
    while let Some(data) = rest.next().await? {
        writer.send(data).await.map_err(disconnected)?;
    }
    Ok(())
}
