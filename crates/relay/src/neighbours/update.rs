//! What a VM sends to others at one time, split into datagrams.

use super::limit::LimitMessage;
use super::message::Prefill;
use crate::bundle::Bundle;
use crate::poison::Report;
use crate::rollouts::announcement::Announcement;
use crate::rollouts::announcement::PinnedSession;

/// Prompts in one datagram. With more it would not fit the smallest path MTU in common use.
const MAX_PREFILLS: usize = 16;

/// Sessions in one datagram, for the same reason.
const MAX_SESSIONS: usize = 24;

/// Reports of requests that crash endpoints in one datagram, for the same reason.
const MAX_REPORTS: usize = 16;

/// What there is to send.
#[derive(Default)]
pub struct Update {
    /// Prompts that engines prefilled.
    pub prefills: Vec<Prefill>,
    /// The time that engines still need for this VM's prompts, in milliseconds by engine key.
    pub waits: Vec<(u64, u32)>,
    /// Limits that endpoints named.
    pub limits: Vec<LimitMessage>,
    /// This VM's announcements about roll-outs.
    pub rollouts: Vec<Announcement>,
    /// Sessions that stay on the old version during a roll-out's trial.
    pub pinned_sessions: Vec<PinnedSession>,
    /// Reports of requests that crash endpoints.
    pub poison: Vec<Report>,
    /// Records of the log.
    pub passages: Vec<Bundle>,
}

impl Update {
    /// Whether there is nothing to send. Limits don't count: they are sent along with anything else, and
    /// a change of a limit sends them at once.
    pub const fn is_empty(&self) -> bool {
        let prompts = self.prefills.is_empty() && self.waits.is_empty();
        let versions = self.rollouts.is_empty() && self.pinned_sessions.is_empty();
        prompts && versions && self.poison.is_empty() && self.passages.is_empty()
    }

    /// The update in chunks that each fit a datagram; at least one.
    pub fn chunks(&self) -> Vec<Chunk<'_>> {
        let mut prefills = self.prefills.chunks(MAX_PREFILLS);
        let mut pinned_sessions = self.pinned_sessions.chunks(MAX_SESSIONS);
        let mut poison = self.poison.chunks(MAX_REPORTS);
        let mut passages = self.passages.chunks(1);
        let counts = [
            prefills.len(),
            pinned_sessions.len(),
            poison.len(),
            passages.len(),
            1,
        ];
        let count = counts.into_iter().max().unwrap_or(1);
        let chunk = |place| Chunk {
            first: place == 0,
            last: place + 1 == count,
            prefills: prefills.next().unwrap_or_default(),
            pinned_sessions: pinned_sessions.next().unwrap_or_default(),
            poison: poison.next().unwrap_or_default(),
            passages: passages.next().unwrap_or_default(),
        };
        (0..count).map(chunk).collect()
    }
}

/// The part of an update that goes in one datagram. Waits go in every datagram, announcements and limits
/// in the first.
pub struct Chunk<'a> {
    /// Whether it is the first of the update.
    pub first: bool,
    /// Whether it is the last.
    pub last: bool,
    /// Prompts that engines prefilled.
    pub prefills: &'a [Prefill],
    /// Sessions that stay on the old version during a roll-out's trial.
    pub pinned_sessions: &'a [PinnedSession],
    /// Reports of requests that crash endpoints.
    pub poison: &'a [Report],
    /// Records of the log.
    pub passages: &'a [Bundle],
}
