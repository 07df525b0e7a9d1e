//! Versions withdrawn during a trial, given as `VERSION=MILLISECONDS`.

use std::str::FromStr;

use compact_str::CompactString;
use pimento_units::Wall;
use pimento_units::id;
use snafu::Snafu;

/// A version that was withdrawn during the trial.
#[derive(Debug, Clone)]
pub struct Withdrawal {
    /// The version.
    pub version: id::Version,
    /// When the withdrawal was accepted.
    pub at: Wall,
}

/// The text is not `VERSION=MILLISECONDS`.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not VERSION=MILLISECONDS since the Unix epoch"))]
pub struct ParseError {
    text: CompactString,
}

impl FromStr for Withdrawal {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, ParseError> {
        let parse = || {
            let (version, at) = text.split_once('=')?;
            Some(Self {
                version: version.parse().ok()?,
                at: Wall::from_millis(at.parse().ok()?),
            })
        };
        parse().ok_or_else(|| ParseError { text: text.into() })
    }
}
