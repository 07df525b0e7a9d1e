//! The way of a request: its head, its grant, its body, then its answer.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::http::request;
use pimento_scheduler::Clock;
use pimento_serve::Limits;
use pimento_serve::Reply;
use pimento_serve::Serve;
use pimento_units::Moment;

use crate::admit;
use crate::admitted;
use crate::admitted::AdmittedRequest;
use crate::buffered;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::headers::RequestInfo;
use crate::node::Node;
use crate::node::millis;
use crate::refusal::Cause;
use crate::refusal::Refusal;
use crate::stream;
use crate::table::Kind;
use crate::topic::Log;

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
pub struct RequestHandler<P, L>(pub Node<P, L>);

impl<P: Clone, L: Clone> Clone for RequestHandler<P, L> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<P: HeaderCodec + Codec, L: Log> Serve for RequestHandler<P, L> {
    async fn serve(&self, request: Request<Incoming>) -> Response<Reply> {
        let node = &self.0;
        let began = node.now();
        let (head, body) = request.into_parts();
        let info = match node.platform.parse_request(&head) {
            Ok(info) => info,
            Err(error) => {
                let refusal = Refusal::new(Cause::BadHead);
                log::info!(path = head.uri.path(), error:%; "request: Head not read.");
                node.metrics.refused(&refusal);
                return refusal.response();
            }
        };
        let mut story = Story::new(info.id.clone(), began, node.clock);
        let answer = answer(node, (head, body), info, began).await;
        story.told = true;
        answer.unwrap_or_else(|refusal| {
            story.refused(node, &refusal);
            refusal.response()
        })
    }

    fn limits(&self) -> Limits {
        let Some(table) = self.0.table() else {
            return FIRST_LIMITS;
        };
        let limits = table.limits();
        Limits {
            head: limits.idle_timeout.max(limits.receive_timeout),
            head_bytes: limits.head_bytes + OVER,
        }
    }
}

/// Tells of a request that gets no answer: it was refused, or its caller left while it waited, which
/// drops this without a word.
struct Story {
    id: CompactString,
    began: Moment,
    clock: Clock,
    told: bool,
}

impl Story {
    const fn new(id: CompactString, began: Moment, clock: Clock) -> Self {
        Self {
            id,
            began,
            clock,
            told: false,
        }
    }

    fn took(&self) -> u64 {
        millis(self.clock.now().since(self.began))
    }

    fn refused<P: HeaderCodec + Codec, L: Log>(&self, node: &Node<P, L>, refusal: &Refusal) {
        node.metrics.refused(refusal);
        let belief = node.belief();
        log::info!(
            request = self.id.as_str(),
            cause = refusal.cause.as_str(),
            status = refusal.status().as_u16(),
            may_have_run = refusal.ran,
            retry_after_ms = refusal.after.map(millis),
            took_ms = self.took(),
            configuration = belief.configuration,
            configuration_age_ms = belief.configuration_age.map(millis),
            endpoints_age_ms = belief.endpoints_age.map(millis);
            "request: Refused."
        );
    }
}

impl Drop for Story {
    fn drop(&mut self) {
        if !self.told {
            let (request, took_ms) = (self.id.as_str(), self.took());
            log::info!(request, took_ms; "request: The caller left before its answer.");
        }
    }
}

async fn answer<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    (head, body): (request::Parts, Incoming),
    info: RequestInfo,
    began: Moment,
) -> Result<Response<Reply>, Refusal> {
    let grant = admit::admit(node, &info, head.uri.path()).await?;
    let limits = *grant.table.limits();
    if bytes(&head) > limits.head_bytes {
        return Err(Refusal::new(Cause::LargeHead));
    }
    let body = read(body, limits.body_bytes, limits.receive_timeout).await?;
    let random = admitted::random(&info);
    let pool = grant
        .pick_service(random)
        .ok_or_else(|| Refusal::new(Cause::UnknownRoute))?;
    let timeout = grant.route.timeout;
    let wait = info.timeout.map_or(timeout, |wait| wait.min(timeout));
    let kind = grant.route.kind;
    let digest = admitted::digest(&info, &head, &body, &grant);
    let request = AdmittedRequest {
        info,
        head,
        body,
        grant,
        pool,
        began,
        deadline: began + wait,
        random,
        digest,
    };
    node.retry_budgets.arrived(&request.pool, began);
    match kind {
        Kind::Safe | Kind::Unsafe => buffered::serve(node, &request).await,
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
            log::info!(error:%; "request: Body not read.");
            Err(Refusal::new(Cause::BadBody))
        }
        Err(_) => Err(Refusal::new(Cause::SlowBody)),
    }
}
