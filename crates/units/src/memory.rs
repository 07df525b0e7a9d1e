//! The memory that a process may take.

use std::fmt;
use std::num::NonZeroU32;
use std::str::FromStr;

use compact_str::CompactString;
use snafu::Snafu;

/// Unit of the text form.
const UNIT: &str = "MiB";

const BYTES_PER_MEBIBYTE: u64 = 1 << 20;

/// A size of memory in whole mebibytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Memory(NonZeroU32);

/// The number or text is no size of memory.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{found} is not a size of memory, which is at least one mebibyte"))]
pub struct Error {
    found: CompactString,
}

impl Memory {
    /// The size in bytes.
    #[must_use]
    pub const fn bytes(self) -> u64 {
        self.0.get() as u64 * BYTES_PER_MEBIBYTE
    }
}

impl TryFrom<u32> for Memory {
    type Error = Error;

    fn try_from(mebibytes: u32) -> Result<Self, Self::Error> {
        NonZeroU32::new(mebibytes).map(Self).ok_or_else(|| Error {
            found: CompactString::from(mebibytes.to_string()),
        })
    }
}

impl fmt::Display for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {UNIT}", self.0)
    }
}

impl FromStr for Memory {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix(UNIT).map(str::trim_end);
        let parsed = number.and_then(|number| number.parse::<NonZeroU32>().ok());
        parsed.map(Self).ok_or_else(|| Error {
            found: CompactString::from(text),
        })
    }
}
