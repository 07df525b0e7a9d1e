//! What VMs hand to each other of a roll-out beside the evidence: which sessions use which version, and room
//! within the bound on requests.
//!
//! A VM that starts knows none of this, and what it doesn't know it must not take for "no". It asks until a VM
//! that knows has answered with all sessions, the age of the order and, if it has ended, the end; meanwhile it
//! is not ready. Sessions are told several times and sums of room in each datagram, so that a lost one is made
//! up for.

use std::time::Duration;

use pimento_policy::exposure::Room;
use pimento_policy::shift::Side;
use pimento_units::Moment;
use pimento_units::Offset;
use serde::Deserialize;
use serde::Serialize;

use super::Rollouts;
use super::announcement::End;
use super::known_sessions::Sighting;
use super::known_sessions::Source;
use super::known_sessions::sightings;
use super::state::RolloutState;

/// Sessions in one message. With more it would not fit the smallest path MTU in common use beside others.
const MAX_SESSIONS: usize = 32;

/// How long a VM waits for others to tell it what they know of a roll-out before it goes on without.
const ASK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The shortest time between two answers to one VM that asks.
const ANSWER_INTERVAL: Duration = Duration::from_millis(150);

/// What a VM tells others of one roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The offset of the order in its topic.
    pub order: Offset,
    /// A number that the sender drew when it started.
    pub incarnation: u64,
    /// The age of the order in milliseconds; none if the sender doesn't know whether it has ended.
    pub age_ms: Option<u32>,
    /// How the roll-out ended, if it has.
    pub ended: Option<End>,
    /// Sessions that stay on the old version until the share rises.
    pub pinned: Vec<u64>,
    /// Sessions in the trial's share that use the new version.
    pub joined: Vec<u64>,
    /// What the sender knows, or wants to know, of all sessions.
    pub snapshot: Snapshot,
    /// Thousandths of requests to the new version that the sender will lack.
    pub want: u32,
    /// What the sender has lent to the receiver.
    pub loan: Option<Loan>,
}

/// The part of a message in telling all sessions to a VM that asks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Snapshot {
    /// None.
    #[default]
    None,
    /// The sender asks for all sessions.
    Asked,
    /// With this message the receiver has been sent all sessions that the sender knows.
    Complete,
}

/// All that one VM has lent to another one since the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The incarnation of the borrower.
    pub to: u64,
    /// Thousandths of requests to the new version.
    pub total: u32,
}

/// The VM that sent a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sender {
    /// Hash of its name.
    pub vm: u64,
    /// Whether it is of this VM's group.
    pub group: bool,
}

/// A VM of the group, and what it wants.
#[derive(Debug, Clone, Copy)]
pub(super) struct Member {
    pub vm: u64,
    pub incarnation: u64,
    pub want: Room,
    pub heard: Moment,
    /// When all sessions were last sent to it.
    answered: Moment,
}

impl Handover {
    fn add(&mut self, sighting: Sighting) {
        match sighting.side {
            Side::Old => self.pinned.push(sighting.session),
            Side::New => self.joined.push(sighting.session),
        }
    }

    /// Whether it tells and asks nothing that others wait for.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        let sessions = self.pinned.is_empty() && self.joined.is_empty();
        sessions && self.snapshot == Snapshot::None && self.want == 0
    }
}

impl RolloutState {
    /// Whether this VM still waits for others to tell it what they know.
    pub(super) fn asks(&self, now: Moment) -> bool {
        let waits = now.since(self.order.read_at) < ASK_TIMEOUT;
        self.order.initial && !self.sessions.complete && self.ended().is_none() && waits
    }

    fn handover(&self, incarnation: u64, now: Moment) -> Handover {
        let age = self.age(now).as_millis();
        let known = self.is_resolved() && !self.asks(now);
        Handover {
            order: self.offset(),
            incarnation,
            age_ms: known.then(|| u32::try_from(age).unwrap_or(u32::MAX)),
            ended: self.ended(),
            pinned: Vec::new(),
            joined: Vec::new(),
            snapshot: Snapshot::None,
            want: 0,
            loan: None,
        }
    }

    /// `sessions` in as many messages as they take; at least one.
    fn handovers(&self, incarnation: u64, sessions: &[Sighting], now: Moment) -> Vec<Handover> {
        let mut messages = vec![self.handover(incarnation, now)];
        for (place, chunk) in sessions.chunks(MAX_SESSIONS).enumerate() {
            if place > 0 {
                messages.push(self.handover(incarnation, now));
            }
            let message = &mut messages[place];
            for sighting in chunk {
                message.add(*sighting);
            }
        }
        messages
    }

    fn record_member(&mut self, vm: u64, message: &Handover, now: Moment) {
        let member = Member {
            vm,
            incarnation: message.incarnation,
            want: Room::from_thousandths(message.want),
            heard: now,
            answered: Moment::ZERO,
        };
        match self.members.binary_search_by_key(&vm, |known| known.vm) {
            Ok(place) => {
                let answered = self.members[place].answered;
                self.members[place] = Member { answered, ..member };
            }
            Err(place) => self.members.insert(place, member),
        }
    }

    /// Whether a VM that asks is to be answered now.
    fn answers(&mut self, vm: u64, now: Moment) -> bool {
        let Ok(place) = self.members.binary_search_by_key(&vm, |known| known.vm) else {
            return true;
        };
        let member = &mut self.members[place];
        let due = now.since(member.answered) >= ANSWER_INTERVAL;
        if due {
            member.answered = now;
        }
        due
    }

    /// Takes in what another VM told.
    fn merge(&mut self, message: &Handover, sender: Sender, now: Moment) {
        if let Some(age) = message.age_ms {
            self.resolve();
            self.learn_age(Duration::from_millis(u64::from(age)), now);
        }
        if let Some(end) = message.ended {
            self.end(end, now);
        }
        let told = match (message.snapshot, sender.group) {
            // What answers a question of this VM's is known to its group.
            (Snapshot::Complete, _) | (_, true) => Source::Group,
            (_, false) => Source::Remote,
        };
        for sighting in sightings(&message.pinned, &message.joined) {
            self.sessions.add(sighting, told);
        }
        if message.snapshot == Snapshot::Complete
            && message.age_ms.is_some()
            && !self.sessions.complete
        {
            self.sessions.complete = true;
            log::info!(
                pool = self.order.rollout.pool.as_str(),
                pinned = self.sessions.pinned(),
                age_ms = message.age_ms,
                ended:? = message.ended;
                "rollout: Another VM told all sessions."
            );
        }
        if sender.group {
            self.record_member(sender.vm, message, now);
        }
    }
}

impl Rollouts {
    /// Whether nothing is left to learn from others before requests are served: of each order that was there
    /// before this process started, another VM told how it has gone on, or nobody does.
    #[must_use]
    pub fn is_informed(&self, now: Moment) -> bool {
        let asks = |rollout: &RolloutState| {
            let pool = &rollout.order.rollout.pool;
            let matters = self
                .pool_versions(pool)
                .is_none_or(|known| known.count(rollout.target()) > 0);
            matters && rollout.asks(now)
        };
        self.vms == 1 || !self.newest.iter().any(asks)
    }

    /// What the group is to be told now. A VM that stops wants nothing.
    pub fn group_handovers(&mut self, stops: bool, now: Moment) -> Vec<Handover> {
        let incarnation = self.incarnation;
        let mut messages = Vec::new();
        for place in 0..self.newest.len() {
            if self.newest[place].ended().is_some() {
                continue;
            }
            let want = if stops {
                Room::ZERO
            } else {
                self.want(&self.newest[place], now)
            };
            let rollout = &mut self.newest[place];
            let sessions = rollout.sessions.take_for_group(now);
            let mut told = rollout.handovers(incarnation, &sessions, now);
            told[0].want = want.thousandths();
            if rollout.asks(now) {
                told[0].snapshot = Snapshot::Asked;
            }
            messages.append(&mut told);
        }
        messages
    }

    /// What other groups and zones are to be told now; empty if there is nothing to tell or ask.
    pub fn remote_handovers(&mut self, now: Moment) -> Vec<Handover> {
        let incarnation = self.incarnation;
        let mut messages = Vec::new();
        for rollout in self.newest.iter_mut().filter(|r| r.ended().is_none()) {
            let sessions = rollout.sessions.take_for_remote(now);
            let asks = rollout.asks(now);
            if sessions.is_empty() && !asks {
                continue;
            }
            let mut told = rollout.handovers(incarnation, &sessions, now);
            if asks {
                told[0].snapshot = Snapshot::Asked;
            }
            messages.append(&mut told);
        }
        messages
    }

    /// Takes in what another VM told, and returns the answer if that VM asked.
    pub fn merge_handover(
        &mut self,
        message: &Handover,
        sender: Sender,
        now: Moment,
    ) -> Vec<Handover> {
        let incarnation = self.incarnation;
        let Some(place) = self.newest.iter().position(|r| r.offset() == message.order) else {
            return Vec::new();
        };
        let rollout = &mut self.newest[place];
        rollout.merge(message, sender, now);
        if let Some(loan) = message.loan.filter(|loan| loan.to == incarnation) {
            let total = Room::from_thousandths(loan.total);
            rollout.transfers.borrow(message.incarnation, total);
        }
        let asked = message.snapshot == Snapshot::Asked;
        let knows = rollout.is_resolved() && !rollout.asks(now);
        let mut answer = Vec::new();
        if asked && knows && rollout.answers(sender.vm, now) {
            answer = rollout.handovers(incarnation, &rollout.sessions.all(), now);
            if let Some(last) = answer.last_mut() {
                last.snapshot = Snapshot::Complete;
            }
        }
        if message.ended.is_some() {
            let pool = self.newest[place].order.rollout.pool.clone();
            self.put_target_in_place(&pool);
        }
        answer
    }
}
