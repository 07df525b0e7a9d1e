//! Records of the claims, usage, grants and leases streams, in the form in which the log stores them
//! (JSON).

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
    /// Configuration changes and checkpoints.
    Configuration,
    /// Claims on calls that may not be repeated, and their outcomes.
    Claims,
    /// Bills. Only the ledger reader and the writers of bills read them.
    Usage,
    /// Grants of spend. Separate from bills, so that entry VMs need not read the bills.
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

    /// The stream's name in paths of the log's API.
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
    /// The outcome of a claimed call.
    Outcome(Outcome),
}

/// A claim on a request id. The first in offset order owns the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The claimed request.
    pub request: id::Request,
    /// Hash of the customer, method, path and body, so that one id cannot be used for two calls.
    pub digest: u64,
    /// The attempt that claims the request; unique for each claim.
    pub attempt: id::Attempt,
    /// The node that claims the request.
    pub node: id::Node,
    /// Time of writing by the node's clock.
    pub at: Wall,
}

/// The outcome of a claimed call, written by its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The request.
    pub request: id::Request,
    /// The attempt that owns the request.
    pub attempt: id::Attempt,
    /// Whether the call ran.
    pub run: Run,
    /// The status of the endpoint's answer, if there was one.
    pub status: Option<u16>,
}

/// Whether a call was carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// No endpoint started the call. Never used for a call that an endpoint may have started.
    NotRun,
    /// The call ran.
    Ran,
    /// The call may have run.
    Unknown,
}

/// The bill for a request. The first one for a customer's request id counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// The billed request.
    pub request: id::Request,
    /// The customer who pays.
    pub customer: id::Customer,
    /// The class of a model request.
    pub class: Option<id::Class>,
    /// The version or service that answered.
    pub item: Item,
    /// The amount charged to the customer.
    pub charge: Money,
    /// The operator's cost of all attempts and cascade steps.
    pub cost: Money,
    /// Prompt tokens of the answer.
    pub input: Tokens,
    /// Generated tokens of the answer.
    pub output: Tokens,
    /// The entry VM that served the request.
    pub node: id::Node,
    /// The spend period that the charge falls into.
    pub period: u64,
    /// End of the answer by the node's clock.
    pub at: Wall,
}

/// The version or service that answered a billed request.
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
    /// Returns what a node will not spend of its grants in a period.
    Return(Return),
}

/// A grant of spend to one node. It is accepted only while the sum of accepted grants of the period,
/// less returns, stays within the contract's limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The writer's id of this record.
    pub id: id::Record,
    /// The customer whose limit the grant counts against.
    pub customer: id::Customer,
    /// The node that may spend the grant.
    pub node: id::Node,
    /// The spend period.
    pub period: u64,
    /// The amount granted.
    pub amount: Money,
    /// The limit of the contract that the writer read. The limit of the newest revision applies to
    /// this grant and later ones.
    pub limit: Money,
    /// Revision of that contract.
    pub revision: pimento_units::Revision,
}

/// A node's commitment not to spend `amount` of its grants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return {
    /// The writer's id of this record.
    pub id: id::Record,
    /// The customer whose limit it was granted from.
    pub customer: id::Customer,
    /// The node that returns its grants.
    pub node: id::Node,
    /// The spend period.
    pub period: u64,
    /// The amount returned.
    pub amount: Money,
}

/// A record of the leases stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseRecord {
    /// Acquires or renews a lease.
    #[serde(rename = "take")]
    Acquire(Acquire),
    /// Releases a lease before its end.
    Release(Release),
}

/// Releases a lease. It is accepted only from the holder under the current fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The leased resource.
    pub resource: id::Resource,
    /// The node that holds it.
    pub holder: id::Node,
    /// The fencing number of the lease.
    pub fencing: Offset,
}

/// Acquires or renews a lease. It is accepted only if `previous` is the offset of the last accepted
/// record. The offset of an accepted record is the fencing number, unless it renews a running lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquire {
    /// The writer's id of this record.
    pub id: id::Record,
    /// The resource to lease.
    pub resource: id::Resource,
    /// The node that acquires it.
    pub holder: id::Node,
    /// Offset of the accepted record before this one; `None` for the first.
    pub previous: Option<Offset>,
    /// Duration of the lease by the log's clock, from the time at which the log accepted the record.
    pub span: Span,
}
