//! Reports of crashes that wait to be sent to other VMs.

use std::time::Duration;

use pimento_units::Moment;

use crate::outbox::Outbox;

/// How often each report is sent, as datagrams are lost.
const REPEATS: u32 = 3;

/// Time between two sends of a report. A report to another zone goes to one VM there, which may be
/// gone; after twice this time it goes to another one.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_100);

/// Reports that wait to be sent, at most.
const MAX_PENDING: usize = 512;

/// Reports to send to the zone and to other zones.
#[derive(Debug)]
pub struct Outboxes<R> {
    zone: Outbox<R>,
    remote: Outbox<R>,
}

impl<R: Copy + PartialEq> Default for Outboxes<R> {
    fn default() -> Self {
        Self {
            zone: Outbox::new(REPEAT_INTERVAL),
            remote: Outbox::new(REPEAT_INTERVAL),
        }
    }
}

impl<R: Copy + PartialEq> Outboxes<R> {
    /// Schedules this VM's own report to all other VMs from `at` on.
    pub fn broadcast(&mut self, report: R, at: Moment) {
        add(&mut self.zone, report, REPEATS, at);
        add(&mut self.remote, report, REPEATS, at);
    }

    /// Schedules a report from another zone. It is sent once, as that zone repeats it.
    pub fn forward(&mut self, report: R, at: Moment) {
        add(&mut self.zone, report, 1, at);
    }

    /// Drops reports that another VM has made needless, unless this VM has already sent them.
    pub fn cancel(&mut self, obsolete: impl Fn(&R) -> bool) {
        self.zone.cancel(REPEATS, &obsolete);
        self.remote.cancel(REPEATS, &obsolete);
    }

    /// The reports that are due now to the zone.
    pub fn take_zone(&mut self, now: Moment) -> Vec<R> {
        self.zone.take_due(now)
    }

    /// The reports that are due now to other zones.
    pub fn take_remote(&mut self, now: Moment) -> Vec<R> {
        self.remote.take_due(now)
    }
}

/// Schedules a report unless it waits already, or too many do.
fn add<R: Copy + PartialEq>(outbox: &mut Outbox<R>, report: R, sends: u32, at: Moment) {
    if outbox.contains(&report) {
        return;
    }
    if outbox.len() >= MAX_PENDING {
        log::warn!("poison: Too many reports wait to be sent; this one is dropped.");
        return;
    }
    outbox.add(report, sends, at);
}
