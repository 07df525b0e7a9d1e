//! Views of streams whose records have one type.

use pimento_units::Offset;
use pimento_units::Wall;
use serde::de::DeserializeOwned;

use crate::follower;

/// A fold of records of one type.
pub trait TypedFold: Send + Sync + 'static {
    /// The type of the stream's records, as the log stores them.
    type Record: DeserializeOwned;

    /// The prefix of log lines about the stream.
    const PREFIX: &'static str;

    /// Applies the record at `offset`, which the log appended at `at`.
    fn apply(&mut self, offset: Offset, at: Wall, record: Self::Record);
}

/// A fold with the position that it was read up to.
#[derive(Debug, Default)]
pub struct View<F> {
    fold: F,
    next: Offset,
    now: Wall,
}

impl<F> View<F> {
    /// A view without any records.
    #[must_use]
    pub const fn new(fold: F) -> Self {
        Self {
            fold,
            next: Offset(0),
            now: Wall::from_millis(0),
        }
    }

    /// The fold.
    #[must_use]
    pub const fn fold(&self) -> &F {
        &self.fold
    }

    /// Whether the record at `offset` was read.
    #[must_use]
    pub fn has_read(&self, offset: Offset) -> bool {
        self.next > offset
    }

    /// The log's clock when it appended the newest record read.
    #[must_use]
    pub const fn log_time(&self) -> Wall {
        self.now
    }
}

impl<F: TypedFold> follower::Fold for View<F> {
    fn apply(&mut self, offset: Offset, at: Wall, record: &str) {
        self.next = offset.next();
        self.now = self.now.max(at);
        match serde_json::from_str(record) {
            Ok(record) => self.fold.apply(offset, at, record),
            Err(error) => log::warn!("{}: record {offset} can't be read: {error}", F::PREFIX),
        }
    }

    fn records_dropped(&mut self, oldest: Offset) {
        // The fold needs no reset. The log retains records for longer than they are valid: claims and
        // leases that it has dropped have expired, and the periods of dropped grants are over.
        self.next = oldest;
    }
}
