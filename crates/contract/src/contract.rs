//! What one customer may use and spend, and the quality it must receive.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use pimento_units::Money;
use pimento_units::Share;
use pimento_units::Span;
use pimento_units::Tokens;
use pimento_units::Wall;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// One customer's contract. Lists are sorted by their key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contract {
    /// Whose contract this is.
    pub customer: id::Customer,
    /// Hashes of the customer's API keys, sorted.
    pub keys: Vec<Key>,
    /// Share of a full pool relative to other customers; at least 1.
    pub weight: u32,
    /// The most that may be spent.
    pub spend: Spend,
    /// Classes of requests, sorted by name; at least one.
    pub classes: Vec<Class>,
    /// Plain services that the customer may call, sorted.
    pub services: Vec<id::Service>,
}

/// A class of requests, named by a caller as `model`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// The name that callers give as `model`; the first in the contract answers to `auto`.
    pub name: id::Class,
    /// Versions that may answer, sorted; at least one.
    pub versions: Vec<id::Version>,
    /// The share of answers that must pass the rating.
    pub quality: Share,
    /// Lower goes first when a pool is full.
    pub priority: u8,
    /// How long a caller waits by default for the whole answer.
    pub timeout: Span,
    /// The most tokens that one answer may have.
    pub output: Tokens,
}

/// A spend limit over consecutive periods of fixed length, counted from the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spend {
    /// The most that may be spent in one period.
    pub limit: Money,
    /// Length of a period.
    pub period: Span,
}

/// The number of a spend period since the Unix epoch.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Period(pub u64);

impl fmt::Display for Period {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl Spend {
    /// The period that `now` falls into.
    #[must_use]
    pub const fn period(&self, now: Wall) -> Period {
        match now.millis().checked_div(self.period.millis()) {
            Some(number) => Period(number),
            None => Period(0),
        }
    }
}

impl Contract {
    /// The class that a caller's `model` names; `auto` is the first in priority order.
    #[must_use]
    pub fn class(&self, model: &str) -> Option<&Class> {
        if model == "auto" {
            return self.classes.iter().min_by_key(|class| class.priority);
        }
        let place = self
            .classes
            .binary_search_by(|class| class.name.as_str().cmp(model))
            .ok()?;
        self.classes.get(place)
    }

    /// Whether any class allows `version`.
    #[must_use]
    pub fn allows(&self, version: &id::Version) -> bool {
        self.classes.iter().any(|class| class.allows(version))
    }

    /// Whether the customer may call `service`.
    #[must_use]
    pub fn allows_service(&self, service: &id::Service) -> bool {
        self.services.binary_search(service).is_ok()
    }
}

impl Class {
    /// Whether this class may be answered by `version`.
    #[must_use]
    pub fn allows(&self, version: &id::Version) -> bool {
        self.versions.binary_search(version).is_ok()
    }
}

/// The BLAKE3 hash of an API key. Contracts and the log hold this, never the key itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Key([u8; 32]);

/// The text is not 64 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("an API key's hash has 64 hexadecimal digits"))]
pub struct Error;

impl Key {
    /// The hash of an API key as callers send it.
    #[must_use]
    pub fn of(secret: &str) -> Self {
        Self(blake3::hash(secret.as_bytes()).into())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        blake3::Hash::from(self.0).to_hex().fmt(f)
    }
}

impl FromStr for Key {
    type Err = Error;
    fn from_str(text: &str) -> Result<Self, Error> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| Error)?;
        Ok(Self(hash.into()))
    }
}

impl TryFrom<CompactString> for Key {
    type Error = Error;
    fn try_from(text: CompactString) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Key> for CompactString {
    fn from(key: Key) -> Self {
        blake3::Hash::from(key.0).to_hex().as_str().into()
    }
}
