//! The versions that a service's usable endpoints hold, and which of them is in place.

use pimento_units::id;

/// A version that usable endpoints hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// The version.
    pub version: id::Version,
    /// The number of its endpoints.
    pub endpoints: usize,
    /// When the first of them started, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}

/// The versions of one service.
#[derive(Debug)]
pub struct PoolVersions {
    /// The service.
    pub pool: id::Pool,
    /// Sorted by version.
    held: Vec<Held>,
    /// All versions that were held since this process started, with the earliest start of an endpoint. Sorted by
    /// version.
    seen: Vec<(id::Version, u64)>,
    /// The version that the last order left in place; none before one was read.
    in_place: Option<id::Version>,
}

impl PoolVersions {
    /// A service of which no endpoint is known.
    #[must_use]
    pub const fn new(pool: id::Pool) -> Self {
        Self {
            pool,
            held: Vec::new(),
            seen: Vec::new(),
            in_place: None,
        }
    }

    /// Sets the versions that are held, sorted. An empty list changes nothing. Returns whether their number
    /// changed.
    pub fn update(&mut self, held: Vec<Held>) -> bool {
        if held.is_empty() {
            return false;
        }
        for held in &held {
            match self.seen.binary_search_by(|(v, _)| v.cmp(&held.version)) {
                Ok(place) => {
                    let start = &mut self.seen[place].1;
                    *start = (*start).min(held.started_unix_ms);
                }
                Err(place) => {
                    let seen = (held.version.clone(), held.started_unix_ms);
                    self.seen.insert(place, seen);
                }
            }
        }
        let changed = self.held.len() != held.len();
        self.held = held;
        changed
    }

    /// Records that an order left this version in place.
    pub fn put_in_place(&mut self, version: id::Version) {
        self.in_place = Some(version);
    }

    /// The number of usable endpoints of a version.
    #[must_use]
    pub fn count(&self, version: &id::Version) -> usize {
        let found = self.held.binary_search_by(|held| held.version.cmp(version));
        found.map_or(0, |place| self.held[place].endpoints)
    }

    /// Whether endpoints of several versions are usable, so that there is a choice to make.
    #[must_use]
    pub const fn has_several(&self) -> bool {
        self.held.len() > 1
    }

    /// Whether another version than this one was held since this process started.
    #[must_use]
    pub fn has_seen_other(&self, version: &id::Version) -> bool {
        self.seen.iter().any(|(seen, _)| seen != version)
    }

    /// The version in place, as far as it is usable: the one that the last order left there, or the one that was
    /// there first. The numbers of endpoints and the names of versions tell nothing.
    #[must_use]
    pub fn stable(&self) -> Option<&id::Version> {
        self.first_of(|_| true)
    }

    /// The same among versions other than `target`.
    #[must_use]
    pub fn other(&self, target: &id::Version) -> Option<&id::Version> {
        self.first_of(|version| version != target)
    }

    fn first_of(&self, allowed: impl Fn(&id::Version) -> bool) -> Option<&id::Version> {
        let usable = self.held.iter().map(|held| &held.version);
        let usable = usable.filter(|version| allowed(version));
        usable.min_by_key(|version| {
            let in_place = self.in_place.as_ref() == Some(*version);
            (!in_place, self.first_start(version))
        })
    }

    fn first_start(&self, version: &id::Version) -> u64 {
        let found = self.seen.binary_search_by(|(seen, _)| seen.cmp(version));
        found.map_or(u64::MAX, |place| self.seen[place].1)
    }
}
