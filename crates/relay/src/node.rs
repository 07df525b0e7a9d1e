//! What all requests of an entry VM share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_policy::connect::ConnectTimeout;
use pimento_scheduler::Clock;
use pimento_scheduler::Scheduler;
use pimento_units::Moment;
use pimento_units::id;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::boot;
use crate::calls::LogCalls;
use crate::calls::Reason;
use crate::cascade;
use crate::codec::Codec;
use crate::config::Config;
use crate::directory::Directory;
use crate::fleet::VmRecord;
use crate::follow::Follower;
use crate::headers::HeaderCodec;
use crate::metrics::Metrics;
use crate::neighbours;
use crate::operators::Operators;
use crate::poison;
use crate::poison::Blocklist;
use crate::poison::Poison;
use crate::pools;
use crate::retry_budget::RetryBudgets;
use crate::rollouts::Rollouts;
use crate::rollouts::controller;
use crate::table::Table;
use crate::topic::Log;
use crate::topic::Topic;
use crate::zone::Zone;

/// Share of the bound on revoked keys that a configuration may be old and still let keys in, and of the
/// bound on changes that a known change may be missing from it and it still be acted on. A key
/// that was revoked since was revoked after the configuration was proven, so that a request which is
/// sent at any age below the bound came within it; the rest is for clocks of different speed.
const FRESH: f64 = 0.85;

/// The same share for calling itself ready: a VM that is cut off by itself should lose its callers to
/// the others of its zone before it has to refuse them.
const READY: f64 = 0.6;

/// What requests share. Clones share it.
#[derive(Debug)]
pub struct Node<P, L> {
    /// Settings.
    pub config: Arc<Config>,
    /// Heads and records as the platform writes them.
    pub platform: P,
    /// The operators' records.
    pub operators: Follower<Operators<P>, L>,
    /// The endpoints' records.
    pub directory: Follower<Directory<P>, L>,
    /// Requests under which endpoints ended, as this VM and others saw it.
    pub poison: Arc<Poison>,
    /// The same as it is on the log.
    pub blocklist: Follower<Blocklist, L>,
    /// Slots at endpoints.
    pub scheduler: Scheduler,
    /// Told when an endpoint names another limit than before.
    pub limit_changed: Arc<Notify>,
    /// The budget of repeats.
    pub retry_budgets: Arc<RetryBudgets>,
    /// What was seen of models' confidences.
    pub(crate) models: Arc<cascade::Book>,
    /// Calls of the log by why they were made.
    pub(crate) calls: LogCalls,
    /// Counters and histograms.
    pub(crate) metrics: Arc<Metrics>,
    rollouts: Arc<Mutex<Rollouts>>,
    /// What connections to endpoints take.
    connect_times: Arc<Mutex<ConnectTimeout>>,
    /// The process's clocks.
    pub clock: Clock,
    /// Set when the VM is to leave.
    pub leaving: CancellationToken,
    /// Streams that are still passed on.
    pub tasks: TaskTracker,
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
            limit_changed: Arc::clone(&self.limit_changed),
            retry_budgets: Arc::clone(&self.retry_budgets),
            models: Arc::clone(&self.models),
            calls: self.calls.clone(),
            metrics: Arc::clone(&self.metrics),
            rollouts: Arc::clone(&self.rollouts),
            connect_times: Arc::clone(&self.connect_times),
            clock: self.clock,
            leaving: self.leaving.clone(),
            tasks: self.tasks.clone(),
        }
    }
}

/// What a decision was based on, for log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Belief {
    /// Version of the configuration in force.
    pub configuration: Option<u64>,
    /// Its age.
    pub configuration_age: Option<Duration>,
    /// Age of the list of endpoints.
    pub endpoints_age: Option<Duration>,
}

/// A time in whole milliseconds.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Whether the configuration may be acted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Young enough.
    Fresh,
    /// Keys may have been revoked, or changes are known that were not read.
    Stale,
}

impl<P: HeaderCodec + Codec, L: Log> Node<P, L> {
    /// Starts to follow the log.
    pub fn start(config: Config, platform: P, log: L, token: &CancellationToken) -> Self {
        let zone = Zone::starting(&config);
        let calls = LogCalls::default();
        let timings = config.timings;
        let operators = Follower::start(
            log.clone(),
            Topic::Operators,
            timings.operators,
            zone.clone(),
            calls.clone(),
            Operators::new(platform.clone()),
            token.clone(),
        );
        let directory = Follower::start(
            log.clone(),
            Topic::Endpoints,
            timings.endpoints,
            zone.clone(),
            calls.clone(),
            Directory::new(platform.clone()),
            token.clone(),
        );
        let blocklist = Follower::start(
            log.clone(),
            Topic::Poison,
            timings.poison,
            zone.clone(),
            calls.clone(),
            Blocklist::default(),
            token.clone(),
        );
        let clock = Clock::default();
        let retry_budgets = RetryBudgets::new(config.bounds.retry_budget);
        let rollouts = Rollouts::new(config.bounds.exposure, config.bounds.session_timeout);
        let node = Self {
            config: Arc::new(config),
            platform,
            operators,
            directory,
            poison: Arc::default(),
            blocklist,
            scheduler: Scheduler::new(clock),
            limit_changed: Arc::default(),
            retry_budgets: Arc::new(retry_budgets),
            models: Arc::default(),
            calls,
            metrics: Arc::default(),
            rollouts: Arc::new(Mutex::new(rollouts)),
            connect_times: Arc::default(),
            clock,
            leaving: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        pools::start(&node, token.clone());
        poison::start(&node, log.clone(), token.clone());
        controller::start(&node, log.clone(), token.clone());
        neighbours::start(&node, log, zone, token.clone());
        node
    }

    /// The configuration in force; none before the first was read.
    #[must_use]
    pub fn table(&self) -> Option<Arc<Table>> {
        self.operators.view(Operators::table)
    }

    /// What decisions are based on now.
    #[must_use]
    pub fn belief(&self) -> Belief {
        Belief {
            configuration: self.table().map(|table| table.version()),
            configuration_age: self.operators.age(),
            endpoints_age: self.directory.age(),
        }
    }

    /// Whether keys may be let in.
    #[must_use]
    pub fn freshness(&self) -> Freshness {
        self.within(FRESH)
    }

    /// Whether requests may be handled by the configuration at hand, with a key or without.
    ///
    /// A VM that nobody can tell of changes goes on by what it read last. One that was told of a
    /// change and could not read it knows better: past the bound on changes its callers would be
    /// answered as the operators no longer want, for as long as its way to the log is broken.
    #[must_use]
    pub fn current(&self) -> Freshness {
        self.caught_up(FRESH)
    }

    /// Whether no change has been known and not read for longer than a share of the bound on changes.
    fn caught_up(&self, share: f64) -> Freshness {
        let bound = self.config.bounds.config_apply.mul_f64(share);
        match self.operators.behind() {
            Some(behind) if behind > bound => Freshness::Stale,
            _ => Freshness::Fresh,
        }
    }

    /// Whether the configuration is younger than a share of the bound on revoked keys.
    fn within(&self, share: f64) -> Freshness {
        let Some(revoke) = self.config.bounds.revoke else {
            return Freshness::Fresh;
        };
        match self.operators.age() {
            Some(age) if age <= revoke.mul_f64(share) => Freshness::Fresh,
            _ => Freshness::Stale,
        }
    }

    /// Whether new work may be sent to an endpoint now.
    #[must_use]
    pub fn usable(&self, endpoint: &id::Endpoint) -> bool {
        let now = boot::now();
        self.directory.view(|view| view.is_usable(endpoint, now))
    }

    /// Whether the VM takes requests.
    #[must_use]
    pub fn ready(&self) -> bool {
        let read = self.directory.proven_at().is_some();
        let leaving = self.leaving.is_cancelled();
        let fresh = [self.within(READY), self.caught_up(READY)];
        let fresh = fresh.iter().all(|known| *known == Freshness::Fresh);
        read && !leaving && self.table().is_some() && fresh
    }

    /// Whether this VM reads the log by itself, for others or because nobody else's reads can be
    /// trusted.
    #[must_use]
    pub fn reads_log(&self) -> bool {
        self.operators.is_reading()
    }

    /// What this VM says of itself, without roll-outs.
    #[must_use]
    pub fn announcement(&self) -> VmRecord {
        VmRecord {
            zone: self.config.zone.clone(),
            address: self.config.peer_listen,
            seconds_per_token: self.paces(),
            rollouts: Vec::new(),
        }
    }

    /// Says a word on the log; whether that is known to have succeeded.
    pub async fn publish(&self, word: &VmRecord, log: &impl Log) -> bool {
        self.calls.count(Topic::Fleet, Reason::Announcement);
        word.publish(&self.config.node, log).await
    }

    /// How fast models read.
    fn paces(&self) -> Vec<(u64, f64)> {
        let pools = self.scheduler.pools();
        pools
            .iter()
            .flat_map(|(_, pool)| pool.seconds_per_token())
            .collect()
    }

    /// Looks at or changes the roll-outs. `act` runs under a lock and must be short.
    pub fn rollouts<T>(&self, act: impl FnOnce(&mut Rollouts) -> T) -> T {
        let mut rollouts = self.rollouts.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut rollouts)
    }

    /// Looks at or adds to what connections to endpoints take. `act` runs under a lock and must be short.
    pub fn connect_times<T>(&self, act: impl FnOnce(&mut ConnectTimeout) -> T) -> T {
        let mut times = self
            .connect_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        act(&mut times)
    }

    /// The moment now, on the clock of deadlines.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.clock.now()
    }
}
