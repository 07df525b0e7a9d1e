//! The callers' side of the program.

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

/// The callers' side.
#[derive(Debug, Clone)]
pub struct Callers(pub Arc<Node>);

impl Serve for Callers {
    /// Runs the chain as a task of its own. The server drops a response's future when its caller
    /// goes away, and a call that may not be repeated must not be left half way.
    async fn serve(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let gone = CancellationToken::new();
        let watch = gone.clone().drop_guard();
        let node = Arc::clone(&self.0);
        let task = self
            .0
            .tasks
            .spawn(async move { chain::serve(&node, request, gone).await });
        let response = task.await;
        watch.disarm();
        response.unwrap_or_else(|error| {
            log::error!("server: A request's task broke off: {error}.");
            let message = "the request broke off";
            Refusal::new(Code::Internal, message, Run::Unknown).response()
        })
    }
}
