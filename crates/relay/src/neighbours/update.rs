//! What there is to tell other VMs, cut into datagrams.

use super::limit::LimitMessage;
use super::message::Prefill;
use crate::passage::Passage;
use crate::poison::Report;
use crate::rollouts::announcement::Announcement;
use crate::rollouts::announcement::PinnedSession;

/// Prompts told in one datagram; more than these would not fit the smallest usual path.
const MAX_PREFILLS: usize = 16;

/// Sessions told in one datagram, for the same reason.
const MAX_SESSIONS: usize = 24;

/// Words of requests under which endpoints ended told in one datagram, likewise.
const MAX_REPORTS: usize = 16;

/// What there is to tell.
#[derive(Default)]
pub struct Update {
    /// Prompts that engines read.
    pub prefills: Vec<Prefill>,
    /// Milliseconds that engines take, by their keys.
    pub waits: Vec<(u64, u32)>,
    /// Limits that endpoints named.
    pub limits: Vec<LimitMessage>,
    /// What this VM says of roll-outs.
    pub rollouts: Vec<Announcement>,
    /// Sessions that keep a version.
    pub pinned_sessions: Vec<PinnedSession>,
    /// Requests under which endpoints ended.
    pub poison: Vec<Report>,
    /// Records of the log.
    pub passages: Vec<Passage>,
}

impl Update {
    /// Whether there is nothing. Limits go along with what there is, and at once when they change.
    pub const fn is_empty(&self) -> bool {
        let prompts = self.prefills.is_empty() && self.waits.is_empty();
        let versions = self.rollouts.is_empty() && self.pinned_sessions.is_empty();
        prompts && versions && self.poison.is_empty() && self.passages.is_empty()
    }

    /// The news in parts that fit a datagram each.
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
        let part = |place| Chunk {
            first: place == 0,
            last: place + 1 == count,
            prefills: prefills.next().unwrap_or_default(),
            pinned_sessions: pinned_sessions.next().unwrap_or_default(),
            poison: poison.next().unwrap_or_default(),
            passages: passages.next().unwrap_or_default(),
        };
        (0..count).map(part).collect()
    }
}

/// What goes in one datagram.
pub struct Chunk<'a> {
    /// Whether it is the first of the news.
    pub first: bool,
    /// Whether it is the last.
    pub last: bool,
    /// Prompts that engines read.
    pub prefills: &'a [Prefill],
    /// Sessions that keep a version.
    pub pinned_sessions: &'a [PinnedSession],
    /// Requests under which endpoints ended.
    pub poison: &'a [Report],
    /// Records of the log.
    pub passages: &'a [Passage],
}
