//! Claims of calls that are not repeatable. The claim is appended to the platform's log before any byte of
//! the call is sent, and the call is sent only if reading the log back shows the claim as the first.

use pimento_coordination::claims;
use pimento_coordination::claims::Ticket;
use pimento_coordination::claims::Verdict;
use pimento_ledger::claims::Owner;
use pimento_ledger::record;
use pimento_units::Moment;
use pimento_units::id;
use pimento_wire::api::Run;
use pimento_wire::peer;

use super::Filter;
use crate::answers::Answer;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Claims a request.
#[derive(Debug, Clone)]
pub struct Claim<'a>(pub &'a Node);

/// The call to claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimedCall {
    /// The request id.
    pub request: id::Request,
    /// Hash of customer, method, path and body.
    pub digest: u64,
    /// Deadline of the complete answer.
    pub deadline: Moment,
}

/// Result of a claim.
#[derive(Debug)]
pub enum Claimed {
    /// This node may send the call with the ticket.
    Owned(Ticket),
    /// The call was made before; this is its answer.
    Answered(Answer),
}

impl Filter<ClaimedCall> for Claim<'_> {
    type Output = Claimed;

    async fn apply(&self, claimed: ClaimedCall) -> Result<Claimed, Refusal> {
        let node = self.0;
        let deadline = node.clock.instant(claimed.deadline);
        let now = node.clock.wall();
        let verdict = node
            .claimer
            .claim(claimed.request, claimed.digest, now, deadline)
            .await;
        match verdict.map_err(|error| refusal(&error))? {
            Verdict::Owned(ticket) => Ok(Claimed::Owned(ticket)),
            Verdict::Taken(owner) => self.resolve_taken(claimed, owner).await,
        }
    }
}

impl Claim<'_> {
    /// The answer, if this node has cached it. Does not use the log.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the request id was used for another call.
    pub fn cached(&self, claimed: ClaimedCall) -> Result<Option<Answer>, Refusal> {
        match self.0.answers.get(claimed.request) {
            Some(answer) if answer.digest != claimed.digest => Err(reused_id()),
            answer => Ok(answer),
        }
    }

    async fn resolve_taken(&self, claimed: ClaimedCall, owner: Owner) -> Result<Claimed, Refusal> {
        if owner.digest != claimed.digest {
            return Err(reused_id());
        }
        if let Some(answer) = self.cached(claimed)? {
            return Ok(Claimed::Answered(answer));
        }
        if let Some(answer) = self.fetch_answer(claimed, &owner).await {
            return Ok(Claimed::Answered(answer));
        }
        let run = match owner.run {
            Some(record::Run::Ran) => Run::Ran,
            Some(record::Run::NotRun | record::Run::Unknown) | None => Run::Unknown,
        };
        let message =
            "the call was made before under this request id, and its answer is not available";
        Err(Refusal::new(Code::AlreadyClaimed, message, run))
    }

    /// Fetches the answer from the node that made the call.
    async fn fetch_answer(&self, claimed: ClaimedCall, owner: &Owner) -> Option<Answer> {
        let node = self.0;
        let peers = node.mesh.peers();
        let peer = peers.iter().find(|peer| peer.node == owner.node)?;
        let call = peer::Call::FetchAnswer {
            request: claimed.request,
        };
        match node.mesh.call(peer, call).await {
            Ok(peer::Answer::Cached {
                status,
                content,
                body,
            }) => Some(Answer {
                digest: claimed.digest,
                status,
                content,
                body,
            }),
            Ok(_) => None,
            Err(error) => {
                log::info!(
                    "claims: Could not fetch the answer of {}: {error}.",
                    claimed.request
                );
                None
            }
        }
    }
}

fn reused_id() -> Refusal {
    let message = "the request id was used for another call";
    Refusal::not_run(Code::ReusedRequestId, message)
}

fn refusal(error: &claims::Error) -> Refusal {
    let message = error.to_string();
    match *error {
        claims::Error::Age { .. } => Refusal::not_run(Code::BadRequestId, message),
        claims::Error::Unavailable { retry_after } => {
            Refusal::not_run(Code::ClaimsUnavailable, message).retry_after(retry_after)
        }
    }
}
