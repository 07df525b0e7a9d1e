//! Plain services and pools of endpoints.

use compact_str::CompactString;
use pimento_units::Money;
use pimento_units::Span;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

/// A plain service that stands beside the model engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name in the path `/services/{service}/…`.
    pub name: id::Service,
    /// The pool of its replicas.
    pub pool: id::Pool,
    /// Methods whose calls may be repeated, sorted, upper case.
    pub repeatable: Vec<CompactString>,
    /// How calls that may not be repeated are kept to one run.
    pub claims: Claims,
    /// Price of a call.
    pub price: Money,
    /// How long a caller waits by default.
    pub timeout: Span,
}

/// How calls that may not be repeated are kept to one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Claims {
    /// Claimed in the platform's log first; refused while the log is out.
    Log,
    /// One attempt and no claim, for callers who never ask twice; served through an outage.
    SingleAttempt,
}

/// A pool of endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// The pool's name.
    pub name: id::Pool,
    /// Whether its engines refuse orders with an old fencing number.
    pub fencing: Fencing,
}

/// What an engine does with an order that carries an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// Refuses it.
    Refuses,
    /// Carries it out all the same.
    Ignores,
}

impl Service {
    /// Whether a call by `method` may be sent twice.
    #[must_use]
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.repeatable
            .binary_search_by(|known| known.as_str().cmp(method))
            .is_ok()
    }
}
