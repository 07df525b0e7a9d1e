//! Reports between entry VMs of requests that crash endpoints.

use std::time::Duration;

use pimento_policy::poison::Crash;
use pimento_units::Digest;
use pimento_units::Moment;
use serde::Deserialize;
use serde::Serialize;

/// How often each report is sent, as datagrams are lost.
const REPEATS: u32 = 3;

/// Time between two sends of a report. A report to another zone goes to one VM there, which may be
/// gone; after twice this time it goes to another one.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_100);

/// Reports that wait to be sent, at most.
const MAX_PENDING: usize = 512;

/// A report to another VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// An endpoint crashed while the request ran there.
    Crashed {
        /// The request.
        digest: Digest,
        /// Hash of the endpoint's id.
        endpoint: u64,
        /// When the incarnation that crashed started, by the endpoint's clock.
        life: Option<u64>,
    },
    /// The request got a complete answer.
    Answered {
        /// The request.
        digest: Digest,
    },
}

impl Report {
    /// A report that an endpoint crashed while the request ran there.
    #[must_use]
    pub const fn crashed(digest: Digest, crash: Crash) -> Self {
        Self::Crashed {
            digest,
            endpoint: crash.endpoint,
            life: crash.incarnation,
        }
    }
}

/// A report that waits for its next send.
#[derive(Debug)]
struct Pending {
    report: Report,
    at: Moment,
    /// Sends that are left.
    left: u32,
}

/// Reports to send.
#[derive(Debug, Default)]
pub struct Outbox {
    pending: Vec<Pending>,
}

impl Outbox {
    /// Schedules this VM's own report from `at` on.
    pub fn push(&mut self, report: Report, at: Moment) {
        self.add(report, REPEATS, at);
    }

    /// Schedules a report from another zone. It is sent once, as that zone repeats it.
    pub fn forward(&mut self, report: Report, at: Moment) {
        self.add(report, 1, at);
    }

    /// Drops a report that another VM has sent, unless this VM has already sent it.
    pub fn cancel(&mut self, report: Report) {
        self.pending
            .retain(|pending| pending.report != report || pending.left < REPEATS);
    }

    fn add(&mut self, report: Report, left: u32, at: Moment) {
        if self.pending.iter().any(|pending| pending.report == report) {
            return;
        }
        if self.pending.len() >= MAX_PENDING {
            log::warn!("poison: Too many reports wait to be sent; this one is dropped.");
            return;
        }
        self.pending.push(Pending { report, at, left });
    }

    /// The reports that are due now.
    pub fn take_due(&mut self, now: Moment) -> Vec<Report> {
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
