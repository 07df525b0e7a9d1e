//! Versions whose weights are in the zone, the rate of the weight store, and versions that drain.

use std::time::Duration;

use pimento_contract::State;
use pimento_contract::version;
use pimento_units::Moment;
use pimento_units::id;
use tokio::time::Instant;

use crate::bucket::Bucket;

/// What is at hand in the zone.
#[derive(Debug)]
pub(super) struct Stock {
    start: Instant,
    bucket: Bucket,
    drain: Duration,
    /// Sorted.
    held: Vec<id::Version>,
    /// When each withdrawn version was first seen so, sorted by version.
    withdrawn: Vec<(id::Version, Instant)>,
}

impl Stock {
    pub(super) fn new(bucket: Bucket, drain: Duration) -> Self {
        Self {
            start: Instant::now(),
            bucket,
            drain,
            held: Vec::new(),
            withdrawn: Vec::new(),
        }
    }

    fn moment(&self, now: Instant) -> Moment {
        Moment::ZERO + now.saturating_duration_since(self.start)
    }

    /// Notes versions that are in the zone: an engine holds them or they were fetched.
    pub(super) fn hold<'a>(&mut self, versions: impl IntoIterator<Item = &'a id::Version>) {
        for version in versions {
            if let Err(at) = self.held.binary_search(version) {
                self.held.insert(at, version.clone());
            }
        }
    }

    /// Those of `versions` that are in the zone.
    pub(super) fn at_hand(&self, versions: &[id::Version]) -> Vec<id::Version> {
        let held = |version: &&id::Version| self.held.binary_search(version).is_ok();
        versions.iter().filter(held).cloned().collect()
    }

    /// The first of `versions` that is not in the zone.
    pub(super) fn missing<'a>(
        &self,
        mut versions: impl Iterator<Item = &'a id::Version>,
    ) -> Option<id::Version> {
        let version = versions.find(|version| self.held.binary_search(version).is_err())?;
        Some(version.clone())
    }

    /// Takes a permit for a call to the weight store, if there is one.
    pub(super) fn permit(&mut self, now: Instant) -> bool {
        let now = self.moment(now);
        self.bucket.take(now).is_ok()
    }

    /// The store said to come back after `after`.
    pub(super) fn block(&mut self, now: Instant, after: Duration) {
        let now = self.moment(now);
        self.bucket.block(now, after);
    }

    /// Withdrawn versions of a pool that still drain. What runs on a version when it is withdrawn
    /// may finish, so that engines must not drop it at once.
    pub(super) fn draining(
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
            let place = self
                .withdrawn
                .binary_search_by(|(id, _)| id.cmp(&version.id));
            if let Err(at) = place {
                self.withdrawn.insert(at, (version.id.clone(), now));
            }
        }
        let draining = self.withdrawn.iter().filter(|(id, since)| {
            let here = state.version(id).is_some_and(|v| v.pool == *pool);
            here && now.saturating_duration_since(*since) < self.drain
        });
        draining.map(|(id, _)| id.clone()).collect()
    }
}
