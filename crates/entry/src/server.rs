//! HTTP interface for callers.

use std::sync::Arc;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use pimento_serve::ReplyBody;
use pimento_serve::Serve;
use pimento_wire::api::Run;
use tokio_util::sync::CancellationToken;

use crate::chain;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// The HTTP service for callers.
#[derive(Debug, Clone)]
pub struct CallerService(pub Arc<Node>);

impl Serve for CallerService {
    /// Runs the filter chain in a separate task. The server drops a response's future when the
    /// caller disconnects, and a call that may not be repeated must not stop halfway.
    async fn serve(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let caller_gone = CancellationToken::new();
        let guard = caller_gone.clone().drop_guard();
        let node = Arc::clone(&self.0);
        let task = self
            .0
            .tasks
            .spawn(async move { chain::serve(&node, request, caller_gone).await });
        let response = task.await;
        guard.disarm();
        response.unwrap_or_else(|error| {
            log::error!("server: The task of a request failed: {error}.");
            let message = "the request failed unexpectedly";
            Refusal::new(Code::Internal, message, Run::Unknown).response()
        })
    }
}
