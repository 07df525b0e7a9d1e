//! Answers that are passed on as a whole, for requests that are no streams.
//!
//! An answer that breaks off half way must not look complete, and a request that may run again is
//! best answered by another endpoint. So an answer is read to its end before the caller gets its
//! head, unless it is long.

use bytes::Bytes;
use bytes::BytesMut;
use hyper::Response;
use hyper::StatusCode;
use pimento_endpoint::Fault;
use pimento_serve::Reply;
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

/// Bytes up to which an answer is kept back until it is whole. Answers of plain services are a few
/// kilobytes; a VM has tens of megabytes for some hundred requests at once.
const KEPT: u64 = 256 << 10;

/// What was read of a body.
enum Read {
    Whole(Bytes),
    /// Too long to be kept back: its beginning and the rest.
    Long(Bytes, ResponseBody),
}

/// Answers a request that is no stream.
///
/// # Errors
///
/// A [`Refusal`] if no endpoint answered.
pub async fn serve<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    request: &AdmittedRequest,
) -> Result<Response<Reply>, Refusal> {
    let mut attempts = Attempts::new(node, request);
    // An endpoint's failure is handed on as it is if no other answer comes.
    let mut failure: Option<Response<Reply>> = None;
    loop {
        let opened = match attempts.open(&Overrides::default()).await {
            Ok(opened) => opened,
            Err(refusal) => return failure.ok_or(refusal),
        };
        let Opened { permit, call, .. } = opened;
        let (mut head, body) = (call.head, call.body);
        let left = request.left(node.now());
        let read = tokio::time::timeout(left, read(body)).await;
        let read = read.unwrap_or(Err(Fault::Timeout));
        node.platform.strip_connection_headers(&mut head.headers);
        match read {
            Ok(Read::Whole(bytes)) => {
                let failed = head.status.is_server_error();
                attempts.judged(&permit, failed);
                attempts.whole();
                attempts.note(&permit);
                attempts.leave(permit.endpoint());
                // A failure comes fast: counted as an answer it would make the others look slow.
                if failed {
                    permit.failed(&Fault::Failed {
                        status: head.status.as_u16(),
                    });
                } else {
                    permit.served(WORK);
                }
                answered(node, request, head.status, bytes.len());
                let response = Response::from_parts(head, Reply::whole(bytes));
                if failed && attempts.again() {
                    failure = Some(response);
                    continue;
                }
                return Ok(response);
            }
            Ok(Read::Long(begun, rest)) => {
                let (writer, reply) = Reply::stream();
                let left = request.left(node.now());
                let (shared, digest) = (node.clone(), request.digest);
                node.tasks.spawn(async move {
                    let passed = tokio::time::timeout(left, pass(&writer, begun, rest)).await;
                    match passed.unwrap_or(Err(Fault::Timeout)) {
                        Ok(()) => {
                            poison::record_answer(&shared, digest);
                            permit.served(WORK);
                            let _ = writer.end().await;
                        }
                        Err(fault) => {
                            poison::record_failure(&shared, digest, permit.endpoint(), &fault);
                            permit.failed(&fault);
                        }
                    }
                });
                return Ok(Response::from_parts(head, reply));
            }
            Err(fault) => {
                if let Err(refusal) = attempts.broken(permit, &fault) {
                    return failure.ok_or(refusal);
                }
            }
        }
    }
}

/// Tells of an endpoint's whole answer.
fn answered<P, L>(node: &Node<P, L>, request: &AdmittedRequest, status: StatusCode, bytes: usize) {
    let took = node.clock.now().since(request.began);
    let route = &request.grant.route.name;
    let end = if status.is_server_error() {
        "failed"
    } else {
        "whole"
    };
    node.metrics.began(route, took);
    node.metrics.ended(route, end, took);
    log::info!(
        request = request.info.id.as_str(),
        status = status.as_u16(),
        bytes,
        took_ms = millis(took);
        "request: Answered by the endpoint."
    );
}

/// Work of a plain call, as the scheduler counts it.
const WORK: Tokens = Tokens(1);

async fn read(mut body: ResponseBody) -> Result<Read, Fault> {
    if body.min_remaining() > KEPT {
        return Ok(Read::Long(Bytes::new(), body));
    }
    let mut kept = BytesMut::new();
    while let Some(data) = body.next().await? {
        kept.extend_from_slice(&data);
        if kept.len() as u64 > KEPT {
            return Ok(Read::Long(kept.freeze(), body));
        }
    }
    Ok(Read::Whole(kept.freeze()))
}

async fn pass(writer: &Writer, begun: Bytes, mut rest: ResponseBody) -> Result<(), Fault> {
    let gone = |_| Fault::Cancelled;
    if !begun.is_empty() {
        writer.send(begun).await.map_err(gone)?;
    }
    while let Some(data) = rest.next().await? {
        writer.send(data).await.map_err(gone)?;
    }
    Ok(())
}
