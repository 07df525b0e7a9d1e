//! Findings with their place.

use std::cell::RefCell;
use std::error::Error;
use std::fmt;

use compact_str::CompactString;

/// Where something stands.
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

/// One fault of a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Where.
    pub place: Place,
    /// What, as a sentence for people.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// All faults found, sorted by place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// The findings, sorted by place.
    #[must_use]
    pub fn as_slice(&self) -> &[Finding] {
        &self.0
    }

    /// Whether nothing was found.
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

/// Gathers findings through shared references, since nested tables are read side by side.
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
