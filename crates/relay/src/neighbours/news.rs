//! What there is to tell other VMs, cut into datagrams.

use super::limit::Told;
use super::message::Read;
use crate::passage::Passage;
use crate::poison::Report;
use crate::rollouts::announcement::Announcement;
use crate::rollouts::announcement::PinnedSession;

/// Prompts told in one datagram; more than these would not fit the smallest usual path.
const READS: usize = 16;

/// Sessions told in one datagram, for the same reason.
const KEPT: usize = 24;

/// Words of requests under which endpoints ended told in one datagram, likewise.
const WORDS: usize = 16;

/// What there is to tell.
#[derive(Default)]
pub struct News {
    /// Prompts that engines read.
    pub reads: Vec<Read>,
    /// Milliseconds that engines take, by their keys.
    pub waits: Vec<(u64, u32)>,
    /// Limits that endpoints named.
    pub limits: Vec<Told>,
    /// What this VM says of roll-outs.
    pub rollouts: Vec<Announcement>,
    /// Sessions that keep a version.
    pub kept: Vec<PinnedSession>,
    /// Requests under which endpoints ended.
    pub poison: Vec<Report>,
    /// Records of the log.
    pub passages: Vec<Passage>,
}

impl News {
    /// Whether there is nothing. Limits go along with what there is, and at once when they change.
    pub const fn is_empty(&self) -> bool {
        let prompts = self.reads.is_empty() && self.waits.is_empty();
        let versions = self.rollouts.is_empty() && self.kept.is_empty();
        prompts && versions && self.poison.is_empty() && self.passages.is_empty()
    }

    /// The news in parts that fit a datagram each.
    pub fn parts(&self) -> Vec<Part<'_>> {
        let mut reads = self.reads.chunks(READS);
        let mut kept = self.kept.chunks(KEPT);
        let mut poison = self.poison.chunks(WORDS);
        let mut passages = self.passages.chunks(1);
        let counts = [reads.len(), kept.len(), poison.len(), passages.len(), 1];
        let count = counts.into_iter().max().unwrap_or(1);
        let part = |place| Part {
            first: place == 0,
            last: place + 1 == count,
            reads: reads.next().unwrap_or_default(),
            kept: kept.next().unwrap_or_default(),
            poison: poison.next().unwrap_or_default(),
            passages: passages.next().unwrap_or_default(),
        };
        (0..count).map(part).collect()
    }
}

/// What goes in one datagram.
pub struct Part<'a> {
    /// Whether it is the first of the news.
    pub first: bool,
    /// Whether it is the last.
    pub last: bool,
    /// Prompts that engines read.
    pub reads: &'a [Read],
    /// Sessions that keep a version.
    pub kept: &'a [PinnedSession],
    /// Requests under which endpoints ended.
    pub poison: &'a [Report],
    /// Records of the log.
    pub passages: &'a [Passage],
}
