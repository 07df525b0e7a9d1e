//! The datagrams between entry VMs.

use pimento_policy::engine::Part;
use pimento_policy::engine::Prompt;
use pimento_units::Moment;
use pimento_units::Offset;
use pimento_units::Tokens;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

use super::limit::LimitMessage;
use super::peers::ReaderStatus;
use crate::follow::Proof;
use crate::passage::Passage;
use crate::poison::Report;
use crate::rollouts::announcement::Announcement;
use crate::rollouts::announcement::PinnedSession;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Who says it.
    pub node: id::Node,
    /// The teller's zone.
    pub zone: id::Zone,
    /// When it was sent, by the teller's boot-time clock.
    pub stamp: Moment,
    /// What the teller says of its reads of the log.
    pub reader_status: ReaderStatus,
    /// Records that changed the teller's views of the log. They are taken before the proofs.
    pub passages: Vec<Passage>,
    /// What the teller's last reads of the log prove to whom it tells this.
    pub proofs: Proofs,
    /// What the teller says of roll-outs, if that is due.
    pub rollouts: Vec<Announcement>,
    /// Requests under which endpoints ended.
    pub poison: Vec<Report>,
    /// Sessions that keep the old version in a roll-out.
    pub pinned_sessions: Vec<PinnedSession>,
    /// Milliseconds that engines take for the teller's prompts, by their keys; all others take none.
    pub waits: Vec<(u64, u32)>,
    /// Prompts that engines read since the last datagram.
    pub prefills: Vec<Prefill>,
    /// Limits that endpoints named to the teller.
    pub limits: Vec<LimitMessage>,
}

/// Proofs of the topics that all VMs read: the offset of the last change, and the stamp.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proofs {
    /// Of the operators' records.
    pub operators: Option<(Offset, Moment)>,
    /// Of the endpoints' records.
    pub endpoints: Option<(Offset, Moment)>,
    /// Of the requests under which endpoints ended.
    pub poison: Option<(Offset, Moment)>,
}

/// A proof as it is written.
pub const fn encode_proof(proof: Proof) -> (Offset, Moment) {
    (proof.changed, proof.stamp)
}

/// A proof as it was read.
pub const fn decode_proof((changed, stamp): (Offset, Moment)) -> Proof {
    Proof { changed, stamp }
}

/// A prompt that an engine read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Prefill {
    /// The engine's key.
    pub engine: u64,
    /// Hash of the model.
    pub model: u64,
    /// The parts, each as hash and tokens.
    pub parts: Vec<(u64, u32)>,
}

impl Prefill {
    /// A prompt that was sent to an engine.
    pub fn new((engine, prompt): &(u64, Prompt)) -> Self {
        let tokens = |part: &Part| u32::try_from(part.tokens.0).unwrap_or(u32::MAX);
        let parts = prompt.parts.iter().map(|part| (part.hash, tokens(part)));
        Self {
            engine: *engine,
            model: prompt.model,
            parts: parts.collect(),
        }
    }

    /// The parts that other requests share; none if it has none. The last part is the request's own.
    pub fn shared_prefix(sent: &(u64, Prompt)) -> Option<Self> {
        let mut read = Self::new(sent);
        read.parts.pop();
        (!read.parts.is_empty()).then_some(read)
    }

    /// The prompt.
    pub fn prompt(&self) -> Prompt {
        let parts = self.parts.iter().map(|(hash, tokens)| Part {
            hash: *hash,
            tokens: Tokens(u64::from(*tokens)),
        });
        Prompt {
            model: self.model,
            parts: parts.collect(),
        }
    }
}
