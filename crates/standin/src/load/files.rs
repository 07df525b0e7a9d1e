//! Input files of the commands, and the reasons for which a command fails.

use std::fs;

use serde::de::DeserializeOwned;

use crate::settings::Findings;

/// Why a command failed.
#[derive(Debug)]
pub(super) enum Failure {
    /// Settings or files are wrong.
    Findings(Findings),
    /// A file could not be read or written, or an address did not answer.
    Io(String),
    /// A promise was broken, or an answer failed its check.
    Broken,
}

/// Reads a file.
pub(super) fn read(path: &str) -> Result<String, Failure> {
    fs::read_to_string(path).map_err(|error| Failure::Io(format!("{path}: {error}")))
}

/// Reads a JSON file.
pub(super) fn json<T: DeserializeOwned>(path: &str) -> Result<T, Failure> {
    serde_json::from_str(&read(path)?).map_err(|error| finding(path, error))
}

fn finding(path: &str, finding: impl std::fmt::Display) -> Failure {
    let mut findings = Findings::default();
    findings.file(path, finding);
    Failure::Findings(findings)
}
