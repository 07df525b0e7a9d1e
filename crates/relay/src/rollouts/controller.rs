//! Carries a roll-out through: shares evidence with the other VMs over the log, and tells operators
//! once it is done or undone.
//!
//! Nobody leads. Each VM announces what it saw and whether it has left the old version; any VM that
//! sees that all have tells operators, by an append that holds only if the topic has not moved since
//! it was read. An append whose answer was lost is found by the next read.

use std::time::Duration;

use bytes::Bytes;
use pimento_policy::shift::Phase;
use pimento_units::Moment;
use pimento_units::Offset;
use pimento_units::id;
use tokio_util::sync::CancellationToken;

use super::Rollout;
use super::Rollouts;
use super::announcement::Announcement;
use super::announcement::Route;
use crate::boot;
use crate::border::Border;
use crate::codec::Codec;
use crate::codec::Stage;
use crate::codec::Status;
use crate::fleet;
use crate::fleet::Word;
use crate::follow::Fold;
use crate::follow::Follower;
use crate::follow::Gait;
use crate::follow::Pace;
use crate::follow::Told;
use crate::node::Node;
use crate::operators::Order;
use crate::topic::Error;
use crate::topic::Log;
use crate::topic::Record;
use crate::topic::Topic;
use crate::zone::Zone;

/// How often a roll-out is looked at. Several times within the second that evidence may take.
const TICK: Duration = Duration::from_millis(250);

/// How often a VM announces at least, so that the others know that it lives.
const ANNOUNCE: Duration = Duration::from_secs(2);

/// How soon it announces news: evidence against the new version, or that it left the old one.
const NEWS: Duration = Duration::from_millis(700);

/// After this long without an announcement a VM is no longer waited for: it is down, or cut off
/// from the log, in which case it lets no keys in and sends nothing.
const DEAD: Duration = Duration::from_millis(4_500);

/// Before the deadline operators are told in any case, whoever has not been heard of.
const MARGIN: Duration = Duration::from_secs(2);

/// Pause before a VM tells operators, times its rank among those that announced: the first one's
/// word should be there before the others write the same.
const RANK: Duration = Duration::from_millis(300);

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

/// A call of the log takes at most this long; the next tick may try again.
const CALL: Duration = Duration::from_secs(1);

/// The VMs' words, newest of each, in the order of their arrival.
#[derive(Debug, Default)]
struct Words {
    /// Those that were not yet taken in.
    news: Vec<(id::Node, Word)>,
}

impl Fold for Words {
    fn apply(&mut self, record: &Record, _: Told) -> bool {
        self.news.extend(fleet::read(record));
        true
    }
}

/// What a tick found to be done.
enum Step {
    /// Nothing that operators must be told.
    Wait,
    /// Tell operators of this stage.
    Tell(Stage),
}

/// State of the controller between ticks.
struct Controller<P, L> {
    node: Node<P, L>,
    log: L,
    /// Started while a roll-out is under way.
    fleet: Option<(Follower<Words, L>, CancellationToken)>,
    announced: Moment,
    said: Word,
    /// When this VM first found that operators are to be told.
    due: Option<Moment>,
}

/// Carries roll-outs through until `token`.
pub fn start<P: Border + Codec, L: Log>(node: &Node<P, L>, log: L, token: CancellationToken) {
    let controller = Controller {
        node: node.clone(),
        log,
        fleet: None,
        announced: Moment::ZERO,
        said: node.word(),
        due: None,
    };
    tokio::spawn(async move { token.run_until_cancelled(controller.run()).await });
}

impl<P: Border + Codec, L: Log> Controller<P, L> {
    async fn run(mut self) {
        let mut changes = self.node.operators.changes();
        loop {
            self.take_orders().await;
            let running = self.node.rollouts(Rollouts::running);
            if running.is_empty() {
                self.rest();
                if changes.changed().await.is_err() {
                    return;
                }
                continue;
            }
            self.follow();
            self.hear();
            for pool in &running {
                self.step(pool).await;
            }
            self.announce(&running).await;
            tokio::select! {
                _ = changes.changed() => {}
                () = tokio::time::sleep(TICK) => {}
            }
        }
    }

    /// Takes orders that are new here. One that was given before this process began may be carried
    /// through already, which only the status tells.
    async fn take_orders(&mut self) {
        let orders: Vec<Order> = self.node.operators.view(|view| view.orders().to_vec());
        let known = |order: &Order| self.node.rollouts(|r| r.knows(order));
        if orders.iter().all(known) {
            return;
        }
        let Some((statuses, _)) = self.statuses().await else {
            return;
        };
        for order in orders {
            let first = self.node.rollouts(|r| r.find(&order.rollout.pool).is_err());
            let told = statuses.iter().find(|status| {
                status.pool == order.rollout.pool && status.target == order.rollout.target
            });
            let stage = told.filter(|_| first).map_or(Stage::Running, |s| s.stage);
            self.node.rollouts(|r| r.order(order, stage));
        }
    }

    fn follow(&mut self) {
        if self.fleet.is_none() {
            let token = CancellationToken::new();
            let follower = Follower::start(
                self.log.clone(),
                Topic::Fleet,
                FLEET,
                Zone::default(),
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
        self.due = None;
    }

    /// Takes in what the other VMs said since.
    fn hear(&self) {
        let Some((fleet, _)) = &self.fleet else {
            return;
        };
        let news = fleet.amend(|words| std::mem::take(&mut words.news));
        let now = boot::now();
        let own = &self.node.config.node;
        for (node, word) in news.into_iter().filter(|(node, _)| node != own) {
            self.node.rollouts(|r| r.hear(&node, word, now));
        }
    }

    /// What is to be done about one roll-out now.
    async fn step(&mut self, pool: &id::Pool) {
        let left = self.left(pool);
        let now = boot::now();
        let step = self.node.rollouts(|r| r.step(pool, left, now));
        let Step::Tell(stage) = step else {
            self.due = None;
            return;
        };
        // The others must know before this VM rests.
        if stage == Stage::Undone && !self.said.rollouts.iter().any(|said| said.bad) {
            return;
        }
        let due = *self.due.get_or_insert(now);
        let own = &self.node.config.node;
        let rank = self.node.rollouts(|r| r.rank(pool, own, now));
        if now.since(due) < RANK * rank {
            return;
        }
        if self.tell(pool, stage).await {
            self.due = None;
        }
    }

    /// Whether no request of this VM is at an endpoint of another version than the one moved to.
    fn left(&self, pool: &id::Pool) -> bool {
        let Some(target) = self.node.rollouts(|r| r.target(pool)) else {
            return true;
        };
        self.node.scheduler.pool(pool).flying_beside(&target) == 0
    }

    /// Tells operators of a stage unless they were told of an end; whether they know now.
    async fn tell(&self, pool: &id::Pool, stage: Stage) -> bool {
        let Some(order) = self.node.rollouts(|r| r.get(pool).map(|r| r.order.clone())) else {
            return true;
        };
        let Some((statuses, end)) = self.statuses().await else {
            return false;
        };
        let target = &order.rollout.target;
        let told = statuses
            .iter()
            .find(|s| s.pool == *pool && s.target == *target);
        if let Some(told) = told
            && told.stage != Stage::Running
        {
            self.node.rollouts(|r| r.end(pool, told.stage));
            return true;
        }
        let status = Status {
            pool: pool.clone(),
            target: target.clone(),
            stage,
        };
        let (key, value) = self.node.platform.tell(&status);
        let append = self
            .log
            .append(Topic::Status, &key, Bytes::from(value), Some(end));
        match tokio::time::timeout(CALL, append).await {
            Ok(Ok(_)) => {
                log::info!("rollout: {pool} to {target}: operators told {stage:?}.");
                self.node.rollouts(|r| r.end(pool, stage));
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

    /// What operators were told, and the end of that topic.
    async fn statuses(&self) -> Option<(Vec<Status>, Offset)> {
        let newest = self.log.newest(Topic::Status);
        let batch = match tokio::time::timeout(CALL, newest).await {
            Ok(Ok(batch)) => batch,
            Ok(Err(error)) => {
                log::warn!("rollout: Status not read: {error}.");
                return None;
            }
            Err(_) => {
                log::warn!("rollout: Status not read in time.");
                return None;
            }
        };
        let read = |record: &Record| {
            let value = record.value.as_ref()?;
            match self.node.platform.status(&record.key, value) {
                Ok(status) => status,
                Err(error) => {
                    log::warn!("rollout: Status {} left out: {error}.", record.key);
                    None
                }
            }
        };
        let statuses = batch.records.iter().filter_map(read).collect();
        Some((statuses, batch.end))
    }

    /// Says what was seen here, if it is time or there is news.
    async fn announce(&mut self, running: &[id::Pool]) {
        let now = boot::now();
        let word = self.word(running, now);
        let since = now.since(self.announced);
        let news = news(&word, &self.said);
        let bad = word.rollouts.iter().any(|said| said.bad);
        let said_bad = self.said.rollouts.iter().any(|said| said.bad);
        let early = since < NEWS || (since < ANNOUNCE && !news);
        if early && (said_bad || !bad) {
            return;
        }
        self.announced = now;
        if word.say(&self.node.config.node, &self.log).await {
            self.said = word;
        }
    }

    fn word(&self, running: &[id::Pool], now: Moment) -> Word {
        let said = running.iter().filter_map(|pool| {
            let left = self.left(pool);
            self.node.rollouts(|r| r.announcement(pool, left, now))
        });
        Word {
            rollouts: said.collect(),
            ..self.node.word()
        }
    }
}

/// Whether a word says something that others should know soon.
fn news(word: &Word, before: &Word) -> bool {
    let told = |word: &Word| {
        let said = word.rollouts.iter();
        said.map(|s| (s.order, s.bad, s.left, s.failing.len()))
            .collect::<Vec<_>>()
    };
    told(word) != told(before)
}

impl Rollouts {
    /// Services with a roll-out under way.
    fn running(&mut self) -> Vec<id::Pool> {
        let running = self.newest.iter().filter(|r| r.stage == Stage::Running);
        running.map(|r| r.order.rollout.pool.clone()).collect()
    }

    fn knows(&self, order: &Order) -> bool {
        let known = self.get(&order.rollout.pool);
        known.is_some_and(|known| known.offset() >= order.offset)
    }

    fn end(&mut self, pool: &id::Pool, stage: Stage) {
        if let Some(rollout) = self.get_mut(pool) {
            rollout.stage = stage;
        }
    }

    fn hear(&mut self, node: &id::Node, word: Word, now: Moment) {
        for said in word.rollouts {
            if let Some(rollout) = self.get_mut(&said.pool) {
                rollout.hear(node, said, now);
            }
        }
    }

    fn announcement(&self, pool: &id::Pool, left: bool, now: Moment) -> Option<Announcement> {
        let rollout = self.get(pool)?;
        let age = rollout.age(now);
        let moved = self.phase(rollout, now) == Phase::Moved;
        let routes = rollout.routes.iter().map(|route| Route {
            name: route.name.clone(),
            new: route.new,
            old: route.old,
        });
        Some(Announcement {
            pool: pool.clone(),
            order: rollout.offset(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            routes: routes.collect(),
            failing: rollout.failing.clone(),
            bad: rollout.bad.is_some(),
            left: moved && left,
        })
    }

    /// What is to be done. `left` says whether no request of this VM is at the old version.
    fn step(&mut self, pool: &id::Pool, left: bool, now: Moment) -> Step {
        let endpoints = self.endpoints(pool);
        let config = self.config;
        let share = self.exposure.share;
        let Some(rollout) = self.get_mut(pool) else {
            return Step::Wait;
        };
        rollout.judge(endpoints);
        if rollout.bad.is_some() {
            return Step::Tell(Stage::Undone);
        }
        let lasts = rollout.order.rollout.lasts;
        let age = rollout.age(now);
        let moved = config.phase(age, lasts, share) == Phase::Moved;
        let all = rollout.all_left(now);
        let late = age + MARGIN >= lasts;
        if moved && ((left && all) || late) {
            return Step::Tell(Stage::Done);
        }
        Step::Wait
    }

    fn rank(&self, pool: &id::Pool, own: &id::Node, now: Moment) -> u32 {
        let Some(rollout) = self.get(pool) else {
            return 0;
        };
        let live = rollout.peers.iter().filter(|p| now.since(p.heard) < DEAD);
        let before = live.filter(|peer| peer.node < *own).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }
}

impl Rollout {
    /// Whether all other VMs that live have left the old version.
    fn all_left(&self, now: Moment) -> bool {
        let mut live = self.peers.iter().filter(|p| now.since(p.heard) < DEAD);
        live.all(|peer| peer.said.left)
    }
}
