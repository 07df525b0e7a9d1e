//! A promise of the product with the verdict of a trial.

use std::fmt;

/// A promise with what speaks against it; kept if nothing does.
#[derive(Debug, Clone)]
pub struct Promise {
    /// What was promised.
    pub name: &'static str,
    /// On how many cases it was looked at.
    pub cases: u64,
    /// What speaks against it.
    pub against: Vec<String>,
}

impl Promise {
    /// Whether it held. One that nothing put to the test did not.
    #[must_use]
    pub fn kept(&self) -> bool {
        self.against.is_empty() && self.cases > 0
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.kept() { "kept  " } else { "BROKEN" };
        write!(f, "{word}  {} ({} cases)", self.name, self.cases)?;
        for reason in self.against.iter().take(SHOWN) {
            write!(f, "\n          {reason}")?;
        }
        let more = self.against.len().saturating_sub(SHOWN);
        if more > 0 {
            write!(f, "\n          and {more} more")?;
        }
        Ok(())
    }
}

/// Reasons shown for one promise.
const SHOWN: usize = 5;
