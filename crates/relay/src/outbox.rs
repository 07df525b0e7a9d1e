//! Reports that wait to be sent to other VMs, several times each, as datagrams are lost.

use std::time::Duration;

use pimento_units::Moment;

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
pub struct Outbox<R> {
    pending: Vec<Pending<R>>,
    /// Time between two sends of a report.
    interval: Duration,
}

impl<R: Copy + PartialEq> Outbox<R> {
    /// An empty outbox. Each report is sent again after `interval`.
    #[must_use]
    pub const fn new(interval: Duration) -> Self {
        Self {
            pending: Vec::new(),
            interval,
        }
    }

    /// The number of reports that wait.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether a report waits.
    #[must_use]
    pub fn contains(&self, report: &R) -> bool {
        self.pending.iter().any(|pending| pending.report == *report)
    }

    /// Schedules a report for `sends` sends from `at` on.
    pub fn add(&mut self, report: R, sends: u32, at: Moment) {
        self.pending.push(Pending {
            report,
            at,
            left: sends,
        });
    }

    /// Drops obsolete reports that have at least `sends` sends left.
    pub fn cancel(&mut self, sends: u32, obsolete: impl Fn(&R) -> bool) {
        self.pending
            .retain(|pending| !obsolete(&pending.report) || pending.left < sends);
    }

    /// Takes the reports that are due.
    pub fn take_due(&mut self, now: Moment) -> Vec<R> {
        let mut reports = Vec::new();
        for pending in self.pending.iter_mut().filter(|pending| pending.at <= now) {
            reports.push(pending.report);
            pending.left -= 1;
            pending.at = now + self.interval;
        }
        self.pending.retain(|pending| pending.left > 0);
        reports
    }
}
