//! What a VM sends to others at one time, split into datagrams.

use std::cmp::Reverse;

use super::limit::Limit;
use super::loan::Want;
use super::message::Prefill;
use super::message::RestMessage;
use super::message::ZoneSummary;
use super::speeds::SpeedMessage;
use crate::bundle::Bundle;
use crate::poison::PartMessage;
use crate::poison::Report;
use crate::rollouts::announcement::NodeAnnouncement;
use crate::rollouts::announcement::PinnedSession;
use crate::rollouts::handover::Handover;

/// Prompts in one datagram. With more it would not fit the smallest path MTU in common use.
const MAX_PREFILLS: usize = 16;

/// Sessions in one datagram, for the same reason.
const MAX_SESSIONS: usize = 24;

/// Reports of requests, and of prompt parts, that crash endpoints in one datagram, for the same reason.
const MAX_REPORTS: usize = 16;

/// Announcements about roll-outs in one datagram, for the same reason.
const MAX_ANNOUNCEMENTS: usize = 3;

/// Handovers of roll-outs in one datagram, for the same reason.
const MAX_HANDOVERS: usize = 2;

/// Limits of endpoints in one datagram, for the same reason.
const MAX_LIMITS: usize = 32;

/// Engines in a report of waits, which goes in every datagram. A VM has more of them only while it is
/// overloaded; the longest waits are reported then.
const MAX_WAITS: usize = 48;

/// What there is to send.
#[derive(Default)]
pub struct Update {
    /// Prompts that engines prefilled.
    pub prefills: Vec<Prefill>,
    /// The time that engines still need for this VM's prompts, in milliseconds by engine key.
    pub waits: Vec<(u64, u32)>,
    /// Limits that endpoints named.
    pub limits: Vec<Limit>,
    /// Announcements about roll-outs.
    pub rollouts: Vec<NodeAnnouncement>,
    /// Sessions that stay on the old version during a roll-out's trial.
    pub pinned_sessions: Vec<PinnedSession>,
    /// What VMs hand to each other of roll-outs.
    pub handovers: Vec<Handover>,
    /// Reports of requests that crash endpoints.
    pub poison: Vec<Report>,
    /// Reports of prompt parts that crash endpoints.
    pub poison_parts: Vec<PartMessage>,
    /// What this VM knows of the zones.
    pub zones: Vec<ZoneSummary>,
    /// Records of the log.
    pub bundles: Vec<Bundle>,
    /// What this VM wants of what endpoints take from all VMs together.
    pub wants: Vec<Want>,
    /// This VM's samples of engines' speeds.
    pub speeds: Vec<SpeedMessage>,
    /// Endpoints that rest, for the VM through which they were reached.
    pub rests: Vec<RestMessage>,
}

impl Update {
    /// Whether there is nothing to send. Limits don't count: they are sent along with anything else, and
    /// a change of a limit sends them at once.
    pub fn is_empty(&self) -> bool {
        let prompts = self.prefills.is_empty() && self.waits.is_empty();
        let quiet = self.handovers.iter().all(Handover::is_quiet);
        let sessions = self.pinned_sessions.is_empty() && quiet;
        let versions = self.rollouts.is_empty() && sessions;
        let poison = self.poison.is_empty() && self.poison_parts.is_empty();
        let endpoints = self.wants.is_empty() && self.speeds.is_empty();
        prompts && versions && poison && self.bundles.is_empty() && endpoints
    }

    /// The waits that are reported: the longest ones if there are many.
    pub fn reported_waits(&self) -> Vec<(u64, u32)> {
        let mut waits = self.waits.clone();
        if waits.len() > MAX_WAITS {
            waits.sort_unstable_by_key(|(_, wait)| Reverse(*wait));
            waits.truncate(MAX_WAITS);
        }
        waits
    }

    /// The update in parts that each fit a datagram; at least one.
    pub fn split(&self) -> Vec<UpdatePart<'_>> {
        let mut prefills = self.prefills.chunks(MAX_PREFILLS);
        let mut pinned_sessions = self.pinned_sessions.chunks(MAX_SESSIONS);
        let mut poison = self.poison.chunks(MAX_REPORTS);
        let mut poison_parts = self.poison_parts.chunks(MAX_REPORTS);
        let mut rollouts = self.rollouts.chunks(MAX_ANNOUNCEMENTS);
        let mut limits = self.limits.chunks(MAX_LIMITS);
        let mut bundles = self.bundles.chunks(1);
        let mut handovers = self.handovers.chunks(MAX_HANDOVERS);
        let counts = [
            prefills.len(),
            pinned_sessions.len(),
            poison.len(),
            poison_parts.len(),
            rollouts.len(),
            limits.len(),
            bundles.len(),
            handovers.len(),
            1,
        ];
        let count = counts.into_iter().max().unwrap_or(1);
        let part = |place| UpdatePart {
            first: place == 0,
            last: place + 1 == count,
            prefills: prefills.next().unwrap_or_default(),
            pinned_sessions: pinned_sessions.next().unwrap_or_default(),
            poison: poison.next().unwrap_or_default(),
            poison_parts: poison_parts.next().unwrap_or_default(),
            rollouts: rollouts.next().unwrap_or_default(),
            limits: limits.next().unwrap_or_default(),
            bundles: bundles.next().unwrap_or_default(),
            handovers: handovers.next().unwrap_or_default(),
        };
        (0..count).map(part).collect()
    }
}

/// The part of an update that goes in one datagram, beside the waits, which go in every one.
pub struct UpdatePart<'a> {
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
    /// Reports of prompt parts that crash endpoints.
    pub poison_parts: &'a [PartMessage],
    /// Announcements about roll-outs.
    pub rollouts: &'a [NodeAnnouncement],
    /// Limits that endpoints named.
    pub limits: &'a [Limit],
    /// Records of the log.
    pub bundles: &'a [Bundle],
    /// What VMs hand to each other of roll-outs.
    pub handovers: &'a [Handover],
}
