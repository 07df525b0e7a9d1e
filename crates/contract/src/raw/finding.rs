//! Findings with their locations.

use std::cell::RefCell;
use std::error::Error;
use std::fmt;

use compact_str::CompactString;

/// A location in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The file's name.
    pub file: CompactString,
    /// The line, from 1.
    pub line: usize,
    /// The key path, such as `contract[0].class[2].versions[1]`; empty for the file as a whole.
    pub path: CompactString,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)?;
        if self.path.is_empty() {
            return Ok(());
        }
        write!(f, ": {}", self.path)
    }
}

/// One fault in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Its location.
    pub place: Place,
    /// A description for the operator.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// All findings, sorted by location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// The findings, sorted by location.
    #[must_use]
    pub fn as_slice(&self) -> &[Finding] {
        &self.0
    }

    /// Whether there are no findings.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.0 {
            writeln!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl Error for Findings {}

/// Collects findings through shared references, since several nested tables are open at once.
#[derive(Debug, Default)]
pub(super) struct Report(RefCell<Vec<Finding>>);

impl Report {
    pub(super) fn add(&self, place: &Place, message: impl fmt::Display) {
        self.0.borrow_mut().push(Finding {
            place: place.clone(),
            message: message.to_string(),
        });
    }

    pub(super) fn into_findings(self) -> Findings {
        let mut findings = self.0.into_inner();
        findings.sort();
        findings.dedup();
        Findings(findings)
    }
}
