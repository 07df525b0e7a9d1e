//! Offsets in the platform's log, and revisions of configured subjects.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

macro_rules! number {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $type(pub u64);

        impl $type {
            /// The next number. The largest one is its own successor: a wrong number from a faulty
            /// log or peer must not wrap around and send a reader back to the start.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $type {
            type Err = ParseIntError;
            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

number! {
    /// The position of a record in a stream of the platform's log. The first record has offset 0.
    Offset
}
number! {
    /// The revision of one configured subject: the offset of the change that set or removed it, plus
    /// one. Zero means that the subject never existed.
    Revision
}

impl From<Offset> for Revision {
    fn from(offset: Offset) -> Self {
        Self(offset.0.saturating_add(1))
    }
}
