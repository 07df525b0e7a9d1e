//! Counters by key, sorted.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// The count of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The key.
    pub key: CompactString,
    /// How often the key was counted.
    pub count: u64,
}

/// Counters by key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tally(Vec<Count>);

impl Tally {
    /// Increments the count of a key and returns it.
    pub fn add(&mut self, key: &str) -> u64 {
        match self.find(key) {
            Ok(at) => {
                self.0[at].count += 1;
                self.0[at].count
            }
            Err(at) => {
                let key = key.into();
                self.0.insert(at, Count { key, count: 1 });
                1
            }
        }
    }

    /// The count of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> u64 {
        self.find(key).map_or(0, |at| self.0[at].count)
    }

    /// All counts, sorted by key.
    #[must_use]
    pub fn counts(&self) -> &[Count] {
        &self.0
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.0.binary_search_by(|count| count.key.as_str().cmp(key))
    }
}
