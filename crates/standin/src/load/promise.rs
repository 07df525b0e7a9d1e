//! A promise of the product and the result of checking it in a trial.

use std::fmt;

/// A promise with the violations found.
#[derive(Debug, Clone)]
pub struct Promise {
    /// The promise.
    pub name: &'static str,
    /// The number of cases checked.
    pub cases: u64,
    /// Descriptions of the violations.
    pub violations: Vec<String>,
}

impl Promise {
    /// Whether the promise was kept. It counts as broken if there was no case to check.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.violations.is_empty() && self.cases > 0
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.is_kept() { "kept  " } else { "BROKEN" };
        write!(f, "{word}  {} ({} cases)", self.name, self.cases)?;
        for violation in self.violations.iter().take(MAX_SHOWN) {
            write!(f, "\n          {violation}")?;
        }
        let more = self.violations.len().saturating_sub(MAX_SHOWN);
        if more > 0 {
            write!(f, "\n          and {more} more")?;
        }
        Ok(())
    }
}

/// Violations printed per promise.
const MAX_SHOWN: usize = 5;
