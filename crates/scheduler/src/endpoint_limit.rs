//! Limits that endpoints name for all VMs together, observed by this VM or reported by another one.

use std::time::Duration;

use pimento_policy::throttle::RateLimit;
use pimento_policy::throttle::Throttle;
use pimento_units::Moment;

/// Time for which the removal of a limit is reported to other VMs.
const REMOVAL_REPORT_PERIOD: Duration = Duration::from_secs(3);

/// What an endpoint limits for all VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The requests that it accepts in a second.
    Requests,
    /// The requests that it may turn away in a second before it falls over.
    Rejections,
}

impl Kind {
    /// The name in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Rejections => "rejections",
        }
    }
}

/// A report of an endpoint's limit to other VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// What is limited.
    pub kind: Kind,
    /// The limit; `None` if the endpoint no longer has one.
    pub limit: Option<RateLimit>,
    /// Time since the endpoint's answer.
    pub age: Duration,
    /// Time since the endpoint turned away a request of the VM that reports; `None` if that is long ago, or
    /// says nothing of this kind of limit.
    pub rejected: Option<Duration>,
}

/// How this VM knows an endpoint's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// From an answer of the endpoint to this VM.
    Local,
    /// From another VM's report.
    Peer,
}

/// A limit, or its absence, in an endpoint's answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Observation {
    /// The limit; `None` if the endpoint has none.
    pub limit: Option<RateLimit>,
    /// How this VM knows it.
    pub source: Source,
    /// When the endpoint answered.
    pub observed: Moment,
}

/// The state of one endpoint's limit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndpointLimit {
    observation: Observation,
    /// Token bucket for this VM's calls, if there is a limit.
    throttle: Option<Throttle>,
}

impl EndpointLimit {
    /// Applies an observation. `share` computes this VM's share of a limit, and `before` is the token
    /// bucket that it has used so far.
    pub fn new(
        observation: Observation,
        before: Option<Throttle>,
        share: impl Fn(RateLimit) -> f64,
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

    /// Returns when the endpoint answered.
    pub const fn observed(&self) -> Moment {
        self.observation.observed
    }

    /// Returns whether a new observation replaces this one. Answers of one endpoint may overtake each other,
    /// so that one without a limit removes a known one only if its call was sent after that was observed.
    pub fn is_replaced_by(&self, limit: Option<RateLimit>, sent: Moment) -> bool {
        limit.is_some() || (self.limit().is_some() && self.observed() < sent)
    }

    /// Sets this VM's share of the limit, after the VMs that share it have changed.
    pub fn set_share(&mut self, share: impl Fn(RateLimit) -> f64, now: Moment) {
        if let Some((limit, throttle)) = self.observation.limit.zip(self.throttle.as_mut()) {
            throttle.set_rate(share(limit), now);
        }
    }

    /// Returns the limit, if there is one.
    pub const fn limit(&self) -> Option<RateLimit> {
        self.observation.limit
    }

    /// Returns the token bucket, if there is a limit.
    pub const fn throttle(&self) -> Option<Throttle> {
        self.throttle
    }

    /// Begins anew with this VM's share at `at`, and allows the first request after a part of the time between
    /// two, from 0 to 1.
    pub fn restart(&mut self, phase: f64, at: Moment) {
        if let Some(throttle) = &mut self.throttle {
            *throttle = Throttle::new(throttle.rate(), at).with_phase(phase);
        }
    }

    /// Counts a request that is sent.
    pub fn consume(&mut self, now: Moment) {
        if let Some(throttle) = &mut self.throttle {
            throttle.consume(now);
        }
    }

    /// Returns the report for other VMs. There is none for a limit that another VM reported, nor for a
    /// removal after [`REMOVAL_REPORT_PERIOD`].
    pub fn report(&self, endpoint: u64, kind: Kind, now: Moment) -> Option<Report> {
        let Observation {
            limit,
            source,
            observed,
        } = self.observation;
        let age = now.since(observed);
        let fresh = limit.is_some() || age < REMOVAL_REPORT_PERIOD;
        (source == Source::Local && fresh).then_some(Report {
            endpoint,
            kind,
            limit,
            age,
            rejected: None,
        })
    }
}
