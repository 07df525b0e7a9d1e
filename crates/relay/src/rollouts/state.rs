//! One roll-out: its order, what this and the other VMs announced of it, and how it ended.

use std::time::Duration;

use compact_str::CompactString;
use pimento_policy::exposure;
use pimento_policy::exposure::Sent;
use pimento_policy::exposure::Transfers;
use pimento_policy::shift::Phase;
use pimento_policy::shift::Progress;
use pimento_policy::shift::Reason;
use pimento_policy::shift::Side;
use pimento_units::Moment;
use pimento_units::Offset;
use pimento_units::id;

use super::announcement::Announcement;
use super::announcement::End;
use super::announcement::NodeAnnouncement;
use super::announcement::Route;
use super::handover::Member;
use super::known_sessions::KnownSessions;
use super::known_sessions::Sighting;
use super::known_sessions::Source;
use crate::config::Exposure;
use crate::operators::ReadOrder;

/// After this long without an announcement from a VM the roll-out no longer waits for it: the VM is
/// down, or cut off from the log, in which case it admits no keys and sends no requests. It is the time of
/// two announcements, and some.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(4_500);

/// An ended roll-out is announced for this long, for VMs that don't know of the end yet.
const END_ANNOUNCED: Duration = Duration::from_secs(10);

/// The bound on requests holds this long beyond the deadline by this VM's clock, since clocks differ a little.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);

/// Failing endpoints that an announcement lists. Two from different VMs are enough to tell a bad
/// version from a single faulty endpoint.
const MAX_FAILING: usize = 8;

/// Another VM's last announcement.
#[derive(Debug, Clone)]
pub(super) struct PeerAnnouncement {
    pub node: id::Node,
    pub announcement: Announcement,
    pub received: Moment,
}

/// What there was when the share of the new version began to rise beyond that of the trial.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rise {
    /// When it began.
    pub at: Moment,
    /// Answers of the new version at any VM.
    pub answers: u32,
    /// Requests that this VM had sent.
    pub sent: u32,
}

/// A roll-out that was ordered.
#[derive(Debug)]
pub struct RolloutState {
    /// The order.
    pub order: ReadOrder,
    /// How old the order was when this VM read it, by the announcements of other VMs.
    pub(super) read_delay: Duration,
    /// Whether it is known if the roll-out has ended.
    pub(super) resolved: bool,
    /// Whether the operators' status could not be read to learn that.
    pub(super) status_out_of_reach: bool,
    /// How the roll-out ended, and when this VM knew of it.
    pub(super) ended: Option<(End, Moment)>,
    /// Why the new version counts as bad; none if it doesn't.
    pub(super) bad: Option<CompactString>,
    /// Requests that this VM sent.
    pub(super) sent: Sent,
    /// The most VMs that were known since the order was read.
    pub(super) vms: usize,
    /// The phase that was logged last.
    pub(super) logged_phase: Option<&'static str>,
    /// What there was when this VM found that the trial is over; none before.
    pub(super) rise: Option<Rise>,
    /// This VM's evidence, sorted by name.
    pub(super) routes: Vec<Route>,
    /// Whether the new version was looked at for long enough since it was put in place.
    pub(super) watched: bool,
    /// Hashes of endpoints of the new version that failed a request of this VM, sorted.
    pub(super) failing: Vec<u64>,
    /// Sorted by node.
    pub(super) peers: Vec<PeerAnnouncement>,
    /// Sessions that the trial's share would move, and the versions that they use at any VM.
    pub(super) sessions: KnownSessions,
    /// Those that this VM saw on the old version and has not announced to VMs of an older version of this program.
    pub(super) pending_sessions: Vec<u64>,
    /// Room passed between VMs.
    pub(super) transfers: Transfers,
    /// The VMs of the group, sorted.
    pub(super) members: Vec<Member>,
    /// Requests that this VM sent, by the reason for their version; sorted.
    reasons: Vec<(Reason, u32)>,
    session_changes: SessionChanges,
}

/// Sessions that changed their version at one VM since the order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SessionChanges {
    /// From the old version to the new one.
    pub to_new: u32,
    /// From the new version back to the old one.
    pub to_old: u32,
}

/// What is to be done about a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    Wait,
    /// Report its end to the operators.
    Report(End),
}

impl RolloutState {
    /// A roll-out that begins, or that may have ended before this process started.
    #[must_use]
    pub fn new(order: ReadOrder) -> Self {
        Self {
            resolved: !order.initial,
            status_out_of_reach: false,
            order,
            read_delay: Duration::ZERO,
            ended: None,
            bad: None,
            sent: Sent { new: 0, all: 0 },
            vms: 1,
            logged_phase: None,
            rise: None,
            routes: Vec::new(),
            watched: false,
            failing: Vec::new(),
            peers: Vec::new(),
            sessions: KnownSessions::default(),
            pending_sessions: Vec::new(),
            transfers: Transfers::default(),
            members: Vec::new(),
            reasons: Vec::new(),
            session_changes: SessionChanges {
                to_new: 0,
                to_old: 0,
            },
        }
    }

    /// Records that a session in the trial's share uses a version.
    pub fn add_session(&mut self, sighting: Sighting, source: Source) {
        let new = self.sessions.add(sighting, source);
        if new && source == Source::Own && sighting.side == Side::Old {
            self.pending_sessions.push(sighting.session);
        }
    }

    /// The sessions to announce to other VMs.
    pub fn take_pending_sessions(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.pending_sessions)
    }

    /// The age of the order.
    #[must_use]
    pub fn age(&self, now: Moment) -> Duration {
        now.since(self.order.read_at) + self.read_delay
    }

    /// The new version.
    #[must_use]
    pub const fn target(&self) -> &id::Version {
        &self.order.rollout.target
    }

    /// Which of the two versions this is.
    #[must_use]
    pub fn side(&self, version: &id::Version) -> Side {
        if self.target() == version {
            Side::New
        } else {
            Side::Old
        }
    }

    /// The offset of the order in its topic.
    #[must_use]
    pub const fn offset(&self) -> Offset {
        self.order.offset
    }

    /// How it ended; none while it is under way.
    #[must_use]
    pub fn ended(&self) -> Option<End> {
        self.ended.map(|(end, _)| end)
    }

    /// Whether it is known if it has ended.
    #[must_use]
    pub const fn is_resolved(&self) -> bool {
        self.resolved
    }

    /// Whether it is known to be under way.
    #[must_use]
    pub const fn is_running(&self) -> bool {
        self.resolved && self.ended.is_none()
    }

    /// Takes it for under way unless it has ended.
    pub const fn resolve(&mut self) {
        self.resolved = true;
    }

    /// Whether the new version is known to be bad.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.bad.is_some() || self.ended() == Some(End::RolledBack)
    }

    /// How it has gone on.
    #[must_use]
    pub fn progress(&self) -> Progress {
        match self.ended() {
            Some(End::Done) => Progress::Done,
            _ if self.is_bad() => Progress::RolledBack,
            _ if self.resolved => Progress::Running,
            _ => Progress::Unknown,
        }
    }

    /// Whether it is announced to other VMs: while it is under way, and for some time after its end.
    #[must_use]
    pub fn is_announced(&self, now: Moment) -> bool {
        let ended = self.ended;
        self.resolved && ended.is_none_or(|(_, at)| now.since(at) < END_ANNOUNCED)
    }

    /// Ends it, unless it has ended.
    pub fn end(&mut self, end: End, now: Moment) {
        self.resolved = true;
        if self.ended.is_none() {
            log::info!(
                "rollout: {} to {} ended: {end:?}.",
                self.order.rollout.pool,
                self.order.rollout.target
            );
            self.ended = Some((end, now));
        }
    }

    /// Counts a request that is sent to a version.
    pub fn count_sent(&mut self, version: &id::Version) {
        let new = self.target() == version;
        self.sent.count(new);
    }

    /// Counts a request that is sent, by the reason for its version.
    pub fn count_reason(&mut self, reason: Reason) {
        match self
            .reasons
            .binary_search_by_key(&reason, |(known, _)| *known)
        {
            Ok(place) => self.reasons[place].1 = self.reasons[place].1.saturating_add(1),
            Err(place) => self.reasons.insert(place, (reason, 1)),
        }
    }

    /// The requests that this VM sent, by the reason for their version.
    #[must_use]
    pub fn reasons(&self) -> &[(Reason, u32)] {
        &self.reasons
    }

    /// Counts a session that changed its version at this VM, and logs one that went back.
    pub fn count_session_change(&mut self, session: u64, to: &id::Version) {
        if self.target() == to {
            self.session_changes.to_new = self.session_changes.to_new.saturating_add(1);
            return;
        }
        self.session_changes.to_old = self.session_changes.to_old.saturating_add(1);
        log::info!(
            pool = self.order.rollout.pool.as_str(),
            session:% = format_args!("{session:x}"),
            version = to.as_str();
            "rollout: A session went back to the old version."
        );
    }

    /// The sessions that changed their version at this VM.
    #[must_use]
    pub const fn session_changes(&self) -> SessionChanges {
        self.session_changes
    }

    /// The requests that this VM sent since it read the order.
    #[must_use]
    pub const fn sent(&self) -> Sent {
        self.sent
    }

    /// Takes note of the number of VMs that are known, including this one.
    pub fn set_vms(&mut self, vms: usize) {
        self.vms = self.vms.max(vms);
    }

    /// This VM's bound on the requests to the new version.
    #[must_use]
    pub fn bound(&self, exposure: Exposure) -> exposure::Bound {
        let bound = if self.order.initial {
            exposure::Bound::without_slack(exposure.share)
        } else {
            exposure::Bound::new(exposure.share, exposure.slack, self.vms)
        };
        bound.with_transfers(&self.transfers)
    }

    /// Takes the order to be at least this old.
    pub(super) fn learn_age(&mut self, age: Duration, now: Moment) {
        self.read_delay += age.saturating_sub(self.age(now));
    }

    /// Whether the deadline has passed for all VMs, whenever each of them read the order.
    #[must_use]
    pub fn is_over(&self, now: Moment) -> bool {
        self.age(now) >= self.order.rollout.time_limit + DEADLINE_MARGIN
    }

    /// Takes in another VM's announcement.
    pub fn receive(&mut self, node: &id::Node, announcement: &Announcement, now: Moment) {
        if announcement.order != self.order.offset {
            return;
        }
        // Only those who know how it went on announce it.
        self.resolved = true;
        self.learn_age(Duration::from_millis(u64::from(announcement.age_ms)), now);
        if let Some(end) = announcement.ended {
            self.end(end, now);
        }
        match self.peers.binary_search_by(|p| p.node.cmp(node)) {
            // An announcement may come directly and be forwarded as well. A later one gives the order
            // a greater age, and an earlier one does not replace it.
            Ok(place) if self.peers[place].announcement.age_ms > announcement.age_ms => {}
            Ok(place) => {
                self.peers[place].announcement = announcement.clone();
                self.peers[place].received = now;
            }
            Err(place) => {
                let peer = PeerAnnouncement {
                    node: node.clone(),
                    announcement: announcement.clone(),
                    received: now,
                };
                self.peers.insert(place, peer);
            }
        }
    }

    /// This VM's announcement. `drained` is set if none of its requests is at the old version.
    #[must_use]
    pub fn announcement(&self, phase: Phase, drained: bool, now: Moment) -> Announcement {
        let age = self.age(now).as_millis();
        Announcement {
            pool: self.order.rollout.pool.clone(),
            order: self.offset(),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            routes: self.routes.clone(),
            failing: self.failing.iter().take(MAX_FAILING).copied().collect(),
            bad: self.bad.is_some(),
            drained: phase == Phase::Moved && drained,
            ended: self.ended(),
        }
    }

    /// The last announcements of the other VMs that are alive, to be forwarded.
    pub fn received_announcements(&self, now: Moment) -> impl Iterator<Item = NodeAnnouncement> {
        self.live_peers(now).map(|peer| NodeAnnouncement {
            node: peer.node.clone(),
            announcement: peer.announcement.clone(),
        })
    }

    pub(super) fn live_peers(&self, now: Moment) -> impl Iterator<Item = &PeerAnnouncement> {
        let live = move |peer: &&PeerAnnouncement| now.since(peer.received) < ANNOUNCEMENT_TIMEOUT;
        self.peers.iter().filter(live)
    }

    /// How many of the other VMs that are alive come before `own` by name.
    #[must_use]
    pub fn rank(&self, own: &id::Node, now: Moment) -> u32 {
        let before = self.live_peers(now).filter(|peer| peer.node < *own).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }
}
