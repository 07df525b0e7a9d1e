//! Contracts: what a customer may use and spend, and the quality that it must receive.

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

/// One customer's contract. Lists are sorted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contract {
    /// The customer.
    pub customer: id::Customer,
    /// Hashes of the customer's API keys, sorted.
    pub keys: Vec<Key>,
    /// Weight of the customer relative to others when a pool is full; at least 1.
    pub weight: u32,
    /// The spend limit.
    pub spend: Spend,
    /// Classes of requests, sorted by name; at least one.
    pub classes: Vec<Class>,
    /// Plain services that the customer may call, sorted.
    pub services: Vec<id::Service>,
}

/// A class of requests, which callers select by `model`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// The name that callers send as `model`. `auto` selects the class with the lowest priority
    /// number.
    pub name: id::Class,
    /// Versions that may answer, sorted; at least one.
    pub versions: Vec<id::Version>,
    /// The fraction of answers that must pass the rating.
    pub quality: Share,
    /// Priority when a pool is full; lower numbers are served first.
    pub priority: u8,
    /// Default timeout for the whole answer.
    pub timeout: Span,
    /// Maximum number of tokens in one answer.
    pub output: Tokens,
}

/// A spend limit over consecutive periods of fixed length, counted from the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spend {
    /// Maximum spend in one period.
    pub limit: Money,
    /// Length of a period.
    pub period: Span,
}

/// The index of a spend period, counted from the Unix epoch.
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
    /// The class that a caller's `model` selects; `auto` selects the first in priority order.
    #[must_use]
    pub fn class(&self, model: &str) -> Option<&Class> {
        if model == "auto" {
            return self.classes.iter().min_by_key(|class| class.priority);
        }
        let position = self
            .classes
            .binary_search_by(|class| class.name.as_str().cmp(model))
            .ok()?;
        self.classes.get(position)
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
    /// Whether `version` may answer requests of this class.
    #[must_use]
    pub fn allows(&self, version: &id::Version) -> bool {
        self.versions.binary_search(version).is_ok()
    }
}

/// The BLAKE3 hash of an API key. Contracts and the log contain only the hash, never the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Key([u8; 32]);

/// The text does not consist of 64 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("an API key's hash has 64 hexadecimal digits"))]
pub struct Error;

impl Key {
    /// Hashes an API key in the form in which callers send it.
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
