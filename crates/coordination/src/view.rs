//! What a node has read of one of the streams that the system keeps: a fold of typed records.

use pimento_units::Offset;
use pimento_units::Wall;
use serde::de::DeserializeOwned;

use crate::follower;

/// A fold of records of one type.
pub trait TypedFold: Send + Sync + 'static {
    /// A record as it stands on the log.
    type Record: DeserializeOwned;

    /// The prefix of log lines about it.
    const PREFIX: &'static str;

    /// Takes the record at `offset`, which the log took at `at`.
    fn apply(&mut self, offset: Offset, at: Wall, record: Self::Record);
}

/// A fold, and how far it has read.
#[derive(Debug, Default)]
pub struct View<F> {
    fold: F,
    next: Offset,
    now: Wall,
}

impl<F> View<F> {
    /// A view that has read nothing.
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

    /// The log's clock at the newest record read.
    #[must_use]
    pub const fn now(&self) -> Wall {
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

    fn reset(&mut self, oldest: Offset) {
        // Claims and leases that retention has passed have run out, and grants of periods that are
        // over: the log keeps its streams for longer than what they say counts.
        self.next = oldest;
    }
}
