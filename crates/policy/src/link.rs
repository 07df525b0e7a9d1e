//! Load of a VM's own link, from the bytes that its connections carry.
//!
//! A link that is full delays all that passes it. What waits for its way out is known, because this VM wrote
//! it: it is modelled as a queue that the bandwidth drains. What waits for its way in is not, since only
//! bytes that have arrived are seen; that way counts as full once it carries nearly its bandwidth.
//!
//! Load it answers: more callers than the link carries come to one VM. Without it, requests that end too late
//! take the place of others, and the log and all endpoints seem to be out of reach, so that the VM refuses
//! even what it has carried. Here it reads fewer requests at a time; each that it doesn't read costs a packet.

use std::time::Duration;

use pimento_units::Bandwidth;
use pimento_units::Moment;

use crate::number;

/// Half-life of the measured use. Shorter bursts are absorbed by queues.
const HALF_LIFE: Duration = Duration::from_millis(300);

/// The shortest time over which the use is measured.
const MIN_INTERVAL: Duration = Duration::from_millis(20);

/// Share of the bandwidth from which one way counts as full. The rest is for the headers of packets and
/// for what is not counted.
const FULL: f64 = 0.8;

/// Share of the bandwidth from which the number of requests that are received at a time is limited. It is below
/// [`FULL`], so that a burst doesn't fill the link before it is noticed.
const BUSY: f64 = 0.5;

/// Time that the requests take on the way in which are received at a time, if it carries nothing else, and the
/// assumed size of each, in bytes.
const RECEIVE_TIME: Duration = Duration::from_millis(50);
const REQUEST_BYTES: f64 = 8_192.0;

/// The fewest requests that are received at a time while the link isn't full. Some callers send slowly.
const MIN_RECEIVING: usize = 4;

/// Wait of written bytes from which the way out counts as full, whatever share of it was used before. Callers of
/// streams notice events that are late by little more.
const MAX_SEND_DELAY: Duration = Duration::from_millis(50);

/// Bytes that connections have carried each way since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// Bytes received.
    pub received: u64,
    /// Bytes sent.
    pub sent: u64,
}

/// How much of a link is used, each way.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Share of the bandwidth that received bytes take.
    pub received: f64,
    /// Share of the bandwidth that sent bytes take.
    pub sent: f64,
    /// Time in which what was written so far will have left.
    pub send_delay: Duration,
}

impl Load {
    /// Whether the way in is full.
    #[must_use]
    pub fn is_receiving_full(&self) -> bool {
        self.received >= FULL
    }

    /// Whether the way out is full.
    #[must_use]
    pub fn is_sending_full(&self) -> bool {
        self.sent >= FULL || self.send_delay >= MAX_SEND_DELAY
    }

    /// Whether one of the two ways is full.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.is_receiving_full() || self.is_sending_full()
    }
}

/// A VM's own link.
#[derive(Debug, Clone)]
pub struct Link {
    bandwidth: Bandwidth,
    totals: Totals,
    measured: Moment,
    load: Load,
    /// Written bytes that have not left yet.
    queued: f64,
}

impl Link {
    /// An idle link.
    #[must_use]
    pub fn new(bandwidth: Bandwidth, now: Moment) -> Self {
        Self {
            bandwidth,
            totals: Totals::default(),
            measured: now,
            load: Load::default(),
            queued: 0.0,
        }
    }

    /// Updates the load by the bytes carried until now, and returns it.
    pub fn measure(&mut self, totals: Totals, now: Moment) -> Load {
        let interval = now.since(self.measured);
        if interval < MIN_INTERVAL {
            return self.load;
        }
        let received = number::float(totals.received.saturating_sub(self.totals.received));
        let sent = number::float(totals.sent.saturating_sub(self.totals.sent));
        let capacity = self.bandwidth.bytes_in(interval);
        let kept = number::decay(interval, HALF_LIFE);
        let mix = |before: f64, bytes: f64| before.mul_add(kept, (1.0 - kept) * bytes / capacity);
        self.queued = (self.queued + sent - capacity).max(0.0);
        self.load = Load {
            received: mix(self.load.received, received),
            sent: mix(self.load.sent, sent),
            send_delay: number::seconds(self.queued / self.bandwidth.bytes_per_second()),
        };
        self.totals = totals;
        self.measured = now;
        self.load
    }

    /// How many requests may be received at a time, as last measured; any number while both ways have room. At a full
    /// link it is one: each further one would delay those that are being answered.
    #[must_use]
    pub fn max_receiving(&self) -> Option<usize> {
        if self.load.is_full() {
            return Some(1);
        }
        let busy = self.load.received.max(self.load.sent) >= BUSY;
        busy.then(|| receiving(self.bandwidth))
    }
}

/// How many requests a link receives in [`RECEIVE_TIME`].
fn receiving(bandwidth: Bandwidth) -> usize {
    let requests = number::floor_u32(bandwidth.bytes_in(RECEIVE_TIME) / REQUEST_BYTES);
    usize::try_from(requests)
        .unwrap_or(usize::MAX)
        .max(MIN_RECEIVING)
}

/// Connections that may wait to be accepted at a VM with this bandwidth, at most `max`. Their requests are on the way
/// in already, so that they take no longer together than those that are received.
#[must_use]
pub fn backlog(bandwidth: Option<Bandwidth>, max: u32) -> u32 {
    let waiting = bandwidth.map(receiving);
    let waiting = waiting.and_then(|waiting| u32::try_from(waiting).ok());
    waiting.unwrap_or(max).min(max)
}
