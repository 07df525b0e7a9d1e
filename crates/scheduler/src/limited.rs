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

/// What an endpoint said.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Said {
    /// Its limit; none if it has none.
    pub limit: Option<Limit>,
    /// Who knows it from whom.
    pub source: Source,
    /// When it said so.
    pub at: Moment,
}

/// What is known of one endpoint's limit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limited {
    said: Said,
    /// What this VM may send, while there is a limit.
    throttle: Option<Throttle>,
}

impl Limited {
    /// What follows from what an endpoint said: `part` is this VM's part of a limit, and `before` what it
    /// could send by the limit until now.
    pub fn new(
        said: Said,
        before: Option<Throttle>,
        share: impl Fn(Limit) -> f64,
        now: Moment,
    ) -> Self {
        let throttle = said.limit.map(|limit| {
            let mut throttle = before.unwrap_or(Throttle::new(0.0, now));
            throttle.set_rate(share(limit), now);
            throttle
        });
        Self { said, throttle }
    }

    /// When the endpoint said what is known.
    pub const fn at(&self) -> Moment {
        self.said.at
    }

    /// Other VMs share the limit from now on.
    pub fn share(&mut self, share: impl Fn(Limit) -> f64, now: Moment) {
        if let Some((limit, throttle)) = self.said.limit.zip(self.throttle.as_mut()) {
            throttle.set_rate(share(limit), now);
        }
    }

    /// The limit, if there is one.
    pub const fn limit(&self) -> Option<Limit> {
        self.said.limit
    }

    /// What may be sent; none if there is no limit.
    pub const fn throttle(&self) -> Option<Throttle> {
        self.throttle
    }

    /// A request is sent.
    pub fn take(&mut self, now: Moment) {
        if let Some(throttle) = &mut self.throttle {
            throttle.consume(now);
        }
    }

    /// What other VMs are to be told; none if they know it from elsewhere, or by now.
    pub fn word(&self, endpoint: u64, now: Moment) -> Option<Word> {
        let Said { limit, source, at } = self.said;
        let age = now.since(at);
        let fresh = limit.is_some() || age < TOLD;
        (source == Source::Own && fresh).then_some(Word {
            endpoint,
            limit,
            age,
        })
    }
}
