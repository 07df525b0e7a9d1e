//! Handles callers' requests: parses the head, admits the request, reads the body and responds.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::request;
use log::Level;
use pimento_serve::Limits;
use pimento_serve::ReplyBody;
use pimento_serve::Serve;
use pimento_serve::receiving::Permit;
use pimento_serve::server::UNREAD_TIMEOUT;
use pimento_serve::traffic::Traffic;
use pimento_units::Moment;
use pimento_units::id;

use crate::admit;
use crate::admitted;
use crate::admitted::AdmittedRequest;
use crate::buffered;
use crate::codec::Codec;
use crate::deadline;
use crate::headers::HeaderCodec;
use crate::headers::RequestInfo;
use crate::node::Node;
use crate::node::millis;
use crate::refusal::Cause;
use crate::refusal::Refusal;
use crate::stage::DroppedBy;
use crate::stage::Tracker;
use crate::stream;
use crate::table::Kind;
use crate::topic::Log;

/// Limits that apply before a configuration was read.
const DEFAULT_LIMITS: Limits = Limits {
    head_timeout: Duration::from_secs(10),
    head_bytes: 16 << 10,
    connections: usize::MAX,
    unread_timeout: UNREAD_TIMEOUT,
};

/// Bytes by which the server's buffer exceeds the maximum size of a head, so that a head over the limit
/// gets an error response instead of a closed connection.
const HEAD_OVERRUN_BYTES: usize = 8 << 10;

/// Serves callers' requests.
#[derive(Debug)]
pub struct RequestHandler<P, L>(pub Node<P, L>);

impl<P: Clone, L: Clone> Clone for RequestHandler<P, L> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<P: HeaderCodec + Codec, L: Log> Serve for RequestHandler<P, L> {
    async fn serve(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let node = &self.0;
        let began = node.now();
        let (mut head, body) = request.into_parts();
        let receiving = head.extensions.remove::<Permit>();
        let info = match node.platform.parse_request(&head) {
            Ok(info) => info,
            Err(error) => {
                let refusal = Refusal::new(Cause::BadHead);
                log::info!(path = head.uri.path(), error:%; "request: Malformed head.");
                node.metrics.count_refusal(&refusal);
                return refusal.response();
            }
        };
        let mut outcome = OutcomeLog::new(node, info.id.clone(), began);
        let tracker = Arc::clone(&outcome.tracker);
        let arrival = Arrival {
            head,
            body,
            receiving,
            began,
        };
        let responding = respond(node, arrival, info, Arc::clone(&tracker));
        let response = tokio::select! {
            biased;
            response = responding => response,
            // The caller of a dropped request would see a closed connection, which tells it nothing.
            () = node.lifetime.finish.cancelled() => {
                Err(Refusal::stopping(tracker.stage().may_have_run))
            }
        };
        outcome.known = true;
        response.unwrap_or_else(|refusal| {
            outcome.refused(&refusal);
            refusal.response()
        })
    }

    fn limits(&self) -> Limits {
        let connections = self.0.config.max_callers;
        let Some(table) = self.0.table() else {
            return Limits {
                connections,
                ..DEFAULT_LIMITS
            };
        };
        let limits = table.limits();
        Limits {
            connections,
            head_timeout: limits.idle_timeout.max(limits.receive_timeout),
            head_bytes: limits.head_bytes + HEAD_OVERRUN_BYTES,
            unread_timeout: UNREAD_TIMEOUT,
        }
    }

    fn max_receiving(&self) -> Option<usize> {
        self.0.own_link.max_receiving()
    }

    fn closes_connections(&self) -> bool {
        self.0.own_link.load().is_some_and(|load| load.is_full())
    }

    fn traffic(&self) -> Traffic {
        self.0.own_link.traffic().clone()
    }
}

/// Logs a request that gets no response from an endpoint. Dropping the value before the outcome is known
/// means that the caller disconnected, that this VM stops or that the handler panicked, as each drops the
/// future that handles the request.
struct OutcomeLog<'a, P: HeaderCodec + Codec, L: Log> {
    node: &'a Node<P, L>,
    id: CompactString,
    began: Moment,
    tracker: Arc<Tracker>,
    known: bool,
}

impl<'a, P: HeaderCodec + Codec, L: Log> OutcomeLog<'a, P, L> {
    fn new(node: &'a Node<P, L>, id: CompactString, began: Moment) -> Self {
        let tracker = Arc::default();
        Self {
            node,
            id,
            began,
            tracker,
            known: false,
        }
    }

    fn took(&self) -> u64 {
        millis(self.node.now().since(self.began))
    }

    fn refused(&self, refusal: &Refusal) {
        self.node.metrics.count_refusal(refusal);
        let view = self.node.view_info();
        log::info!(
            request = self.id.as_str(),
            cause = refusal.cause.as_str(),
            status = refusal.status().as_u16(),
            may_have_run = refusal.may_have_run,
            retry_after_ms = refusal.retry_after.map(millis),
            took_ms = self.took(),
            configuration = view.configuration,
            configuration_age_ms = view.configuration_age.map(millis),
            endpoints_age_ms = view.endpoints_age.map(millis);
            "request: Refused."
        );
    }
}

impl<P: HeaderCodec + Codec, L: Log> Drop for OutcomeLog<'_, P, L> {
    fn drop(&mut self) {
        if self.known {
            return;
        }
        let stage = self.tracker.stage();
        let by = if std::thread::panicking() {
            DroppedBy::Panic
        } else if self.node.lifetime.is_aborted() {
            DroppedBy::Vm
        } else {
            DroppedBy::Caller
        };
        self.node.metrics.count_dropped(by, stage.step);
        let (level, message) = match by {
            DroppedBy::Panic => (Level::Error, "request: Its handler panicked."),
            DroppedBy::Vm => (Level::Error, "request: Left unanswered, this VM stops."),
            DroppedBy::Caller => (
                Level::Info,
                "request: Caller disconnected before the response.",
            ),
        };
        log::log!(
            level,
            request = self.id.as_str(),
            step = stage.step.as_str(),
            step_ms = millis(self.node.now().since(stage.since)),
            endpoint = stage.endpoint.as_ref().map(id::Endpoint::as_str),
            may_have_run = stage.may_have_run,
            took_ms = self.took();
            "{message}"
        );
    }
}

/// A request whose body has not been read yet.
struct Arrival {
    head: request::Parts,
    body: Incoming,
    /// Held until the body has been read.
    receiving: Option<Permit>,
    /// When the head had arrived.
    began: Moment,
}

async fn respond<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    arrival: Arrival,
    info: RequestInfo,
    tracker: Arc<Tracker>,
) -> Result<Response<ReplyBody>, Refusal> {
    let Arrival {
        head,
        body,
        receiving,
        began,
    } = arrival;
    let grant = admit::admit(node, &info, head.uri.path())?;
    let limits = *grant.table.limits();
    if head_bytes(&head) > limits.head_bytes {
        return Err(Refusal::new(Cause::LargeHead));
    }
    let bodies = &node.bodies;
    let body = bodies
        .read(body, limits.body_bytes, limits.receive_timeout)
        .await?;
    drop(receiving);
    // Its route may have got another service while the body arrived.
    let grant = admit::admit(node, &info, head.uri.path())?;
    let random = admitted::random(&info);
    let pool = grant
        .pick_service(random)
        .ok_or_else(|| Refusal::new(Cause::NoEndpoint))?;
    let limit = deadline::time_limit(&info, &grant.route);
    let kind = grant.route.kind;
    let digest = admitted::digest(&info, &head, &body, &grant);
    let request = AdmittedRequest {
        info,
        head,
        body,
        grant,
        pool,
        began,
        deadline: (began + limit).into(),
        random,
        digest,
        tracker,
        lifetime: node.lifetime.clone(),
    };
    node.retry_budgets.count_request(&request.pool, began);
    match kind {
        Kind::Safe | Kind::Unsafe => buffered::serve(node, &request).await,
        Kind::Stream => stream::serve(node, request).await,
    }
}

/// Approximate size of a head as received, in bytes.
fn head_bytes(head: &request::Parts) -> usize {
    /// Bytes of the colon, the space and the line end of a header.
    const SEPARATORS: usize = 4;
    let headers = head.headers.iter();
    let headers: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS)
        .sum();
    headers + head.uri.to_string().len()
}
