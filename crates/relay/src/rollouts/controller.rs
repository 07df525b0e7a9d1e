//! Carries a roll-out through: shares evidence with the other VMs, and tells operators once it is
//! done or undone.
//!
//! Nobody leads. Within a zone VMs tell each other by datagrams; the VM that reads the log for its
//! zone says on the VMs' own topic what it knows of all of them, and reads what other zones say. Any
//! such VM that sees that all have left the old version tells operators, by an append that holds only
//! if the topic has not moved since it was read. An append whose answer was lost is found by the next
//! read.

use std::time::Duration;

use bytes::Bytes;
use pimento_progress::Progress;
use pimento_units::Moment;
use pimento_units::Offset;
use pimento_units::id;
use tokio_util::sync::CancellationToken;

use super::Rollouts;
use super::announcement::Announcement;
use super::announcement::End;
use super::announcement::Said;
use super::differ;
use super::progress::Hearing;
use super::progress::Step;
use crate::boot;
use crate::calls::Reason;
use crate::codec::Codec;
use crate::codec::RolloutStage;
use crate::codec::RolloutStatus;
use crate::fleet;
use crate::fleet::Word;
use crate::follow::Fold;
use crate::follow::Follower;
use crate::follow::Gait;
use crate::follow::Pace;
use crate::follow::Told;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::operators::RolloutOrder;
use crate::pools;
use crate::topic::Error;
use crate::topic::Log;
use crate::topic::Record;
use crate::topic::Topic;
use crate::zone::Zone;

/// How often a roll-out is looked at. Several times within the second that evidence may take.
const TICK: Duration = Duration::from_millis(250);

/// How often a VM says on the log what it knows at least, and how soon it says news.
const SAY: Duration = Duration::from_secs(2);
const NEWS: Duration = Duration::from_millis(700);

/// Pause before a VM tells operators, times its rank among those that live: the first one's word
/// should be there before the others write the same.
const RANK: Duration = Duration::from_millis(300);

/// The most that a VM waits for others to tell operators.
const LONGEST: Duration = Duration::from_millis(1_500);

/// How the entry VMs' own topic is read while a roll-out is under way.
const FLEET: Pace = Pace {
    alone: SECONDLY,
    leading: SECONDLY,
    trust: Duration::ZERO,
    patience: Duration::from_millis(450),
};

const SECONDLY: Gait = Gait {
    wait: Duration::ZERO,
    pause: Duration::from_secs(1),
};

/// An answer of the log may take this long to begin, and to go on; the next tick may try again.
const CALL: Duration = Duration::from_secs(1);

/// The VMs' words that were not yet taken in, in the order of their arrival.
#[derive(Debug, Default)]
struct Words {
    news: Vec<(id::Node, Word)>,
}

impl Fold for Words {
    fn apply(&mut self, record: &Record, _: Told) -> bool {
        self.news.extend(fleet::read(record));
        true
    }
}

/// What orders wait for that were not taken yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pending {
    /// None waits.
    Nothing,
    /// That there are several versions to choose from.
    Choice,
    /// That the status can be read.
    Status,
}

/// State of the controller between ticks.
struct Controller<P, L> {
    node: Node<P, L>,
    log: L,
    /// Followed while a roll-out is under way and this VM reads for itself.
    fleet: Option<(Follower<Words, L>, CancellationToken)>,
    /// When this VM last said something on the log, and what of itself.
    said_at: Moment,
    said: Vec<Announcement>,
    /// When this VM first found that operators are to be told.
    due: Option<Moment>,
    /// Where the status topic ended when a roll-out began, for each that did under this VM's eyes.
    since: Vec<(Offset, Offset)>,
}

/// Carries roll-outs through until `token`.
pub fn start<P: HeaderCodec + Codec, L: Log>(node: &Node<P, L>, log: L, token: CancellationToken) {
    let controller = Controller {
        node: node.clone(),
        log,
        fleet: None,
        said_at: Moment::ZERO,
        said: Vec::new(),
        due: None,
        since: Vec::new(),
    };
    tokio::spawn(async move { token.run_until_cancelled(controller.run()).await });
}

impl<P: HeaderCodec + Codec, L: Log> Controller<P, L> {
    async fn run(mut self) {
        let mut changes = self.node.operators.changes();
        let mut endpoints = self.node.directory.changes();
        loop {
            let pending = self.take_orders().await;
            let running = self.node.rollouts(|r| r.running());
            if running.is_empty() {
                if self.node.reads_log() {
                    self.say().await;
                }
                self.rest();
                let woken = tokio::select! {
                    woken = changes.changed() => woken,
                    woken = endpoints.changed(), if pending == Pending::Choice => woken,
                    () = tokio::time::sleep(SAY), if pending == Pending::Status => Ok(()),
                };
                if woken.is_err() {
                    return;
                }
                continue;
            }
            if self.node.reads_log() {
                self.follow();
                self.hear();
                self.say().await;
            } else {
                self.rest();
            }
            for pool in &running {
                self.step(pool).await;
            }
            tokio::select! {
                _ = changes.changed() => {}
                () = tokio::time::sleep(TICK) => {}
            }
        }
    }

    /// Takes orders that are new here; what those wait for that were left for later.
    ///
    /// One that was given before this process began may be carried through already, which only the
    /// status tells. As long as there is one version only it makes no difference: VMs that start
    /// together would all ask the log for nothing.
    async fn take_orders(&mut self) -> Pending {
        let orders: Vec<RolloutOrder> = self.node.operators.view(|view| view.orders().to_vec());
        let known = |order: &RolloutOrder| self.node.rollouts(|r| r.knows(order));
        let new: Vec<RolloutOrder> = orders.into_iter().filter(|order| !known(order)).collect();
        let now = boot::now();
        if new.iter().any(|order| order.initial) {
            // The pools may not have seen yet which versions there are.
            pools::refresh(&self.node);
        }
        let mut pending = Pending::Nothing;
        for order in new {
            let pool = &order.rollout.pool;
            if order.initial && !self.node.rollouts(|r| r.mixed(pool)) {
                pending = Pending::Choice;
                continue;
            }
            let ended = if order.initial {
                let Some((statuses, _)) = self.statuses().await else {
                    return Pending::Status;
                };
                ended(&statuses, &order, Offset::default())
            } else {
                if self.node.reads_log() {
                    let Some((_, end)) = self.statuses().await else {
                        return Pending::Status;
                    };
                    self.since.push((order.offset, end));
                }
                None
            };
            self.node.rollouts(|r| r.order(order, ended, now));
        }
        pending
    }

    fn follow(&mut self) {
        if self.fleet.is_none() {
            let token = CancellationToken::new();
            let follower = Follower::start(
                self.log.clone(),
                Topic::Fleet,
                FLEET,
                Zone::default(),
                self.node.calls.clone(),
                Words::default(),
                token.clone(),
            );
            self.fleet = Some((follower, token));
        }
    }

    fn rest(&mut self) {
        if let Some((_, token)) = self.fleet.take() {
            token.cancel();
        }
    }

    /// Takes in what the other VMs said on the log since.
    fn hear(&self) {
        let Some((fleet, _)) = &self.fleet else {
            return;
        };
        let news = fleet.amend(|words| std::mem::take(&mut words.news));
        let now = boot::now();
        let own = &self.node.config.node;
        let said = news.iter().flat_map(|(_, word)| &word.rollouts);
        for said in said.filter(|said| said.node != *own) {
            self.node.rollouts(|r| r.hear(said, now));
        }
    }

    /// Says on the log what this VM and those of its zone saw, if it is time or there is news.
    async fn say(&mut self) {
        let now = boot::now();
        let own = self.node.announcements(now);
        if own.is_empty() {
            return;
        }
        let since = now.since(self.said_at);
        let bad = |said: &[Announcement]| said.iter().any(|s| s.bad || s.ended.is_some());
        let urgent = bad(&own) && !bad(&self.said);
        let news = differ(&own, &self.said);
        let ended = own.iter().all(|said| said.ended.is_some());
        let early = since < NEWS || (since < SAY || ended) && !news;
        if early && !urgent {
            return;
        }
        self.said_at = now;
        let node = &self.node.config.node;
        let mut rollouts = self.node.rollouts(|r| r.heard(now));
        rollouts.extend(own.iter().map(|what| Said {
            node: node.clone(),
            what: what.clone(),
        }));
        let word = Word {
            rollouts,
            ..self.node.announcement()
        };
        if self.node.publish(&word, &self.log).await {
            self.said = own;
        }
    }

    /// What is to be done about one roll-out now.
    async fn step(&mut self, pool: &id::Pool) {
        let Some(order) = self.node.rollouts(|r| r.get(pool).map(|p| p.order.clone())) else {
            return;
        };
        let now = boot::now();
        let left = self.node.left(pool, &order.rollout.target);
        let reads = self.node.reads_log();
        let hearing = if reads {
            Hearing::Everywhere
        } else {
            Hearing::Zone
        };
        let step = self.node.rollouts(|r| r.step(pool, left, hearing, now));
        let Step::Tell(end) = step else {
            self.due = None;
            return;
        };
        // The others must know before this VM rests.
        let said = self.said.iter().any(|said| said.bad);
        if end == End::Undone && reads && !said {
            return;
        }
        let due = *self.due.get_or_insert(now);
        let own = &self.node.config.node;
        let rank = self.node.rollouts(|r| r.rank(pool, own, now));
        let patience = if reads {
            (RANK * rank).min(LONGEST)
        } else {
            // A whole zone would tell the same in one moment.
            LONGEST * 2 + RANK * rank
        };
        if now.since(due) >= patience && self.tell(&order, end).await {
            self.due = None;
        }
    }

    /// Tells operators of an end unless they were told of one; whether they know now.
    async fn tell(&self, order: &RolloutOrder, end: End) -> bool {
        let pool = &order.rollout.pool;
        let target = &order.rollout.target;
        let Some((statuses, at)) = self.statuses().await else {
            return false;
        };
        let since = self
            .since
            .iter()
            .find(|(offset, _)| *offset == order.offset);
        let since = since.map_or(Offset::default(), |(_, since)| *since);
        let now = boot::now();
        if let Some(told) = ended(&statuses, order, since) {
            self.node.rollouts(|r| r.end(pool, told, now));
            return true;
        }
        let status = RolloutStatus {
            pool: pool.clone(),
            target: target.clone(),
            stage: match end {
                End::Done => RolloutStage::Done,
                End::Undone => RolloutStage::RolledBack,
            },
        };
        let (key, value) = self.node.platform.encode_status(&status);
        self.node.calls.count(Topic::Status, Reason::Status);
        let append = self
            .log
            .append(Topic::Status, &key, Bytes::from(value), Some(at));
        match tokio::time::timeout(CALL, append).await {
            Ok(Ok(_)) => {
                log::info!("rollout: {pool} to {target}: operators told {end:?}.");
                self.node.rollouts(|r| r.end(pool, end, now));
                true
            }
            Ok(Err(Error::Moved { .. })) => false,
            Ok(Err(error)) => {
                log::warn!("rollout: {pool} to {target}: operators not told: {error}.");
                false
            }
            Err(_) => {
                log::warn!("rollout: {pool} to {target}: no answer in time, looking again.");
                false
            }
        }
    }

    /// What operators were told, each with its offset, and the end of that topic.
    async fn statuses(&self) -> Option<(Vec<(Offset, RolloutStatus)>, Offset)> {
        self.node.calls.count(Topic::Status, Reason::Status);
        let progress = Progress::default();
        let newest = self.log.newest(Topic::Status, &progress);
        let batch = match progress.wait(newest, CALL, CALL).await {
            Ok(Ok(batch)) => batch,
            Ok(Err(error)) => {
                log::warn!("rollout: Status not read: {error}.");
                return None;
            }
            Err(error) => {
                log::warn!("rollout: Status not read: {error}.");
                return None;
            }
        };
        let read = |record: &Record| {
            let value = record.value.as_ref()?;
            match self.node.platform.decode_status(&record.key, value) {
                Ok(status) => status.map(|status| (record.offset, status)),
                Err(error) => {
                    log::warn!("rollout: Status {} left out: {error}.", record.key);
                    None
                }
            }
        };
        let statuses = batch.records.iter().filter_map(read).collect();
        Some((statuses, batch.end))
    }
}

/// How an order ended by what operators were told from an offset on: an earlier order may have been
/// for the same version.
fn ended(statuses: &[(Offset, RolloutStatus)], order: &RolloutOrder, since: Offset) -> Option<End> {
    let told = statuses.iter().find(|(offset, status)| {
        *offset >= since
            && status.pool == order.rollout.pool
            && status.target == order.rollout.target
    });
    match told?.1.stage {
        RolloutStage::Running => None,
        RolloutStage::Done => Some(End::Done),
        RolloutStage::RolledBack => Some(End::Undone),
    }
}

impl<P: HeaderCodec + Codec, L: Log> Node<P, L> {
    /// Whether no request of this VM is at an endpoint of another version than `target`.
    fn left(&self, pool: &id::Pool, target: &id::Version) -> bool {
        self.scheduler.pool(pool).flying_beside(target) == 0
    }

    fn announcements(&self, now: Moment) -> Vec<Announcement> {
        self.rollouts(|r| r.announcements(|pool, target| self.left(pool, target), now))
    }

    /// What the zone is to be told of roll-outs now.
    pub(crate) fn due_announcements(&self, now: Moment) -> Vec<Announcement> {
        self.rollouts(|r: &mut Rollouts| r.due(|pool, target| self.left(pool, target), now))
    }
}
