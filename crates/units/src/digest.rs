//! Content digests.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// Length of a digest in bytes; long enough that a collision can't be constructed deliberately.
const LENGTH: usize = 16;

/// The BLAKE3 hash of a list of parts, truncated to 16 bytes.
///
/// Each part is hashed with its length, so lists that differ only in where one part ends and the
/// next begins have different digests.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest([u8; LENGTH]);

/// The text does not consist of 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("a digest has 32 hexadecimal digits"))]
pub struct Error;

impl Digest {
    /// Computes the digest of a list of parts.
    #[must_use]
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = blake3::Hasher::new();
        for part in parts {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut bytes = [0; LENGTH];
        hash.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let digits = text.as_bytes();
        if digits.len() != 2 * LENGTH || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(Error);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| Error)?;
        Ok(Self(number.to_be_bytes()))
    }
}
