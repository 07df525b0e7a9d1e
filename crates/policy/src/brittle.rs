//! Endpoints that fall over when they turn too many requests away.
//!
//! Such an endpoint says how many requests it may turn away in a second, from all VMs together. Each
//! VM sees only those that it sent itself: if each went on until it is turned away, a full endpoint
//! would turn away as many requests as there are VMs, fall over, and leave its load to the next one.
//!
//! The VMs of the endpoint's zone therefore divide its slots. A request within a VM's part finds room
//! as a rule. An endpoint may have less room than slots, because running requests fill its memory. The
//! VM whose request it turns away tells the others at once: all of them send nothing there for a
//! moment, and use a smaller part of their shares. Time makes the parts larger again, so slowly that all VMs
//! together risk a part of what the endpoint may turn away (additive increase, multiplicative
//! decrease, as in the congestion control of TCP).
//!
//! Where an endpoint has far fewer slots than VMs, nearly all of them would have none. Each then has one
//! request in flight at most, and a share of a rate at which the slots are seldom all taken.

use std::time::Duration;

use pimento_units::Moment;

use crate::number;
use crate::throttle;

/// Share of the requests that an endpoint may turn away that growing parts may risk.
const RISK_SHARE: f64 = 0.25;

/// Share of the rate that the slots could serve that VMs without a slot of their own use together. With
/// six slots, one request in seventy finds all of them taken (Erlang's loss formula).
const RATE_SHARE: f64 = 0.35;

/// VMs for each slot above which they share a rate. Below, most VMs have slots at some of a service's
/// endpoints.
const MAX_VMS_PER_SLOT: u32 = 2;

/// Factor by which the parts of all VMs become smaller with a request that is turned away.
const DECREASE: f64 = 0.75;

/// Time for which no VM sends anything after a request was turned away, and for which the parts do not
/// become smaller again. Meanwhile all VMs learn of it, and requests end.
const PAUSE: Duration = Duration::from_millis(250);

/// An endpoint as the VMs divide it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Requests that it may turn away in a second.
    pub max_rejections: f64,
    /// How long a request takes a slot.
    pub hold_time: Duration,
}

/// What one VM may use of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Share {
    /// Requests in flight.
    pub slots: u32,
    /// Requests per second, where the VMs share a rate and not slots.
    pub rate: f64,
    /// Requests in flight by which the VM's part may grow in a second after one was turned away.
    pub growth: f64,
    /// Differs between VMs, from 0 to 1. Parts that all grow alike would all allow one more request at the
    /// same moment.
    pub phase: f64,
}

impl Share {
    /// Divides an endpoint's capacity among `participants`, hashes of the names of the VMs that may send
    /// there; if there are none, this VM has all. The slots of all VMs that know the same participants add
    /// up to the endpoint's.
    #[must_use]
    pub fn new(capacity: Capacity, endpoint: u64, own: u64, participants: &[u64]) -> Self {
        let Capacity {
            slots,
            max_rejections,
            hold_time,
        } = capacity;
        let vms = u32::try_from(participants.len()).unwrap_or(u32::MAX).max(1);
        let alone = participants.is_empty().then_some(0);
        let rank = alone.or_else(|| throttle::rank(endpoint, own, participants));
        let Some(rank) = rank else {
            return Self::default();
        };
        let growth = max_rejections * RISK_SHARE / f64::from(vms);
        let phase = number::unit_interval(number::mix(own, endpoint));
        if vms > slots.saturating_mul(MAX_VMS_PER_SLOT) {
            let served = f64::from(slots) / hold_time.as_secs_f64().max(f64::EPSILON);
            return Self {
                slots: 0,
                rate: served * RATE_SHARE / f64::from(vms),
                growth,
                phase,
            };
        }
        Self {
            slots: slots / vms + u32::from(rank < slots % vms),
            rate: 0.0,
            growth,
            phase,
        }
    }
}

/// The requests that a VM may have in flight at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Room {
    share: Share,
    /// The part of the share that is used, at `updated`.
    used: f64,
    updated: Moment,
    /// Until when nothing is sent.
    paused_until: Moment,
}

impl Room {
    /// The whole of a VM's share.
    #[must_use]
    pub fn new(share: Share, now: Moment) -> Self {
        Self {
            share,
            used: f64::from(share.slots),
            updated: now,
            paused_until: now,
        }
    }

    /// Changes the VM's share. A part that had become smaller stays so.
    pub fn set_share(&mut self, share: Share, now: Moment) {
        let whole = self.used(now) >= f64::from(self.share.slots);
        let used = if whole {
            f64::from(share.slots)
        } else {
            self.used(now).min(f64::from(share.slots))
        };
        *self = Self {
            share,
            used,
            updated: now,
            ..*self
        };
    }

    fn used(&self, now: Moment) -> f64 {
        let grown = now.since(self.updated).as_secs_f64() * self.share.growth;
        (self.used + grown).min(f64::from(self.share.slots))
    }

    /// The number of requests.
    #[must_use]
    pub fn requests(&self, now: Moment) -> u32 {
        let requests = number::floor_u32(self.used(now) + self.share.phase);
        requests.min(self.share.slots)
    }

    /// The rest of the time for which nothing is sent.
    #[must_use]
    pub const fn pause(&self, now: Moment) -> Duration {
        self.paused_until.since(now)
    }

    /// Returns the time until this VM may have a request in flight; `None` if it has no slot.
    #[must_use]
    pub fn wait(&self, now: Moment) -> Option<Duration> {
        let missing = (1.0 - self.share.phase - self.used(now)).max(0.0);
        let wait = (self.share.slots > 0).then(|| missing / self.share.growth);
        wait.map(number::seconds)
    }

    /// Records that the endpoint turned a request of this VM away while `in_flight` were in flight, this
    /// one included.
    pub fn record_rejection(&mut self, in_flight: u32, now: Moment) {
        let running = f64::from(in_flight.saturating_sub(1));
        let fits = self.used(now).min(running);
        // All VMs have made their parts smaller already if nothing is sent at present.
        let factor = if self.pause(now).is_zero() {
            DECREASE
        } else {
            1.0
        };
        self.shrink(fits * factor, now);
    }

    /// Records that the endpoint turned a request of another VM away at `at`. Returns false if nothing was
    /// sent since the last one, so that it says nothing new.
    pub fn record_peer_rejection(&mut self, at: Moment, now: Moment) -> bool {
        let new = at > self.paused_until;
        if new {
            self.shrink(self.used(now) * DECREASE, now);
        }
        new
    }

    fn shrink(&mut self, used: f64, now: Moment) {
        self.used = used;
        self.updated = now;
        self.paused_until = now + PAUSE;
    }
}
