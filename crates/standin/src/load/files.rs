//! Files that the commands read, and why a command stops.

use std::fs;

use serde::de::DeserializeOwned;

use crate::settings::Findings;

/// Why the program ends without a good result.
#[derive(Debug)]
pub(super) enum Stop {
    /// Settings or files are wrong.
    Findings(Findings),
    /// A file or an address can't be had.
    Io(String),
    /// A promise was broken.
    Broken,
}

/// Reads a file.
pub(super) fn read(path: &str) -> Result<String, Stop> {
    fs::read_to_string(path).map_err(|error| Stop::Io(format!("{path}: {error}")))
}

/// Reads a file of JSON.
pub(super) fn json<T: DeserializeOwned>(path: &str) -> Result<T, Stop> {
    serde_json::from_str(&read(path)?).map_err(|error| finding(path, error))
}

fn finding(path: &str, finding: impl std::fmt::Display) -> Stop {
    let mut findings = Findings::default();
    findings.file(path, finding);
    Stop::Findings(findings)
}
