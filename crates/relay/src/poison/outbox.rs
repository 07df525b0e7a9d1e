//! Reports that wait to be sent to other VMs.

use std::time::Duration;

use pimento_units::Moment;

/// How often each report is sent, as datagrams are lost.
const REPEATS: u32 = 3;

/// Time between two sends of a report. A report to another zone goes to one VM there, which may be
/// gone; after twice this time it goes to another one.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_100);

/// Reports that wait to be sent, at most.
const MAX_PENDING: usize = 512;

/// A report that waits for its next send.
#[derive(Debug)]
struct Pending<R> {
    report: R,
    at: Moment,
    /// Sends that are left.
    left: u32,
}

/// Reports to send to one audience.
#[derive(Debug)]
struct Outbox<R> {
    pending: Vec<Pending<R>>,
}

impl<R> Default for Outbox<R> {
    fn default() -> Self {
        Self {
            pending: Vec::new(),
        }
    }
}

impl<R: Copy + PartialEq> Outbox<R> {
    fn add(&mut self, report: R, left: u32, at: Moment) {
        if self.pending.iter().any(|pending| pending.report == report) {
            return;
        }
        if self.pending.len() >= MAX_PENDING {
            log::warn!("poison: Too many reports wait to be sent; this one is dropped.");
            return;
        }
        self.pending.push(Pending { report, at, left });
    }

    fn cancel(&mut self, obsolete: impl Fn(&R) -> bool) {
        self.pending
            .retain(|pending| !obsolete(&pending.report) || pending.left < REPEATS);
    }

    fn take_due(&mut self, now: Moment) -> Vec<R> {
        let mut reports = Vec::new();
        for pending in self.pending.iter_mut().filter(|pending| pending.at <= now) {
            reports.push(pending.report);
            pending.left -= 1;
            pending.at = now + REPEAT_INTERVAL;
        }
        self.pending.retain(|pending| pending.left > 0);
        reports
    }
}

/// Reports to send to the zone and to other zones.
#[derive(Debug)]
pub struct Outboxes<R> {
    zone: Outbox<R>,
    remote: Outbox<R>,
}

impl<R> Default for Outboxes<R> {
    fn default() -> Self {
        Self {
            zone: Outbox::default(),
            remote: Outbox::default(),
        }
    }
}

impl<R: Copy + PartialEq> Outboxes<R> {
    /// Schedules this VM's own report to all other VMs from `at` on.
    pub fn broadcast(&mut self, report: R, at: Moment) {
        self.zone.add(report, REPEATS, at);
        self.remote.add(report, REPEATS, at);
    }

    /// Schedules a report from another zone. It is sent once, as that zone repeats it.
    pub fn forward(&mut self, report: R, at: Moment) {
        self.zone.add(report, 1, at);
    }

    /// Drops reports that another VM has made needless, unless this VM has already sent them.
    pub fn cancel(&mut self, obsolete: impl Fn(&R) -> bool) {
        self.zone.cancel(&obsolete);
        self.remote.cancel(&obsolete);
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
