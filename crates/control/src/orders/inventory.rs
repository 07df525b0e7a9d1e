//! Versions whose weights are in the zone, the weight store's rate limit, and draining versions.

use std::time::Duration;

use pimento_contract::State;
use pimento_contract::version;
use pimento_units::Moment;
use pimento_units::id;
use tokio::time::Instant;

use crate::bucket::Bucket;

/// The zone's inventory of weights.
#[derive(Debug)]
pub(super) struct Inventory {
    start: Instant,
    bucket: Bucket,
    drain: Duration,
    /// Versions in the zone, sorted.
    available: Vec<id::Version>,
    /// When each withdrawn version was first seen as withdrawn, sorted by version.
    withdrawn: Vec<(id::Version, Instant)>,
}

impl Inventory {
    pub(super) fn new(bucket: Bucket, drain: Duration) -> Self {
        Self {
            start: Instant::now(),
            bucket,
            drain,
            available: Vec::new(),
            withdrawn: Vec::new(),
        }
    }

    fn moment(&self, now: Instant) -> Moment {
        Moment::ZERO + now.saturating_duration_since(self.start)
    }

    /// Adds versions that are in the zone, since an engine holds them or they were fetched.
    pub(super) fn add<'a>(&mut self, versions: impl IntoIterator<Item = &'a id::Version>) {
        for version in versions {
            if let Err(at) = self.available.binary_search(version) {
                self.available.insert(at, version.clone());
            }
        }
    }

    /// Those of `versions` that are in the zone.
    pub(super) fn available(&self, versions: &[id::Version]) -> Vec<id::Version> {
        let available = |version: &&id::Version| self.available.binary_search(version).is_ok();
        versions.iter().filter(available).cloned().collect()
    }

    /// The first of `versions` that is not in the zone.
    pub(super) fn first_missing<'a>(
        &self,
        mut versions: impl Iterator<Item = &'a id::Version>,
    ) -> Option<id::Version> {
        let version = versions.find(|version| self.available.binary_search(version).is_err())?;
        Some(version.clone())
    }

    /// Acquires a permit for a call to the weight store. Returns whether there was one.
    pub(super) fn try_acquire_fetch(&mut self, now: Instant) -> bool {
        let now = self.moment(now);
        self.bucket.try_acquire(now).is_ok()
    }

    /// Blocks fetches for `retry_after`, as the store asked.
    pub(super) fn block(&mut self, now: Instant, retry_after: Duration) {
        let now = self.moment(now);
        self.bucket.block(now, retry_after);
    }

    /// Records versions seen as withdrawn for the first time, and returns those of a pool that are
    /// still draining. Requests that run on a version when it is withdrawn may finish, so engines
    /// must not drop it immediately.
    pub(super) fn update_draining(
        &mut self,
        state: &State,
        pool: &id::Pool,
        now: Instant,
    ) -> Vec<id::Version> {
        let withdrawn =
            |version: &&pimento_contract::Version| version.status == version::Status::Withdrawn;
        self.withdrawn.retain(|(id, _)| {
            let version = state.version(id);
            version.as_ref().is_some_and(withdrawn)
        });
        for version in state.versions().filter(withdrawn) {
            let position = self
                .withdrawn
                .binary_search_by(|(id, _)| id.cmp(&version.id));
            if let Err(at) = position {
                self.withdrawn.insert(at, (version.id.clone(), now));
            }
        }
        let draining = self.withdrawn.iter().filter(|(id, since)| {
            let in_pool = state.version(id).is_some_and(|v| v.pool == *pool);
            in_pool && now.saturating_duration_since(*since) < self.drain
        });
        draining.map(|(id, _)| id.clone()).collect()
    }
}
