//! Identifiers: short validated names, and UUIDs for requests, attempts, records and sessions.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;
use uuid::Uuid;

use crate::time::Wall;

/// Maximum length of a name, in bytes. Names appear in metric labels, headers and log lines.
pub const MAX_NAME: usize = 64;

/// Why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text is empty.
    #[snafu(display("a name must not be empty"))]
    Empty,
    /// The text has more than [`MAX_NAME`] bytes.
    #[snafu(display("a name has at most {MAX_NAME} bytes, this one has {length}"))]
    Long {
        /// Length of the text in bytes.
        length: usize,
    },
    /// The text contains a character other than ASCII letters, digits and `-_.@:`.
    #[snafu(display("{character:?} is not allowed in a name (letters, digits and -_.@: are)"))]
    Character {
        /// The first such character.
        character: char,
    },
    /// The text is not a UUID.
    #[snafu(display("{text:?} is not a UUID"))]
    Uuid {
        /// The rejected text.
        text: CompactString,
    },
}

fn check(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_NAME {
        return Err(Error::Long { length: text.len() });
    }
    let allowed = |c: &char| c.is_ascii_alphanumeric() || "-_.@:".contains(*c);
    match text.chars().find(|c| !allowed(c)) {
        Some(character) => Err(Error::Character { character }),
        None => Ok(()),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $type(CompactString);

        impl $type {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<CompactString> for $type {
            type Error = Error;
            fn try_from(text: CompactString) -> Result<Self, Error> {
                check(&text)?;
                Ok(Self(text))
            }
        }

        impl TryFrom<&str> for $type {
            type Error = Error;
            fn try_from(text: &str) -> Result<Self, Error> {
                text.parse()
            }
        }

        impl FromStr for $type {
            type Err = Error;
            fn from_str(text: &str) -> Result<Self, Error> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl From<$type> for CompactString {
            fn from(name: $type) -> Self {
                name.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    };
}

name! {
    /// A customer: a workspace that sends requests under a contract of its own.
    Customer
}
name! {
    /// An availability zone, such as `kig-remera`.
    Zone
}
name! {
    /// An entry VM's name, unique to one incarnation of the VM.
    Node
}
name! {
    /// A replica of a model engine or of a plain service. The name is unique to one incarnation of
    /// its VM.
    Endpoint
}
name! {
    /// A group of endpoints that serve the same versions or the same plain service.
    Pool
}
name! {
    /// A plain service, such as `order-desk`.
    Service
}
name! {
    /// A class of requests within a contract, such as `stock` or `review`.
    Class
}
name! {
    /// A model version, such as `pimento-small@3`.
    Version
}
name! {
    /// A resource that is leased to one holder at a time, such as `orders:pimento-llm:kig-remera`.
    Resource
}

macro_rules! unique {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $type(pub Uuid);

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $type {
            type Err = Error;
            fn from_str(text: &str) -> Result<Self, Error> {
                Uuid::parse_str(text)
                    .map(Self)
                    .map_err(|_| Error::Uuid { text: text.into() })
            }
        }
    };
}

unique! {
    /// A caller's request (the `Idempotency-Key`). A version 7 UUID contains its creation time.
    Request
}
unique! {
    /// One attempt to have a request answered by one endpoint.
    Attempt
}
unique! {
    /// One record of a stream of the platform's log. Readers use it to ignore a second copy of the
    /// record.
    Record
}
unique! {
    /// A caller's session, carried in the session token.
    Session
}

impl Request {
    /// When the id was generated; `None` unless it is a version 7 UUID.
    #[must_use]
    pub fn created(&self) -> Option<Wall> {
        let stamp = self.0.get_timestamp()?;
        if self.0.get_version_num() != 7 {
            return None;
        }
        let (seconds, nanos) = stamp.to_unix();
        Some(Wall::from_millis(
            seconds * 1_000 + u64::from(nanos) / 1_000_000,
        ))
    }
}
