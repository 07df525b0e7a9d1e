//! Records of the claims, usage, grants and leases streams, as they stand on the log (JSON).

use std::fmt;

use pimento_units::Money;
use pimento_units::Offset;
use pimento_units::Span;
use pimento_units::Tokens;
use pimento_units::Wall;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

/// A stream on the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stream {
    /// Changes of configuration and checkpoints.
    Configuration,
    /// Claims on calls that may not be repeated, and their outcomes.
    Claims,
    /// Bills. Read by the ledger reader and by the writers of bills only.
    Usage,
    /// Grants of spend. Apart from bills, so that entry VMs need not read those.
    Grants,
    /// Leases.
    Leases,
}

impl Stream {
    /// All streams.
    pub const ALL: [Self; 5] = [
        Self::Configuration,
        Self::Claims,
        Self::Usage,
        Self::Grants,
        Self::Leases,
    ];

    /// The name in the log's paths.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Claims => "claims",
            Self::Usage => "usage",
            Self::Grants => "grants",
            Self::Leases => "leases",
        }
    }
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

/// A record of the claims stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRecord {
    /// A claim.
    Claim(Claim),
    /// What became of a claimed call.
    Outcome(Outcome),
}

/// A claim on a request id. The first in offset order owns the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request claimed.
    pub request: id::Request,
    /// Hash of the customer, method, path and body, so that one id cannot stand for two calls.
    pub digest: u64,
    /// The claimer's attempt; unique for each claim.
    pub attempt: id::Attempt,
    /// The claimer.
    pub node: id::Node,
    /// When it was written, by the claimer's clock.
    pub at: Wall,
}

/// What became of a claimed call, written by its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The request.
    pub request: id::Request,
    /// The attempt that owns it.
    pub attempt: id::Attempt,
    /// Whether it ran.
    pub run: Run,
    /// The status that the endpoint answered, if it did.
    pub status: Option<u16>,
}

/// Whether a call was carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// No endpoint started it. Never said of a call that any endpoint may have started.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}

/// One bill for one request. The first for a request id counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// The request billed.
    pub request: id::Request,
    /// Who pays.
    pub customer: id::Customer,
    /// The class, for model requests.
    pub class: Option<id::Class>,
    /// What answered.
    pub item: Item,
    /// What the customer is charged.
    pub charge: Money,
    /// What all attempts and cascade steps cost us.
    pub cost: Money,
    /// Prompt tokens of the answer.
    pub input: Tokens,
    /// Generated tokens of the answer.
    pub output: Tokens,
    /// The entry VM that served it.
    pub node: id::Node,
    /// The spend period that the charge falls into.
    pub period: u64,
    /// When the answer ended, by the node's clock.
    pub at: Wall,
}

/// What answered a billed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// A model version.
    Version(id::Version),
    /// A plain service.
    Service(id::Service),
}

/// A record of the grants stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantRecord {
    /// A request for a grant of spend.
    Grant(Grant),
    /// A node gives back what it will not spend of its grants in a period.
    Return(Return),
}

/// A grant of spend to one node: accepted only while the sum of accepted grants of the period,
/// less returns, stays under the contract's limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The writer's id of this record.
    pub id: id::Record,
    /// Whose spend.
    pub customer: id::Customer,
    /// Who may spend it.
    pub node: id::Node,
    /// The spend period.
    pub period: u64,
    /// How much.
    pub amount: Money,
    /// The limit of the contract that the writer saw, with its revision: a grant written under a
    /// newer contract sets the limit for those after it.
    pub limit: Money,
    /// Revision of that contract.
    pub revision: pimento_units::Revision,
}

/// A node's word that it will not spend `amount` of its grants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return {
    /// The writer's id of this record.
    pub id: id::Record,
    /// Whose spend.
    pub customer: id::Customer,
    /// Whose grants are returned.
    pub node: id::Node,
    /// The spend period.
    pub period: u64,
    /// How much.
    pub amount: Money,
}

/// A record of the leases stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseRecord {
    /// Acquires or renews a lease.
    #[serde(rename = "take")]
    Acquire(Acquire),
    /// Gives a lease up before its end.
    Release(Release),
}

/// Gives a lease up, accepted only from its holder under its fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// What is leased.
    pub resource: id::Resource,
    /// Who holds it.
    pub holder: id::Node,
    /// The fencing number it is held under.
    pub fencing: Offset,
}

/// Takes a lease, accepted only if `previous` is the offset of the last accepted take. The offset
/// of the accepted record is the fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquire {
    /// The writer's id of this record.
    pub id: id::Record,
    /// What is leased.
    pub resource: id::Resource,
    /// Who takes it.
    pub holder: id::Node,
    /// Offset of the take that this one follows; none for the first.
    pub previous: Option<Offset>,
    /// How long the lease lasts by the log's clock, from when the log took the record.
    pub span: Span,
}
