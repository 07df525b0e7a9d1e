//! Plain services and pools of endpoints.

use compact_str::CompactString;
use pimento_units::Money;
use pimento_units::Span;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

/// A plain service, which is not a model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name in the path `/services/{service}/…`.
    pub name: id::Service,
    /// The pool of its replicas.
    pub pool: id::Pool,
    /// Methods whose calls may be repeated, sorted, upper case.
    pub repeatable: Vec<CompactString>,
    /// How calls that may not be repeated are prevented from running twice.
    pub claims: ClaimMode,
    /// Price of a call.
    pub price: Money,
    /// Default timeout of a call.
    pub timeout: Span,
}

/// How calls that may not be repeated are prevented from running twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimMode {
    /// A call is claimed on the platform's log first, and refused during an outage of the log.
    Log,
    /// A call has one attempt and no claim, for callers that never retry. It is served during an
    /// outage of the log.
    SingleAttempt,
}

/// A pool of endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// The pool's name.
    pub name: id::Pool,
    /// How its engines treat orders with an old fencing number.
    pub fencing: Fencing,
}

/// How an engine treats an order with an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The engine refuses the order.
    Refuses,
    /// The engine carries the order out.
    Ignores,
}

impl Service {
    /// Whether a call with `method` may be sent twice.
    #[must_use]
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.repeatable
            .binary_search_by(|known| known.as_str().cmp(method))
            .is_ok()
    }
}
