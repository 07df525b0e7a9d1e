//! Reports between entry VMs of prompt parts that crash endpoints.

use std::time::Duration;

use pimento_policy::poison::Crash;
use pimento_policy::poison::parts::Id;
use pimento_policy::poison::parts::Suspect;
use pimento_units::Moment;
use serde::Deserialize;
use serde::Serialize;

/// A report to other VMs, by this VM's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartReport {
    /// An endpoint crashed while it ran a prompt with the part.
    Crashed {
        /// The crash.
        crash: Crash,
        /// When its connections broke.
        at: Moment,
        /// The part.
        suspect: Suspect,
    },
    /// A complete answer to a prompt with the part began.
    Sound {
        /// The part.
        id: Id,
        /// When the answer began.
        began: Moment,
    },
}

/// A report as it is sent. VMs' clocks differ, so it holds ages instead of moments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartMessage {
    /// An endpoint crashed while it ran a prompt with the part.
    Crashed {
        /// Hash of the endpoint's id.
        endpoint: u64,
        /// When the incarnation that crashed started, by the endpoint's clock.
        incarnation: Option<u64>,
        /// Milliseconds since its connections broke.
        age_ms: u32,
        /// The part.
        part: u64,
        /// Whether it is the prompt's first part.
        leads: bool,
        /// Whether the endpoint had begun to write the answer.
        begun: bool,
        /// Milliseconds since the answer began or the request was sent.
        since_ms: u32,
    },
    /// A complete answer to a prompt with the part began.
    Sound {
        /// The part.
        part: u64,
        /// Milliseconds since the answer began.
        age_ms: u32,
    },
}

/// The age of a moment in milliseconds.
fn age_ms(moment: Moment, now: Moment) -> u32 {
    u32::try_from(now.since(moment).as_millis()).unwrap_or(u32::MAX)
}

fn moment(age_ms: u32, now: Moment) -> Moment {
    now.before(Duration::from_millis(u64::from(age_ms)))
}

impl PartReport {
    /// The report as it is sent at `now`.
    #[must_use]
    pub fn encode(&self, now: Moment) -> PartMessage {
        match *self {
            Self::Crashed { crash, at, suspect } => PartMessage::Crashed {
                endpoint: crash.endpoint,
                incarnation: crash.incarnation,
                age_ms: age_ms(at, now),
                part: suspect.id.0,
                leads: suspect.leads,
                begun: suspect.begun,
                since_ms: age_ms(suspect.since, now),
            },
            Self::Sound { id, began } => PartMessage::Sound {
                part: id.0,
                age_ms: age_ms(began, now),
            },
        }
    }
}

impl PartMessage {
    /// The report as it is received at `now`.
    #[must_use]
    pub fn decode(&self, now: Moment) -> PartReport {
        match *self {
            Self::Crashed {
                endpoint,
                incarnation,
                age_ms,
                part,
                leads,
                begun,
                since_ms,
            } => PartReport::Crashed {
                crash: Crash {
                    endpoint,
                    incarnation,
                },
                at: moment(age_ms, now),
                suspect: Suspect {
                    id: Id(part),
                    leads,
                    begun,
                    since: moment(since_ms, now),
                },
            },
            Self::Sound { part, age_ms } => PartReport::Sound {
                id: Id(part),
                began: moment(age_ms, now),
            },
        }
    }
}
