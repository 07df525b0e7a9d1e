//! Answers to other entry VMs.

use std::sync::Weak;
use std::time::Duration;

use pimento_coordination::mesh::Handler;
use pimento_ledger::Stream;
use pimento_wire::peer::Answer;
use pimento_wire::peer::Call;
use tokio::time::Instant;

use crate::node::Node;

/// How long records of a peer may take to reach the log. A peer's call does not wait longer.
const APPEND: Duration = Duration::from_secs(2);

/// Answers for one node. Holds no part of it alive: a node that has ended answers nothing.
#[derive(Debug)]
pub struct Answers {
    node: Weak<Node>,
}

impl Answers {
    /// Answers for `node`.
    #[must_use]
    pub fn new(node: &std::sync::Arc<Node>) -> Self {
        Self {
            node: std::sync::Arc::downgrade(node),
        }
    }
}

impl Handler for Answers {
    async fn handle(&self, call: Call) -> Answer {
        let Some(node) = self.node.upgrade() else {
            return Answer::Nothing;
        };
        if let Some(answer) = node.source().answer(&call) {
            return answer;
        }
        match call {
            Call::StoreBills { node: owner, bills } => held(node.outbox.keep(&owner, bills)),
            Call::RemoveBills {
                node: owner,
                requests,
            } => {
                node.outbox.drop_copies(&owner, &requests);
                Answer::Done
            }
            Call::TransferGrant {
                customer,
                period,
                amount,
            } => Answer::GrantTransferred {
                amount: node.wallet.lend(&customer, period, amount),
            },
            Call::FetchAnswer { request } => fetch(&node, request),
            Call::Append { stream, records } => append(&node, &stream, records).await,
            _ => Answer::Nothing,
        }
    }
}

fn held(kept: bool) -> Answer {
    if kept {
        return Answer::Done;
    }
    Answer::Refused {
        reason: "no room for copies of bills".into(),
    }
}

fn fetch(node: &Node, request: pimento_units::id::Request) -> Answer {
    node.kept
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
    let Some(stream) = find(stream) else {
        return refused(format!("there is no stream {stream:?}"));
    };
    let deadline = Instant::now() + APPEND;
    match node.appender().append_all(stream, records, deadline).await {
        Ok(first) => Answer::Appended { first },
        Err(error) => refused(error.to_string()),
    }
}

fn find(name: &str) -> Option<Stream> {
    Stream::ALL.into_iter().find(|stream| stream.name() == name)
}
