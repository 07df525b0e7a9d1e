//! An endpoint's own limit, as it named it or as another VM heard it.

use std::time::Duration;

use pimento_policy::throttle::Limit;
use pimento_policy::throttle::Throttle;
use pimento_units::Moment;

/// For how long other VMs are told that a limit has ended.
const REMOVAL_REPORT_PERIOD: Duration = Duration::from_secs(3);

/// What is observation of an endpoint's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Its limit; none if it has one no more.
    pub limit: Option<Limit>,
    /// How long ago it observation so.
    pub age: Duration,
}

/// Who knows of an endpoint's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// The endpoint told this VM.
    Local,
    /// Another VM did.
    Peer,
}

/// What an endpoint observation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Observation {
    /// Its limit; none if it has none.
    pub limit: Option<Limit>,
    /// Who knows it from whom.
    pub source: Source,
    /// When it observation so.
    pub observed: Moment,
}

/// What is known of one endpoint's limit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndpointLimit {
    observation: Observation,
    /// What this VM may send, while there is a limit.
    throttle: Option<Throttle>,
}

impl EndpointLimit {
    /// What follows from what an endpoint observation: `part` is this VM's part of a limit, and `before` what it
    /// could send by the limit until now.
    pub fn new(
        observation: Observation,
        before: Option<Throttle>,
        share: impl Fn(Limit) -> f64,
        now: Moment,
    ) -> Self {
        let throttle = observation.limit.map(|limit| {
            let mut throttle = before.unwrap_or(Throttle::new(0.0, now));
            throttle.set_rate(share(limit), now);
            throttle
        });
        Self {
            observation,
            throttle,
        }
    }

    /// When the endpoint observation what is known.
    pub const fn observed(&self) -> Moment {
        self.observation.observed
    }

    /// Other VMs share the limit from now on.
    pub fn set_share(&mut self, share: impl Fn(Limit) -> f64, now: Moment) {
        if let Some((limit, throttle)) = self.observation.limit.zip(self.throttle.as_mut()) {
            throttle.set_rate(share(limit), now);
        }
    }

    /// The limit, if there is one.
    pub const fn limit(&self) -> Option<Limit> {
        self.observation.limit
    }

    /// What may be sent; none if there is no limit.
    pub const fn throttle(&self) -> Option<Throttle> {
        self.throttle
    }

    /// A request is sent.
    pub fn consume(&mut self, now: Moment) {
        if let Some(throttle) = &mut self.throttle {
            throttle.consume(now);
        }
    }

    /// What other VMs are to be told; none if they know it from elsewhere, or by now.
    pub fn report(&self, endpoint: u64, now: Moment) -> Option<Report> {
        let Observation {
            limit,
            source,
            observed,
        } = self.observation;
        let age = now.since(observed);
        let fresh = limit.is_some() || age < REMOVAL_REPORT_PERIOD;
        (source == Source::Local && fresh).then_some(Report {
            endpoint,
            limit,
            age,
        })
    }
}
