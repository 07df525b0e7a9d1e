//! The state of an entry VM that its requests share.

mod start;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_policy::cold;
use pimento_scheduler::Clock;
use pimento_scheduler::ColdStart;
use pimento_scheduler::Scheduler;
use pimento_serve::unread::Unread;
use pimento_units::Moment;
use pimento_units::id;
use tokio::sync::Notify;
use tokio_util::task::TaskTracker;

use crate::absences::Absences;
use crate::bodies::Bodies;
use crate::boot;
use crate::calls::LogCalls;
use crate::calls::Reason;
use crate::cascade;
use crate::codec::Codec;
use crate::config::Config;
use crate::departures::Departures;
use crate::directory;
use crate::directory::Directory;
use crate::fleet::VmRecord;
use crate::follow::Follower;
use crate::headers::HeaderCodec;
use crate::lifetime::Lifetime;
use crate::links::Links;
use crate::links::gate;
use crate::metrics::Metrics;
use crate::operators::Operators;
use crate::own_link::OwnLink;
use crate::poison::Blocklist;
use crate::poison::Poison;
use crate::retry_budget::RetryBudgets;
use crate::rollouts::Rollouts;
use crate::table::Table;
use crate::topic::Log;
use crate::topic::Topic;

/// Share of two bounds up to which a configuration may be used. Its age may reach this share of the bound
/// on revoked keys; a known change may be missing for this share of the bound on configuration changes. A
/// key that the configuration still lists was revoked, if at all, after the configuration was confirmed
/// to be current, so that any age below the bound would do. The rest allows for clock drift.
const FRESH_SHARE: f64 = 0.85;

/// The same share for reporting readiness. A VM that is cut off alone should lose its callers to the other
/// VMs of its zone before it has to refuse them.
const READY_SHARE: f64 = 0.6;

/// The state of an entry VM. Clones share it.
#[derive(Debug)]
pub struct Node<P, L> {
    /// The settings.
    pub config: Arc<Config>,
    /// Reads and writes HTTP heads and records for the platform.
    pub platform: P,
    /// View of the operators' records.
    pub operators: Follower<Operators<P>, L>,
    /// View of the endpoints' records.
    pub directory: Follower<Directory<P>, L>,
    /// Requests during which endpoints crashed, as observed by this VM and others.
    pub poison: Arc<Poison>,
    /// View of the log's records of blocked requests.
    pub blocklist: Follower<Blocklist, L>,
    /// Schedules requests on endpoints' slots.
    pub scheduler: Scheduler,
    /// Endpoints that said that they leave.
    pub departures: Arc<Departures>,
    /// Endpoints that are not at their addresses any more.
    pub absences: Arc<Absences>,
    /// Notified when an endpoint announces something that other VMs should know at once.
    pub announced: Arc<Notify>,
    /// Notified when this VM has sent a prompt that other VMs should know of at once.
    pub(crate) long_prompt_sent: Arc<Notify>,
    /// The retry budgets.
    pub retry_budgets: Arc<RetryBudgets>,
    /// Statistics for choosing models.
    pub(crate) cascade: Arc<cascade::Statistics>,
    /// Counts calls of the log by reason.
    pub(crate) calls: LogCalls,
    /// The metrics.
    pub(crate) metrics: Arc<Metrics>,
    rollouts: Arc<Mutex<Rollouts>>,
    /// Connects to endpoints.
    pub links: Arc<Links>,
    /// This VM's own link.
    pub own_link: OwnLink,
    /// Memory for the bodies of requests.
    pub bodies: Bodies,
    /// The process's clocks.
    pub clock: Clock,
    /// The steps of its shutdown.
    pub lifetime: Lifetime,
    /// Tasks that forward responses to callers.
    pub response_tasks: TaskTracker,
    /// What may be buffered for callers that don't read.
    pub unread: Unread,
}

impl<P: Clone, L: Clone> Clone for Node<P, L> {
    fn clone(&self) -> Self {
        Self {
            config: Arc::clone(&self.config),
            platform: self.platform.clone(),
            operators: self.operators.clone(),
            directory: self.directory.clone(),
            poison: Arc::clone(&self.poison),
            blocklist: self.blocklist.clone(),
            scheduler: self.scheduler.clone(),
            departures: Arc::clone(&self.departures),
            absences: Arc::clone(&self.absences),
            announced: Arc::clone(&self.announced),
            long_prompt_sent: Arc::clone(&self.long_prompt_sent),
            retry_budgets: Arc::clone(&self.retry_budgets),
            cascade: Arc::clone(&self.cascade),
            calls: self.calls.clone(),
            metrics: Arc::clone(&self.metrics),
            rollouts: Arc::clone(&self.rollouts),
            links: Arc::clone(&self.links),
            own_link: self.own_link.clone(),
            bodies: self.bodies.clone(),
            clock: self.clock,
            lifetime: self.lifetime.clone(),
            response_tasks: self.response_tasks.clone(),
            unread: self.unread.clone(),
        }
    }
}

impl<P: HeaderCodec + Codec, L: Log> gate::Endpoints for Node<P, L> {
    fn usable_address(&self, endpoint: &id::Endpoint) -> Option<SocketAddr> {
        let member = self.directory.view(|view| view.member(endpoint).cloned())?;
        let pool = self.scheduler.pool(&member.registration.pool);
        let open = !self.lifetime.is_leaving() && !pool.is_resting(endpoint);
        (open && self.usable(endpoint)).then_some(member.registration.address)
    }
}

/// Version and ages of the data that decisions are based on, for log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewInfo {
    /// Version of the configuration in force.
    pub configuration: Option<u64>,
    /// Age of the view of the configuration.
    pub configuration_age: Option<Duration>,
    /// Age of the view of the endpoints.
    pub endpoints_age: Option<Duration>,
}

/// A duration in whole milliseconds.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Whether the configuration is recent enough to be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Recent enough.
    Fresh,
    /// Keys may have been revoked in the meantime, or known changes were not read yet.
    Stale,
}

impl<P: HeaderCodec + Codec, L: Log> Node<P, L> {
    /// The configuration in force; none before the first one was read.
    #[must_use]
    pub fn table(&self) -> Option<Arc<Table>> {
        self.operators.view(Operators::table)
    }

    /// Version and ages of the current views.
    #[must_use]
    pub fn view_info(&self) -> ViewInfo {
        ViewInfo {
            configuration: self.table().map(|table| table.version()),
            configuration_age: self.operators.age(),
            endpoints_age: self.directory.age(),
        }
    }

    /// Whether the configuration is recent enough to admit keys.
    #[must_use]
    pub fn key_freshness(&self) -> Freshness {
        self.age_freshness(FRESH_SHARE)
    }

    /// Whether the configuration is recent enough to handle requests, with a key or without.
    ///
    /// A VM that does not learn of changes continues with the last configuration that it read. A VM that
    /// learned of a change but can't read it must stop at the bound on configuration changes. Otherwise
    /// it would serve callers by an outdated configuration for as long as it can't reach the log.
    #[must_use]
    pub fn config_freshness(&self) -> Freshness {
        self.change_freshness(FRESH_SHARE)
    }

    /// Whether no known change has been missing for longer than a share of the bound on configuration
    /// changes.
    fn change_freshness(&self, share: f64) -> Freshness {
        let bound = self.config.bounds.config_apply.mul_f64(share);
        match self.operators.behind() {
            Some(behind) if behind > bound => Freshness::Stale,
            _ => Freshness::Fresh,
        }
    }

    /// Whether the configuration is younger than a share of the bound on revoked keys.
    fn age_freshness(&self, share: f64) -> Freshness {
        let Some(revoke) = self.config.bounds.revoke else {
            return Freshness::Fresh;
        };
        match self.operators.age() {
            Some(age) if age <= revoke.mul_f64(share) => Freshness::Fresh,
            _ => Freshness::Stale,
        }
    }

    /// Whether an endpoint accepts new work, by its registration, by what it said itself and by what answers at
    /// its address.
    pub(crate) fn accepts_work(&self, member: &directory::Member, now: Moment) -> bool {
        let leaves = self.departures.contains(member.incarnation(), now);
        member.is_usable(now) && !leaves && !member.presence.is_avoided(now)
    }

    /// Whether an endpoint may get new requests now.
    #[must_use]
    pub fn usable(&self, endpoint: &id::Endpoint) -> bool {
        let now = boot::now();
        let zone = self.directory.view(|view| {
            let member = view.member(endpoint)?;
            self.accepts_work(member, now)
                .then(|| member.registration.zone.clone())
        });
        zone.is_some_and(|zone| {
            !self
                .operators
                .view(|view| view.evacuations().contains(&zone))
        })
    }

    /// Whether an endpoint is cold now.
    #[must_use]
    pub fn is_cold(&self, endpoint: &id::Endpoint) -> bool {
        let now = boot::now();
        let member = self.directory.view(|view| view.member(endpoint).cloned());
        member.is_some_and(|member| self.cold_start(&member, now).is_some())
    }

    /// The cold start of an endpoint; none if it is not cold.
    #[must_use]
    pub(crate) fn cold_start(&self, member: &directory::Member, now: Moment) -> Option<ColdStart> {
        let registration = &member.registration;
        let table = self.table();
        let service = table.as_ref().and_then(|t| t.service(&registration.pool));
        let rate = service.and_then(|service| service.cold_rate);
        let assumed = self.operators.view(|view| {
            let evacuations = view.evacuations();
            evacuations.cold_remaining(&registration.zone, now)
        });
        let assumed = rate.map_or(Duration::ZERO, |_| assumed);
        let remaining = member.cold_remaining(now).max(assumed);
        if remaining.is_zero() {
            return None;
        }
        let limits = self.config.bounds.cold_start;
        Some(ColdStart {
            remaining,
            bound: cold::Bound::new(rate.unwrap_or_default(), limits.overshoot, limits.slack),
        })
    }

    /// The zones with endpoints of a pool that would be usable if their zones were not evacuated.
    pub(crate) fn usable_zones(&self, pool: &id::Pool) -> Vec<id::Zone> {
        let now = boot::now();
        let of_pool = |member: &&directory::Member| {
            member.registration.pool == *pool && self.accepts_work(member, now)
        };
        let mut zones: Vec<id::Zone> = self.directory.view(|view| {
            let members = view.members().iter().filter(of_pool);
            members.map(|m| m.registration.zone.clone()).collect()
        });
        zones.sort();
        zones.dedup();
        zones
    }

    /// Whether the VM is ready to receive requests.
    #[must_use]
    pub fn ready(&self) -> bool {
        let endpoints_read = self.directory.proven_at().is_some();
        let leaving = self.lifetime.is_leaving();
        let fresh = [
            self.age_freshness(READY_SHARE),
            self.change_freshness(READY_SHARE),
        ];
        let fresh = fresh.iter().all(|known| *known == Freshness::Fresh);
        endpoints_read && !leaving && self.table().is_some() && fresh && self.knows_rollouts()
    }

    /// Whether this VM knows of each roll-out what the others could tell it. A VM that serves before it does
    /// sends sessions to other versions than their last ones.
    fn knows_rollouts(&self) -> bool {
        let orders = self.operators.view(|view| view.orders().to_vec());
        self.rollouts(|rollouts| {
            let accepted = orders.iter().all(|order| rollouts.has_order(order));
            accepted && rollouts.is_informed(boot::now())
        })
    }

    /// Whether this VM reads the log itself and is answered: as the reader, alone, or because its last proof
    /// is too old although it is served.
    #[must_use]
    pub fn reads_log(&self) -> bool {
        self.operators.is_reading()
    }

    /// The record by which other VMs discover this one, without roll-outs.
    #[must_use]
    pub fn vm_record(&self) -> VmRecord {
        VmRecord {
            zone: self.config.zone.clone(),
            address: self.config.peer_listen,
            seconds_per_token: self.prefill_seconds_per_token(),
            rollouts: Vec::new(),
        }
    }

    /// Appends this VM's record to the topic of the whole fleet. Returns whether the append is known to have succeeded.
    pub async fn publish(&self, record: &VmRecord, log: &impl Log) -> bool {
        self.calls.count(Topic::Fleet, Reason::Announcement);
        record.publish(&self.config.node, Topic::Fleet, log).await
    }

    /// Appends this VM's record, without roll-outs, to the topic by which the VMs of its zone discover each
    /// other. Returns whether the append is known to have succeeded.
    pub async fn announce(&self, log: &impl Log) -> bool {
        let topic = Topic::Vms(self.config.partition(&self.config.zone));
        self.calls.count(topic, Reason::Announcement);
        let record = self.vm_record();
        record.publish(&self.config.node, topic, log).await
    }

    /// Prefill time of each model, in seconds per token, by the hash of its name.
    fn prefill_seconds_per_token(&self) -> Vec<(u64, f64)> {
        let pools = self.scheduler.pools();
        pools
            .iter()
            .flat_map(|(_, pool)| pool.seconds_per_token())
            .collect()
    }

    /// Reads or changes the roll-outs. `act` runs under a lock and must be short.
    pub fn rollouts<T>(&self, act: impl FnOnce(&mut Rollouts) -> T) -> T {
        let mut rollouts = self.rollouts.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut rollouts)
    }

    /// The current time by the clock that deadlines use.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.clock.now()
    }
}
