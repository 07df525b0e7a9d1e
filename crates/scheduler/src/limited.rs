//! An endpoint's own limit, as it named it or as another VM heard it.

use std::time::Duration;

use pimento_policy::throttle::Limit;
use pimento_policy::throttle::Throttle;
use pimento_units::Moment;

/// For how long other VMs are told that a limit has ended.
const TOLD: Duration = Duration::from_secs(3);

/// What is said of an endpoint's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Word {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Its limit; none if it has one no more.
    pub limit: Option<Limit>,
    /// How long ago it said so.
    pub age: Duration,
}

/// Who knows of an endpoint's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// The endpoint told this VM.
    Own,
    /// Another VM did.
    Heard,
}

/// A limit in force.
#[derive(Debug, Clone, Copy)]
struct Force {
    limit: Limit,
    throttle: Throttle,
}

/// What is known of one endpoint's limit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limited {
    force: Option<Force>,
    source: Source,
    /// When the endpoint said so.
    at: Moment,
}

impl Limited {
    /// What an endpoint said at a moment.
    pub const fn new(source: Source, at: Moment) -> Self {
        Self {
            force: None,
            source,
            at,
        }
    }

    /// When the endpoint said what is known.
    pub const fn at(&self) -> Moment {
        self.at
    }

    /// Takes newer word. `part` is this VM's part of a limit.
    pub fn renew(
        &mut self,
        limit: Option<Limit>,
        source: Source,
        at: Moment,
        part: impl Fn(Limit) -> f64,
        now: Moment,
    ) {
        self.source = source;
        self.at = at;
        let before = self.force;
        self.force = limit.map(|limit| {
            let part = part(limit);
            let mut throttle = before.map_or(Throttle::new(part, now), |force| force.throttle);
            throttle.set(part, now);
            Force { limit, throttle }
        });
    }

    /// Other VMs share the limit from now on.
    pub fn share(&mut self, part: impl Fn(Limit) -> f64, now: Moment) {
        if let Some(force) = &mut self.force {
            force.throttle.set(part(force.limit), now);
        }
    }

    /// The limit, if there is one.
    pub fn limit(&self) -> Option<Limit> {
        self.force.map(|force| force.limit)
    }

    /// What may be sent; none if there is no limit.
    pub fn throttle(&self) -> Option<Throttle> {
        self.force.map(|force| force.throttle)
    }

    /// A request is sent.
    pub fn take(&mut self, now: Moment) {
        if let Some(force) = &mut self.force {
            force.throttle.take(now);
        }
    }

    /// What other VMs are to be told; none if they know it from elsewhere, or by now.
    pub fn word(&self, endpoint: u64, now: Moment) -> Option<Word> {
        let age = now.since(self.at);
        let fresh = self.force.is_some() || age < TOLD;
        (self.source == Source::Own && fresh).then_some(Word {
            endpoint,
            limit: self.limit(),
            age,
        })
    }
}
