//! Handles calls from other entry VMs.

use std::sync::Weak;
use std::time::Duration;

use pimento_coordination::mesh::Handler;
use pimento_ledger::Stream;
use pimento_wire::peer::Answer;
use pimento_wire::peer::Call;
use tokio::time::Instant;

use crate::node::Node;

/// Timeout for appending a peer's records to the log. The peer's call does not wait longer.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles the calls to one node. It holds a weak reference: a call to a node that has shut down
/// gets [`Answer::Nothing`].
#[derive(Debug)]
pub struct CallHandler {
    node: Weak<Node>,
}

impl CallHandler {
    /// A handler of the calls to `node`.
    #[must_use]
    pub fn new(node: &std::sync::Arc<Node>) -> Self {
        Self {
            node: std::sync::Arc::downgrade(node),
        }
    }
}

impl Handler for CallHandler {
    async fn handle(&self, call: Call) -> Answer {
        let Some(node) = self.node.upgrade() else {
            return Answer::Nothing;
        };
        if let Some(answer) = node.source().answer(&call) {
            return answer;
        }
        match call {
            Call::StoreBills { node: owner, bills } => {
                store_bills_answer(node.outbox.store_copies(&owner, bills))
            }
            Call::RemoveBills {
                node: owner,
                requests,
            } => {
                node.outbox.remove_copies(&owner, &requests);
                Answer::Done
            }
            Call::TransferGrant {
                customer,
                period,
                amount,
            } => Answer::GrantTransferred {
                amount: node.wallet.transfer(&customer, period, amount),
            },
            Call::FetchAnswer { request } => fetch(&node, request),
            Call::Append { stream, records } => append(&node, &stream, records).await,
            _ => Answer::Nothing,
        }
    }
}

fn store_bills_answer(stored: bool) -> Answer {
    if stored {
        return Answer::Done;
    }
    Answer::Refused {
        reason: "no room for copies of bills".into(),
    }
}

fn fetch(node: &Node, request: pimento_units::id::Request) -> Answer {
    node.answers
        .get(request)
        .map_or(Answer::Nothing, |answer| Answer::Cached {
            status: answer.status,
            content: answer.content,
            body: answer.body,
        })
}

async fn append(node: &Node, stream: &str, records: Vec<String>) -> Answer {
    let refused = |reason: String| Answer::Refused {
        reason: reason.into(),
    };
    let Some(stream) = stream_by_name(stream) else {
        return refused(format!("unknown stream {stream:?}"));
    };
    let deadline = Instant::now() + APPEND_TIMEOUT;
    match node.appender().append_all(stream, records, deadline).await {
        Ok(first) => Answer::Appended { first },
        Err(error) => refused(error.to_string()),
    }
}

fn stream_by_name(name: &str) -> Option<Stream> {
    Stream::ALL.into_iter().find(|stream| stream.name() == name)
}
