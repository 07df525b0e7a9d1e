//! The start of an entry VM: its state, and the tasks that keep it current.

use std::sync::Arc;
use std::sync::Mutex;

use pimento_scheduler::Clock;
use pimento_scheduler::Scheduler;
use pimento_serve::unread::Unread;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Node;
use crate::bodies::Bodies;
use crate::calls::LogCalls;
use crate::codec::Codec;
use crate::config::Config;
use crate::directory::Directory;
use crate::follow::Follower;
use crate::headers::HeaderCodec;
use crate::lifetime::Lifetime;
use crate::links::Links;
use crate::neighbours;
use crate::operators::Operators;
use crate::own_link::OwnLink;
use crate::poison;
use crate::poison::Blocklist;
use crate::pools;
use crate::retry_budget::RetryBudgets;
use crate::rollouts::Rollouts;
use crate::rollouts::controller;
use crate::topic::Log;
use crate::topic::Topic;
use crate::zone::ZoneReading;

impl<P: HeaderCodec + Codec, L: Log> Node<P, L> {
    /// Creates the state and starts the tasks that follow the log and exchange data with other VMs.
    pub fn start(config: Config, platform: P, log: L, token: &CancellationToken) -> Self {
        let zone = ZoneReading::starting(&config);
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
        let own_link = OwnLink::new(config.link, clock);
        let links = Arc::new(Links::new(config.zone.clone(), clock, own_link.clone()));
        tokio::spawn(own_link.clone().watch(token.clone()));
        let retry_budgets = RetryBudgets::new(config.bounds.retry_budget);
        let bounds = &config.bounds;
        let rollouts = Rollouts::new(bounds.exposure, bounds.session_timeout, rand::random());
        let bodies = Bodies::new(config.memory);
        let node = Self {
            config: Arc::new(config),
            platform,
            operators,
            directory,
            poison: Arc::default(),
            blocklist,
            scheduler: Scheduler::new(clock),
            departures: Arc::default(),
            absences: Arc::default(),
            announced: Arc::default(),
            long_prompt_sent: Arc::default(),
            retry_budgets: Arc::new(retry_budgets),
            cascade: Arc::default(),
            calls,
            metrics: Arc::default(),
            rollouts: Arc::new(Mutex::new(rollouts)),
            links,
            own_link,
            bodies,
            clock,
            lifetime: Lifetime::default(),
            response_tasks: TaskTracker::new(),
            unread: Unread::default(),
        };
        pools::start(&node, token.clone());
        poison::start(&node, log.clone(), token.clone());
        controller::start(&node, log.clone(), token.clone());
        neighbours::start(&node, log, zone, token.clone());
        node
    }
}
