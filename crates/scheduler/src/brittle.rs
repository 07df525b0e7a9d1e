//! An endpoint that falls over when it turns too many requests away.

use std::time::Duration;

use pimento_policy::brittle::Capacity;
use pimento_policy::brittle::Room;
use pimento_policy::brittle::Share;
use pimento_policy::throttle::RateLimit;
use pimento_policy::throttle::Throttle;
use pimento_units::Moment;

use crate::endpoint_limit::EndpointLimit;
use crate::endpoint_limit::Kind;
use crate::endpoint_limit::Observation;
use crate::endpoint_limit::Report;

/// Time after which an endpoint that was not heard of counts as no longer brittle. A VM that sends nothing
/// there would not hear that it has recovered.
const EXPIRY: Duration = Duration::from_secs(10);

/// Time for which a rejection is reported to other VMs, and for which their reports count.
pub(crate) const REJECTION_REPORT_PERIOD: Duration = Duration::from_millis(500);

/// The endpoint and this VM's part of it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BrittleState {
    /// The requests that the endpoint may turn away, with the token bucket of a VM that has no slot there.
    pub announced: EndpointLimit,
    room: Room,
    /// Differs between VMs, from 0 to 1.
    phase: f64,
    /// When the endpoint last turned a request of this VM away.
    rejected: Option<Moment>,
}

impl BrittleState {
    /// Applies an observation. `before` is the state so far, and `share` computes this VM's share.
    pub fn new(
        observation: Observation,
        before: Option<Self>,
        share: impl Fn(RateLimit) -> Share,
        now: Moment,
    ) -> Self {
        let known = before.filter(|before| before.is_brittle(now));
        let bucket = known.and_then(|known| known.announced.throttle());
        let rate = |limit| share(limit).rate;
        let mut announced = EndpointLimit::new(observation, bucket, rate, now);
        let share = observation.limit.map_or(Share::default(), share);
        let Some(known) = known else {
            announced.restart(share.phase, now);
            return Self {
                announced,
                room: Room::new(share, now),
                phase: share.phase,
                rejected: None,
            };
        };
        let mut room = known.room;
        room.set_share(share, now);
        Self {
            announced,
            room,
            phase: share.phase,
            rejected: known.rejected,
        }
    }

    /// Returns whether the endpoint is still brittle.
    pub fn is_brittle(&self, now: Moment) -> bool {
        self.announced.limit().is_some() && now.since(self.announced.observed()) < EXPIRY
    }

    /// Sets this VM's share, after the VMs that share the endpoint have changed.
    pub fn set_share(&mut self, share: impl Fn(RateLimit) -> Share, now: Moment) {
        self.announced.set_share(|limit| share(limit).rate, now);
        if let Some(limit) = self.announced.limit() {
            self.room.set_share(share(limit), now);
        }
    }

    /// Returns the number of requests that this VM may have in flight there.
    pub fn room(&self, now: Moment) -> u32 {
        if !self.room.pause(now).is_zero() {
            return 0;
        }
        self.room.requests(now).max(u32::from(self.has_rate()))
    }

    /// Returns whether this VM has no slot there but a rate.
    fn has_rate(&self) -> bool {
        self.rate().is_some()
    }

    /// Returns the token bucket, where this VM has no slot.
    pub fn rate(&self) -> Option<Throttle> {
        let throttle = self.announced.throttle();
        throttle.filter(|throttle| throttle.rate() > 0.0)
    }

    /// Returns the time until this VM may send a request if it has none in flight; `None` if it may send
    /// none.
    pub fn wait(&self, now: Moment) -> Option<Duration> {
        let rate = self.rate().and_then(|throttle| throttle.wait(now));
        let wait = rate.or_else(|| self.room.wait(now));
        wait.map(|wait| wait.max(self.room.pause(now)))
    }

    /// Counts a request that is sent.
    pub fn consume(&mut self, now: Moment) {
        self.announced.consume(now);
    }

    /// Records that the endpoint turned a request of this VM away, one of `in_flight`.
    pub fn record_rejection(&mut self, in_flight: u32, now: Moment) {
        self.room.record_rejection(in_flight, now);
        self.rejected = Some(now);
        self.restart(now);
    }

    /// Records that the endpoint turned a request of another VM away at `at`.
    pub fn record_peer_rejection(&mut self, at: Moment, now: Moment) {
        if self.room.record_peer_rejection(at, now) {
            self.restart(now);
        }
    }

    /// Begins anew with the rate, as the buckets of all VMs fill during the pause.
    fn restart(&mut self, now: Moment) {
        self.announced
            .restart(self.phase, now + self.room.pause(now));
    }

    /// Returns the report for other VMs.
    pub fn report(&self, endpoint: u64, now: Moment) -> Option<Report> {
        let report = self.announced.report(endpoint, Kind::Rejections, now)?;
        let age = self.rejected.map(|at| now.since(at));
        Some(Report {
            rejected: age.filter(|age| *age < REJECTION_REPORT_PERIOD),
            ..report
        })
    }
}

/// How long requests take a slot of a pool's endpoints, averaged.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HoldTime(Duration);

impl Default for HoldTime {
    fn default() -> Self {
        Self(crate::endpoint_state::INITIAL_RUN_TIME)
    }
}

impl HoldTime {
    /// Records a request that was served.
    pub fn record(&mut self, took: Duration) {
        /// Weight of what is known, against that of one request.
        const KNOWN: u32 = 7;
        self.0 = (self.0 * KNOWN + took) / (KNOWN + 1);
    }

    /// Returns the capacity of an endpoint with this many slots.
    pub const fn capacity(self, slots: u32, limit: RateLimit) -> Capacity {
        Capacity {
            slots,
            max_rejections: limit.per_second(),
            hold_time: self.0,
        }
    }
}
