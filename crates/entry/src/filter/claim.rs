//! The claim of a call that may not be repeated: made in the platform's log before any byte is
//! sent, and read back as the first.

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
use crate::kept::Answer;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Claims a request.
#[derive(Debug, Clone)]
pub struct Claim<'a>(pub &'a Node);

/// The call to be claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Subject {
    /// The request id.
    pub request: id::Request,
    /// Hash of customer, method, path and body.
    pub digest: u64,
    /// When the whole answer must be there.
    pub deadline: Moment,
}

/// What came of it.
#[derive(Debug)]
pub enum Claimed {
    /// The call may be sent, by the ticket.
    Owned(Ticket),
    /// It was made before; this is its answer.
    Answered(Answer),
}

impl Filter<Subject> for Claim<'_> {
    type Output = Claimed;

    async fn apply(&self, subject: Subject) -> Result<Claimed, Refusal> {
        let node = self.0;
        let deadline = node.clock.instant(subject.deadline);
        let now = node.clock.wall();
        let verdict = node
            .claimer
            .claim(subject.request, subject.digest, now, deadline)
            .await;
        match verdict.map_err(|error| refusal(&error))? {
            Verdict::Owned(ticket) => Ok(Claimed::Owned(ticket)),
            Verdict::Taken(owner) => self.taken(subject, owner).await,
        }
    }
}

impl Claim<'_> {
    /// The kept answer, if this node has it. Needs no log.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the id stands for another call.
    pub fn kept(&self, subject: Subject) -> Result<Option<Answer>, Refusal> {
        match self.0.kept.get(subject.request) {
            Some(answer) if answer.digest != subject.digest => Err(reused()),
            answer => Ok(answer),
        }
    }

    async fn taken(&self, subject: Subject, owner: Owner) -> Result<Claimed, Refusal> {
        if owner.digest != subject.digest {
            return Err(reused());
        }
        if let Some(answer) = self.kept(subject)? {
            return Ok(Claimed::Answered(answer));
        }
        if let Some(answer) = self.fetch(subject, &owner).await {
            return Ok(Claimed::Answered(answer));
        }
        let run = match owner.run {
            Some(record::Run::Ran) => Run::Ran,
            Some(record::Run::NotRun | record::Run::Unknown) | None => Run::Unknown,
        };
        let message = "the call was made before under this request id, and its answer is not here";
        Err(Refusal::new(Code::AlreadyClaimed, message, run))
    }

    /// Asks the node that made the call for the answer that it kept.
    async fn fetch(&self, subject: Subject, owner: &Owner) -> Option<Answer> {
        let node = self.0;
        let peers = node.mesh.peers();
        let peer = peers.iter().find(|peer| peer.node == owner.node)?;
        let call = peer::Call::FetchAnswer {
            request: subject.request,
        };
        match node.mesh.call(peer, call).await {
            Ok(peer::Answer::Cached {
                status,
                content,
                body,
            }) => Some(Answer {
                digest: subject.digest,
                status,
                content,
                body,
            }),
            Ok(_) => None,
            Err(error) => {
                log::info!(
                    "claims: Answer of {} not fetched: {error}.",
                    subject.request
                );
                None
            }
        }
    }
}

fn reused() -> Refusal {
    let message = "the request id stands for another call";
    Refusal::not_run(Code::ReusedRequestId, message)
}

fn refusal(error: &claims::Error) -> Refusal {
    let message = error.to_string();
    match *error {
        claims::Error::Age { .. } => Refusal::not_run(Code::BadRequestId, message),
        claims::Error::Out { after } => {
            Refusal::not_run(Code::ClaimsOut, message).retry_after(after)
        }
    }
}
