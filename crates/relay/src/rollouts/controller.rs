//! Carries roll-outs through: shares evidence with the other VMs, and reports to the operators when a
//! roll-out is done or rolled back.
//!
//! No VM leads the others. Within a zone VMs announce to each other by datagrams. A VM that reads the log
//! itself, such as the zone's reader, writes to the VMs' own topic what it knows of all VMs of its zone,
//! and reads what other zones wrote. Any such VM that sees that all VMs have drained the old version
//! reports the end to the operators, by an append on condition that the topic has not moved since it was
//! read. An append whose answer was lost is found by the next read.

mod status;

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::Offset;
use pimento_units::id;
use tokio_util::sync::CancellationToken;

use self::status::Pending;
use super::Rollouts;
use super::announcement::Announcement;
use super::announcement::End;
use super::announcement::NodeAnnouncement;
use super::announcements_differ;
use super::state::Step;
use crate::boot;
use crate::codec::Codec;
use crate::fleet;
use crate::fleet::VmRecord;
use crate::follow::Fold;
use crate::follow::Follower;
use crate::follow::Polling;
use crate::follow::ReadTiming;
use crate::follow::RecordContext;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::operators::ReadOrder;
use crate::position::Era;
use crate::topic::Log;
use crate::topic::Record;
use crate::topic::Topic;
use crate::zone::ZoneReading;

/// How often a roll-out is checked. Several times within the second that evidence may take to spread.
const TICK: Duration = Duration::from_millis(250);

/// The longest time between the records that a VM writes to the log while a roll-out is under way.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(2);

/// The shortest time between them, for announcements that differ from the last ones.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(700);

/// Time between them while the new version gets more requests than in the trial.
const RISING_PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// Delay before a VM that reads the log reports an end to the operators, times the place of its zone: one VM of a
/// zone reads, and the report of the first one should be on the log before the others write the same.
const ZONE_DELAY: Duration = Duration::from_millis(120);

/// The same for other VMs, times the rank among those that are alive.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// How much later than one that reads the log any other VM reports an end.
const READER_DELAY: Duration = Duration::from_secs(3);

/// How the entry VMs' own topic is read while a roll-out is under way.
const FLEET: ReadTiming = ReadTiming {
    alone: TWICE_A_SECOND,
    reader: TWICE_A_SECOND,
    max_proof_age: Duration::ZERO,
    timeout: Duration::from_millis(450),
};

const TWICE_A_SECOND: Polling = Polling {
    wait: Duration::ZERO,
    pause: Duration::from_millis(500),
};

/// Records of the VMs that were read and not merged yet, in order of arrival.
#[derive(Debug, Default)]
struct Unmerged {
    records: Vec<(id::Node, VmRecord)>,
}

impl Fold for Unmerged {
    fn apply(&mut self, record: &Record, _: RecordContext) -> bool {
        self.records.extend(fleet::decode(record));
        true
    }
}

/// State of the controller between ticks.
struct Controller<P, L> {
    node: Node<P, L>,
    log: L,
    /// Followed while a roll-out is under way and this VM reads for itself.
    fleet: Option<(Follower<Unmerged, L>, CancellationToken)>,
    /// When this VM last wrote announcements to the log.
    published_at: Moment,
    /// Its own announcements when that last succeeded.
    published: Vec<Announcement>,
    /// When this VM first found that an end is to be reported.
    report_due: Option<Moment>,
    /// For each service whose last order was given while this VM ran and read the log: the end of the status
    /// topic when this VM accepted it. Reports before that end belong to earlier orders.
    status_ends: Vec<(id::Pool, Offset)>,
    /// The era of the log in which the ends of roll-outs are known to be reported.
    reported_era: Era,
    /// When the status topic was last asked how orders went on.
    status_tried_at: Moment,
}

/// Starts the controller, which runs until `token` is cancelled.
pub fn start<P: HeaderCodec + Codec, L: Log>(node: &Node<P, L>, log: L, token: CancellationToken) {
    let controller = Controller {
        node: node.clone(),
        log,
        fleet: None,
        published_at: Moment::ZERO,
        published: Vec::new(),
        report_due: None,
        status_ends: Vec::new(),
        reported_era: Era::default(),
        status_tried_at: Moment::ZERO,
    };
    tokio::spawn(async move { token.run_until_cancelled(controller.run()).await });
}

impl<P: HeaderCodec + Codec, L: Log> Controller<P, L> {
    async fn run(mut self) {
        let mut changes = self.node.operators.changes();
        let mut endpoints = self.node.directory.changes();
        loop {
            let pending = self.accept_orders().await;
            let retry = !self.report_again().await || pending == Pending::Status;
            let running = self.node.rollouts(|r| r.running());
            if running.is_empty() {
                if self.node.reads_log() {
                    self.publish().await;
                }
                self.stop_following();
                let woken = tokio::select! {
                    woken = changes.changed() => woken,
                    woken = endpoints.changed(), if pending == Pending::TargetVersion => woken,
                    () = tokio::time::sleep(PUBLISH_INTERVAL), if retry => Ok(()),
                };
                if woken.is_err() {
                    return;
                }
                continue;
            }
            if self.node.reads_log() {
                self.follow();
                self.merge();
                self.publish().await;
            } else {
                self.stop_following();
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

    /// Accepts orders that are new to this VM. Returns what it waits for to learn how the others went on.
    async fn accept_orders(&mut self) -> Pending {
        let orders: Vec<ReadOrder> = self.node.operators.view(|view| view.orders().to_vec());
        self.node.rollouts(|r| {
            for order in &orders {
                r.adopt_repeated_order(order);
            }
        });
        let known = |order: &ReadOrder| self.node.rollouts(|r| r.has_order(order));
        let new: Vec<ReadOrder> = orders.into_iter().filter(|order| !known(order)).collect();
        for order in &new {
            log::info!(
                pool = order.rollout.pool.as_str(),
                version = order.rollout.target.as_str(),
                initial = order.initial;
                "rollout: Order accepted."
            );
            self.node
                .rollouts(|r| r.add_order(order.clone(), boot::now()));
        }
        if self.node.reads_log() {
            self.read_status_ends(&new).await;
        }
        self.resolve_orders().await
    }

    fn follow(&mut self) {
        if self.fleet.is_none() {
            let token = CancellationToken::new();
            let follower = Follower::start(
                self.log.clone(),
                Topic::Fleet,
                FLEET,
                ZoneReading::default(),
                self.node.calls.clone(),
                Unmerged::default(),
                token.clone(),
            );
            self.fleet = Some((follower, token));
        }
    }

    fn stop_following(&mut self) {
        if let Some((_, token)) = self.fleet.take() {
            token.cancel();
        }
    }

    /// Merges the announcements that were read from the log since the last call.
    fn merge(&self) {
        let Some((fleet, _)) = &self.fleet else {
            return;
        };
        let records = fleet.modify(|unmerged| std::mem::take(&mut unmerged.records));
        let now = boot::now();
        let own = &self.node.config.node;
        let received = records.iter().flat_map(|(_, record)| &record.rollouts);
        for received in received.filter(|received| received.node != *own) {
            self.node.rollouts(|r| r.receive(received, now));
        }
    }

    /// Writes to the log the announcements of this VM and those of its zone, if they changed or it is
    /// time to repeat them.
    async fn publish(&mut self) {
        let now = boot::now();
        let own = self.node.announcements(now);
        if own.is_empty() {
            return;
        }
        let since = now.since(self.published_at);
        let decided = |all: &[Announcement]| all.iter().any(Announcement::is_decided);
        let urgent = decided(&own) && !decided(&self.published);
        let changed = announcements_differ(&own, &self.published);
        let ended = own.iter().all(|announcement| announcement.ended.is_some());
        let rises = self.node.rollouts(|r| r.any_rising(now));
        let (least, most) = if rises {
            (RISING_PUBLISH_INTERVAL, RISING_PUBLISH_INTERVAL)
        } else {
            (MIN_PUBLISH_INTERVAL, PUBLISH_INTERVAL)
        };
        let early = since < least || (since < most || ended) && !changed;
        if early && !urgent {
            return;
        }
        self.published_at = now;
        let node = &self.node.config.node;
        let mut rollouts = self.node.rollouts(|r| r.received_announcements(now));
        rollouts.extend(own.iter().map(|announcement| NodeAnnouncement {
            node: node.clone(),
            announcement: announcement.clone(),
        }));
        let record = VmRecord {
            rollouts,
            ..self.node.vm_record()
        };
        if self.node.publish(&record, &self.log).await {
            self.published = own;
        }
    }

    /// The place of this VM's zone among all zones.
    fn zone_rank(&self) -> u32 {
        let config = &self.node.config;
        let before = config.zones.iter().filter(|(zone, _)| *zone < config.zone);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Does what is to be done about one roll-out now.
    async fn step(&mut self, pool: &id::Pool) {
        let Some(order) = self.node.rollouts(|r| r.get(pool).map(|p| p.order.clone())) else {
            return;
        };
        let now = boot::now();
        let drained = self.node.is_drained(pool, &order.rollout.target);
        let reads = self.node.reads_log();
        let step = self.node.rollouts(|r| r.next_step(pool, drained, now));
        let Step::Report(end) = step else {
            self.report_due = None;
            return;
        };
        if self.report_due.is_none() {
            self.node.rollouts(|r| r.log_verdict(pool, end, now));
        }
        // The other VMs must learn that the version is bad before this VM ends the roll-out.
        let announced = self.published.iter().any(|announcement| announcement.bad);
        if end == End::RolledBack && reads && !announced {
            return;
        }
        let due = *self.report_due.get_or_insert(now);
        let own = &self.node.config.node;
        let rank = self.node.rollouts(|r| r.rank(pool, own, now));
        let delay = if reads {
            ZONE_DELAY * self.zone_rank()
        } else {
            // Otherwise all VMs of a zone would report the same end at the same moment.
            READER_DELAY + RANK_DELAY * rank
        };
        if now.since(due) >= delay && self.report_end(&order, end).await {
            self.report_due = None;
        }
    }
}

impl<P: HeaderCodec + Codec, L: Log> Node<P, L> {
    /// Whether no request of this VM is at an endpoint of another version than `target`.
    fn is_drained(&self, pool: &id::Pool, target: &id::Version) -> bool {
        self.scheduler.pool(pool).in_flight_without(target) == 0
    }

    fn announcements(&self, now: Moment) -> Vec<Announcement> {
        self.rollouts(|r| r.announcements(|pool, target| self.is_drained(pool, target), now))
    }

    /// The announcements of roll-outs whose version is bad, or that have ended. Other zones hear of them by
    /// datagrams as well: the log may be away just then.
    pub(crate) fn decided_announcements(&self, now: Moment) -> Vec<Announcement> {
        let mut announcements = self.announcements(now);
        announcements.retain(Announcement::is_decided);
        announcements
    }

    /// The announcements about roll-outs to send to the zone now.
    pub(crate) fn due_announcements(&self, now: Moment) -> Vec<Announcement> {
        self.rollouts(|r: &mut Rollouts| {
            r.due_announcements(|pool, target| self.is_drained(pool, target), now)
        })
    }
}
