//! The datagrams between entry VMs.

use bytes::Bytes;
use compact_str::CompactString;
use pimento_policy::engine::Part;
use pimento_policy::engine::Prompt;
use pimento_units::Moment;
use pimento_units::Offset;
use pimento_units::Tokens;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

use crate::follow::Proof;
use crate::rollouts::announcement::Announcement;
use crate::rollouts::announcement::Kept;
use crate::topic::Record;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Who says it.
    pub node: id::Node,
    /// The teller's zone.
    pub zone: id::Zone,
    /// When it was sent, by the teller's boot-time clock.
    pub stamp: Moment,
    /// Whether the teller could read the log for others: it stays, and its reads are answered.
    pub able: bool,
    /// Records that changed the teller's views of the log. They are taken before the proofs.
    pub passages: Vec<Passage>,
    /// What the teller's last reads of the log prove to whom it tells this.
    pub proofs: Proofs,
    /// What the teller says of roll-outs, if that is due.
    pub rollouts: Vec<Announcement>,
    /// Sessions that keep the old version in a roll-out.
    pub kept: Vec<Kept>,
    /// Milliseconds that engines take for the teller's prompts, by their keys; all others take none.
    pub waits: Vec<(u64, u32)>,
    /// Prompts that engines read since the last datagram.
    pub reads: Vec<Read>,
}

/// A topic that one VM of a zone reads for the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shared {
    /// The operators' records.
    Operators,
    /// The endpoints' records.
    Endpoints,
}

/// All records between two offsets of a topic that changed the teller's view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Passage {
    /// The topic.
    pub topic: Shared,
    /// Whoever has all records before this one can take them.
    pub from: Offset,
    /// The offset up to which these are all.
    pub to: Offset,
    /// Offset, key and value of each; no value if the key was dropped.
    pub records: Vec<(Offset, CompactString, Option<Bytes>)>,
}

impl Passage {
    /// Passages of records that come in parts, up to an offset.
    pub fn list(topic: Shared, from: Offset, parts: Vec<Vec<Record>>, to: Offset) -> Vec<Self> {
        let count = parts.len();
        let mut begins = from;
        let passages = parts.into_iter().enumerate().map(|(place, records)| {
            let ends = records.last().map_or(begins, |last| last.offset.next());
            let passage = Self {
                topic,
                from: begins,
                to: if place + 1 == count { to } else { ends },
                records: records
                    .into_iter()
                    .map(|r| (r.offset, r.key, r.value))
                    .collect(),
            };
            begins = passage.to;
            passage
        });
        passages.collect()
    }

    /// The records.
    pub fn records(&self) -> Vec<Record> {
        let records = self.records.iter();
        let record = |(offset, key, value): &(Offset, CompactString, Option<Bytes>)| Record {
            offset: *offset,
            key: key.clone(),
            value: value.clone(),
        };
        records.map(record).collect()
    }
}

/// Proofs of the two topics that all VMs read: the offset of the last change, and the stamp.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proofs {
    /// Of the operators' records.
    pub operators: Option<(Offset, Moment)>,
    /// Of the endpoints' records.
    pub endpoints: Option<(Offset, Moment)>,
}

/// A proof as it is written.
pub const fn written(proof: Proof) -> (Offset, Moment) {
    (proof.changed, proof.stamp)
}

/// A proof as it was read.
pub const fn read((changed, stamp): (Offset, Moment)) -> Proof {
    Proof { changed, stamp }
}

/// A prompt that an engine read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Read {
    /// The engine's key.
    pub engine: u64,
    /// Hash of the model.
    pub model: u64,
    /// The parts, each as hash and tokens.
    pub parts: Vec<(u64, u32)>,
}

impl Read {
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
    pub fn shared(sent: &(u64, Prompt)) -> Option<Self> {
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
