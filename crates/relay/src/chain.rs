//! The way of a request: its head, its grant, its body, then its answer.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::http::request;
use pimento_serve::Limits;
use pimento_serve::Reply;
use pimento_serve::Serve;

use crate::admit;
use crate::border::Border;
use crate::codec::Codec;
use crate::node::Node;
use crate::refusal::Cause;
use crate::refusal::Refusal;
use crate::stream;
use crate::table::Kind;
use crate::topic::Log;
use crate::whole;
use crate::work;
use crate::work::Work;

/// What callers may send before a configuration says so.
const FIRST_LIMITS: Limits = Limits {
    head: Duration::from_secs(10),
    head_bytes: 16 << 10,
};

/// Bytes beyond the largest head that are read from a connection at once, so that a head over the
/// limit is answered and not cut off.
const OVER: usize = 8 << 10;

/// The callers' side.
#[derive(Debug)]
pub struct Callers<P, L>(pub Node<P, L>);

impl<P: Clone, L: Clone> Clone for Callers<P, L> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<P: Border + Codec, L: Log> Serve for Callers<P, L> {
    async fn serve(&self, request: Request<Incoming>) -> Response<Reply> {
        match answer(&self.0, request).await {
            Ok(response) => response,
            Err(refusal) => {
                log::info!("request: Refused, {}, {:?}.", refusal.cause, refusal.after);
                refusal.response()
            }
        }
    }

    fn limits(&self) -> Limits {
        let Some(table) = self.0.table() else {
            return FIRST_LIMITS;
        };
        let limits = table.limits();
        Limits {
            head: limits.idle.max(limits.wait),
            head_bytes: limits.head + OVER,
        }
    }
}

async fn answer<P: Border + Codec, L: Log>(
    node: &Node<P, L>,
    request: Request<Incoming>,
) -> Result<Response<Reply>, Refusal> {
    let began = node.now();
    let (head, body) = request.into_parts();
    let ask = node.platform.ask(&head).map_err(|error| {
        log::info!("request: Head not read: {error}.");
        Refusal::new(Cause::BadHead)
    })?;
    let grant = admit::admit(node, &ask, head.uri.path()).await?;
    let limits = *grant.table.limits();
    if bytes(&head) > limits.head {
        return Err(Refusal::new(Cause::LargeHead));
    }
    let body = read(body, limits.body, limits.wait).await?;
    let random = work::random(&ask);
    let pool = grant
        .pool(random)
        .ok_or_else(|| Refusal::new(Cause::UnknownRoute))?;
    let timeout = grant.route.timeout;
    let wait = ask.wait.map_or(timeout, |wait| wait.min(timeout));
    let kind = grant.route.kind;
    let request = Work {
        ask,
        head,
        body,
        grant,
        pool,
        began,
        deadline: began + wait,
        random,
    };
    node.repeats.arrived(&request.pool, began);
    match kind {
        Kind::Safe | Kind::Unsafe => whole::serve(node, &request).await,
        Kind::Stream => stream::serve(node, request).await,
    }
}

/// Bytes of a head as it came, near enough.
fn bytes(head: &request::Parts) -> usize {
    /// Of the colon, the space and the line's end.
    const LINE: usize = 4;
    let headers = head.headers.iter();
    let headers: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + LINE)
        .sum();
    headers + head.uri.to_string().len()
}

/// Reads a body. One that is announced as too large is refused before it comes.
async fn read(body: Incoming, most: usize, wait: Duration) -> Result<Bytes, Refusal> {
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > most {
        return Err(Refusal::new(Cause::LargeBody));
    }
    let whole = Limited::new(body, most).collect();
    match tokio::time::timeout(wait, whole).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::new(Cause::LargeBody))
        }
        Ok(Err(error)) => {
            log::info!("request: Body not read: {error}.");
            Err(Refusal::new(Cause::BadBody))
        }
        Err(_) => Err(Refusal::new(Cause::SlowBody)),
    }
}
