//! One entry VM: the state that all filters share, and the background tasks that update it.

use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use pimento_contract::Subject;
use pimento_contract::Value;
use pimento_contract::change;
use pimento_contract::version;
use pimento_coordination::Appender;
use pimento_coordination::Mesh;
use pimento_coordination::appender;
use pimento_coordination::bills;
use pimento_coordination::bills::Outbox;
use pimento_coordination::claims;
use pimento_coordination::claims::Claimer;
use pimento_coordination::configuration;
use pimento_coordination::grants;
use pimento_coordination::grants::Wallet;
use pimento_coordination::log::Remote;
use pimento_coordination::mesh;
use pimento_coordination::rating;
use pimento_coordination::vms;
use pimento_ledger::Stream;
use pimento_scheduler::Clock;
use pimento_scheduler::Scheduler;
use pimento_units::Moment;
use pimento_units::id;
use pimento_wire::frame;
use pimento_wire::platform::Role;
use pimento_wire::platform::Vms;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use uuid::Uuid;

use crate::answers::Cache;
use crate::config::Config;
use crate::end::End;
use crate::estimate;
use crate::evidence;
use crate::filter::identify;
use crate::filter::rate;
use crate::metrics::Metrics;
use crate::peers::CallHandler;
use crate::poison;
use crate::registry::poll;
use crate::registry::poll::Registry;
use crate::retries;
use crate::session;
use crate::state::Handle;

/// Interval at which the age of the configuration, departures and evidence are processed. A change
/// of the configuration is processed immediately.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// How long a new node waits for the claims stream before it accepts requests without it. The first
/// read of an empty stream returns after a second.
const CLAIMS_STARTUP_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for appending a proposed withdrawal to the log. Later evidence proposes it again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(30);

/// The state that the filters of one entry VM share.
#[derive(Debug)]
#[expect(missing_docs, reason = "each field is described by its type")]
pub struct Node {
    pub config: Config,
    pub clock: Clock,
    pub state: Handle,
    pub connections: pimento_endpoint::Pool,
    pub scheduler: Scheduler,
    pub registry: Registry,
    pub estimates: estimate::Estimator,
    pub evidence: evidence::Tracker,
    pub retries: retries::Tracker,
    pub poison: poison::Tracker,
    pub rater: Option<rating::Remote>,
    pub rater_health: rate::Health,
    pub session_key: session::Key,
    pub claimer: Claimer,
    pub outbox: Outbox,
    pub wallet: Wallet,
    pub answers: Cache,
    pub mesh: Mesh,
    /// Permits for memory of requests in flight, in units of [`identify::MEMORY_UNIT_BYTES`].
    pub request_memory: Arc<Semaphore>,
    pub metrics: Metrics,
    /// Tasks of requests in flight, and the work that remains after their responses.
    pub tasks: TaskTracker,
    /// Cancelled when shutdown begins: the node is no longer ready, and closes each connection
    /// after its next response.
    pub leaving: CancellationToken,
    pub end: End,
    appender: Appender,
    source: configuration::Source,
    weak: Weak<Node>,
}

impl Node {
    /// Starts the node's background tasks; they stop when `token` is cancelled.
    ///
    /// # Errors
    ///
    /// [`mesh::Error`] if the listener for peers can't be bound.
    pub async fn start(
        config: Config,
        token: &CancellationToken,
    ) -> Result<Arc<Self>, mesh::Error> {
        let clock = Clock::default();
        let log = Remote::new(config.log_address, config.platform_timeout);
        let appender = Appender::start(log.clone(), appender::Config::default(), token.clone());
        let (mesh, listener) = Mesh::bind(mesh_config(&config)?, token.clone()).await?;
        let source = configuration::Source::start(
            log.clone(),
            appender.clone(),
            Some(mesh.clone()),
            configuration::Config::default(),
            token.clone(),
        );
        let claims = claims::Config {
            window: config.claims_window,
            timeout: config.claim_timeout,
            ..claims::Config::default()
        };
        let node = &config.node;
        let claimer = Claimer::start(
            node.clone(),
            claims,
            log.clone(),
            appender.clone(),
            token.clone(),
        );
        let grants = grants::Config::default();
        let wallet = Wallet::start(node, grants, log, appender.clone(), token.clone());
        let outbox = Outbox::start(
            bills::Config::default(),
            mesh.clone(),
            appender.clone(),
            token.clone(),
        );
        let connections = pimento_endpoint::Pool::default();
        let scheduler = Scheduler::new(clock);
        let polling = poll::Config {
            zone: config.zone.clone(),
            zone_delay: config.zone_delay,
            interval: config.poll_interval,
            remote_interval: config.far_interval,
        };
        let registry = Registry::new(clock, polling, connections.clone(), scheduler.clone());
        let rater = config
            .rater_address
            .map(|address| rating::Remote::new(address, config.platform_timeout));
        let node = Arc::new_cyclic(|weak| Self {
            clock,
            state: Handle::new(clock),
            connections,
            scheduler,
            registry,
            estimates: estimate::Estimator::default(),
            evidence: evidence::Tracker::default(),
            retries: retries::Tracker::default(),
            poison: poison::Tracker::default(),
            rater,
            rater_health: rate::Health::default(),
            session_key: session::Key::derive(config.session_key.reveal()),
            claimer,
            outbox,
            wallet,
            answers: Cache::new(config.kept_bytes, config.claims_window),
            mesh,
            request_memory: Arc::new(Semaphore::new(
                config.request_memory / identify::MEMORY_UNIT_BYTES,
            )),
            metrics: Metrics::new(config.metric_customers),
            tasks: TaskTracker::new(),
            leaving: CancellationToken::new(),
            end: End::default(),
            appender,
            source,
            weak: weak.clone(),
            config,
        });
        listener.serve(CallHandler::new(&node));
        node.spawn_tasks(token);
        Ok(node)
    }

    fn spawn_tasks(self: &Arc<Self>, token: &CancellationToken) {
        let node = Arc::clone(self);
        let cancel = token.clone();
        tokio::spawn(async move { cancel.run_until_cancelled(node.run_updates()).await });
        let node = Arc::clone(self);
        let cancel = token.clone();
        tokio::spawn(async move {
            let list = vms::Remote::new(node.config.vms_address, node.config.platform_timeout);
            let on_list = |vms: &Vms| node.mesh.add_addresses(entry_addresses(vms));
            node.registry.run(list, on_list, cancel).await;
        });
    }

    /// A shared pointer to this node, for a task that outlives its request.
    #[must_use]
    pub fn to_arc(&self) -> Option<Arc<Self>> {
        self.weak.upgrade()
    }

    /// Whether the node accepts requests.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.state.ready() && self.claims_ready() && !self.leaving.is_cancelled()
    }

    /// Whether the claims stream has been read, or [`CLAIMS_STARTUP_TIMEOUT`] has passed since the
    /// start. Without the claims, calls that may not be repeated are refused. A log outage must not
    /// keep a new node from serving all other requests.
    fn claims_ready(&self) -> bool {
        let read = self.claimer.follower().caught_up();
        read || self.clock.now() > Moment::ZERO + CLAIMS_STARTUP_TIMEOUT
    }

    /// Number of live entry VMs, including this one.
    #[must_use]
    pub fn live_vms(&self) -> u32 {
        u32::try_from(self.mesh.peers().len() + 1).unwrap_or(u32::MAX)
    }

    /// The appender of this node, also for records that peers forward.
    #[must_use]
    pub const fn appender(&self) -> &Appender {
        &self.appender
    }

    /// The configuration stream.
    #[must_use]
    pub const fn source(&self) -> &configuration::Source {
        &self.source
    }

    /// Begins to leave: announces it to peers and stops being ready. Requests that have no answer at `end`
    /// get their final one then.
    pub fn leave(&self, end: Moment) {
        self.end.set(end);
        self.leaving.cancel();
        self.mesh.update_status(|own| own.leaving = true);
    }

    /// Updates configuration, departures, crash suspicions and quarantine in a loop.
    async fn run_updates(&self) {
        let mut changed = self.source.subscribe();
        loop {
            if self.source.ready() {
                self.state.replace(&self.source.current());
                self.state.confirm(self.source.age());
            }
            self.exchange_departures();
            self.receive_suspicions();
            self.review_evidence();
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep(UPDATE_INTERVAL) => {}
            }
        }
    }

    /// Merges departures announced by peers into the registry, and announces those of the registry.
    fn exchange_departures(&self) {
        self.registry.record_departures(self.mesh.departures());
        for departure in self.registry.departures() {
            self.mesh.announce_departure(departure);
        }
    }

    /// Quarantines versions that fail on the evidence, and proposes their withdrawal.
    fn review_evidence(&self) {
        let state = self.state.current();
        for (version, cause) in self.evidence.review(&state) {
            log::warn!("evidence: Quarantined {version} at this node: {cause:?}.");
            self.propose_withdrawal(&version);
        }
        let quarantined = self.evidence.quarantined();
        self.mesh.update_status(|own| own.quarantined = quarantined);
    }

    /// Proposes the withdrawal of a version through the log. If several nodes propose it, the first
    /// record wins. The proposal has no effect if an operator has changed the version meanwhile.
    fn propose_withdrawal(&self, version: &id::Version) {
        let state = self.state.current();
        let Some(known) = state.version(version) else {
            return;
        };
        let subject = Subject::Version(version.clone());
        let mut withdrawn = known.clone();
        withdrawn.status = version::Status::Withdrawn;
        let change = change::Entry::Change(change::Change {
            id: id::Record(Uuid::now_v7()),
            base: state.revision(&subject),
            subject,
            value: Some(Value::Version(withdrawn)),
            by: self.config.node.as_str().into(),
            at: self.clock.wall(),
        });
        let Ok(record) = serde_json::to_string(&change) else {
            return;
        };
        let appender = self.appender.clone();
        self.tasks.spawn(async move {
            let deadline = Instant::now() + PROPOSAL_TIMEOUT;
            let stream = Stream::Configuration;
            if let Err(error) = appender.append(stream, record, deadline).await {
                log::warn!("evidence: Can't propose a withdrawal: {error}.");
            }
        });
    }
}

/// The addresses of the entry VMs in the platform's list.
fn entry_addresses(vms: &Vms) -> impl Iterator<Item = std::net::SocketAddr> {
    let entries = vms.vms.iter().filter(|vm| vm.role == Role::Entry);
    entries.filter_map(|vm| vm.address.parse().ok())
}

fn mesh_config(config: &Config) -> Result<mesh::Config, mesh::Error> {
    let key = frame::Key::derive(config.peer_key.reveal());
    let node = config.node.clone();
    let mut settings = mesh::Settings::new(node, config.zone.clone(), config.peer_listen, key);
    settings.advertise = config.peer_advertise;
    settings.seeds.clone_from(&config.peers);
    settings.try_into()
}
