//! The daemon: runs all controllers with the real clients until a signal asks it to stop.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pimento_coordination::Appender;
use pimento_coordination::Follower;
use pimento_coordination::appender;
use pimento_coordination::configuration;
use pimento_coordination::configuration::Source;
use pimento_coordination::lease::View;
use pimento_coordination::log as platform_log;
use pimento_coordination::operators;
use pimento_coordination::vms;
use pimento_coordination::weights;
use pimento_endpoint::client::Pool;
use pimento_endpoint::engine;
use pimento_ledger::Stream;
use pimento_units::Offset;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::config::Config;
use crate::controller;
use crate::leases;
use crate::leases::Leases;
use crate::leases::Manager;
use crate::metrics::Metrics;
use crate::operator_server;
use crate::orders::Connector;
use crate::orders::Dependencies;
use crate::orders::Orders;
use crate::orders::Settings;
use crate::rollout;
use crate::rollout::Rollouts;

/// How long the shutdown waits for the releases of the leases.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Why the program could not run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The operators' address can't be bound.
    #[snafu(display("can't listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The signal handlers can't be installed.
    #[snafu(display("can't install signal handlers: {source}"))]
    Signal {
        /// The system's error.
        source: io::Error,
    },
    /// The runtime's threads can't be started.
    #[snafu(display("can't start threads: {source}"))]
    Threads {
        /// The system's error.
        source: io::Error,
    },
    /// Metrics can't be registered.
    #[snafu(display("{source}"))]
    Metrics {
        /// The library's error.
        source: prometheus::Error,
    },
}

/// Connects to engines over one connection pool.
#[derive(Debug)]
struct Engines(Pool);

impl Connector for Engines {
    type Engine = engine::Remote;

    fn connect(&self, address: SocketAddr) -> engine::Remote {
        engine::Remote::new(self.0.clone(), address)
    }
}

/// The work is mostly waiting, and the VM's cores must stay free for requests.
const WORKER_THREADS: usize = 2;

/// Runs until SIGTERM or SIGINT.
///
/// # Errors
///
/// If the threads can't be started, the address can't be bound, signal handlers can't be installed
/// or the metrics can't be registered.
pub fn run(config: Config) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .context(ThreadsSnafu)?;
    runtime.block_on(serve(config))
}

async fn serve(config: Config) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;
    let token = CancellationToken::new();
    let running = start(config, &token).await?;
    // Scripts wait for this line on standard output and read the port from it.
    println!("READY={}", running.address);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("control: Shutting down after a signal.");
    running.shut_down().await;
    token.cancel();
    log::info!("control: Stopped.");
    Ok(())
}

/// A running program.
#[derive(Debug)]
pub struct Running {
    /// The operators' address.
    pub address: SocketAddr,
    leases: Leases,
    setup: leases::Setup,
    controllers_token: CancellationToken,
    leases_token: CancellationToken,
    tasks: TaskTracker,
}

impl Running {
    /// Stops the controllers, then releases the leases. An order in flight is dropped with its
    /// controller; the successor asks the engine what it holds.
    pub async fn shut_down(self) {
        self.controllers_token.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        leases::release(&self.leases, &self.leases_token, RELEASE_TIMEOUT).await;
    }
}

/// Starts all controllers. Cancel `token`, which stops the platform's clients, after
/// [`Running::shut_down`].
///
/// # Errors
///
/// If the address can't be bound or the metrics can't be registered.
pub async fn start(config: Config, token: &CancellationToken) -> Result<Running, Error> {
    let address = config.operators_listen;
    let listener = TcpListener::bind(address)
        .await
        .context(BindSnafu { address })?;
    let address = listener.local_addr().context(BindSnafu { address })?;
    let metrics = Metrics::new().context(MetricsSnafu)?;
    let log = platform_log::Remote::new(config.log_address, config.platform_timeout);
    let appender = Appender::start(log.clone(), appender::Config::default(), token.clone());
    let source = Source::start(
        log.clone(),
        appender.clone(),
        None,
        configuration::Config::default(),
        token.clone(),
    );
    let setup = leases::Setup {
        node: config.node.clone(),
        zone: config.zone.clone(),
        lease: config.lease,
        appender,
        follower: Follower::start(
            log.clone(),
            Stream::Leases,
            Offset(0),
            View::default(),
            token.clone(),
        ),
    };
    let running = Running {
        address,
        leases: Leases::new(config.zone.clone()),
        setup,
        controllers_token: token.child_token(),
        leases_token: token.child_token(),
        tasks: TaskTracker::new(),
    };
    let context = operator_server::Context {
        node: config.node.clone(),
        zone: config.zone.clone(),
        source: source.clone(),
        leases: running.leases.clone(),
        metrics: metrics.clone(),
        shutdown: running.controllers_token.clone(),
    };
    tokio::spawn(operator_server::serve(
        listener,
        Arc::new(context),
        token.clone(),
    ));
    running.spawn_all(&config, &log, &source, &metrics);
    log::info!(
        "control: {} in {} serves operators on {address}.",
        config.node,
        config.zone
    );
    Ok(running)
}

impl Running {
    fn spawn_all(
        &self,
        config: &Config,
        log: &platform_log::Remote,
        source: &Source,
        metrics: &Metrics,
    ) {
        let manager = Manager::new(
            self.setup.clone(),
            self.leases.clone(),
            source.subscribe(),
            metrics.clone(),
            self.leases_token.clone(),
        );
        self.spawn_controller(manager, config, source, metrics);
        self.spawn_controller(
            self.orders_controller(config, source, metrics),
            config,
            source,
            metrics,
        );
        let entry_vms = config
            .operators
            .iter()
            .map(|address| operators::Remote::new(*address, config.platform_timeout))
            .collect();
        let dependencies = rollout::Dependencies {
            log: log.clone(),
            entry_vms,
            lease: self.leases.clone(),
        };
        let rollouts = Rollouts::new(config.node.clone(), dependencies, source.subscribe());
        self.spawn_controller(rollouts, config, source, metrics);
    }

    fn orders_controller(
        &self,
        config: &Config,
        source: &Source,
        metrics: &Metrics,
    ) -> Orders<Leases, vms::Remote, weights::Remote, Engines> {
        let settings = Settings {
            zone: config.zone.clone(),
            order_timeout: config.order_timeout,
            drain: config.drain,
            max_versions: config.max_versions,
            fetch_interval: config.fetch_interval,
            fetch_burst: config.fetch_burst,
        };
        let dependencies = Dependencies {
            leases: self.leases.clone(),
            list: vms::Remote::new(config.vms_address, config.platform_timeout),
            store: weights::Remote::new(config.weights_address, config.fetch_timeout),
            connector: Engines(Pool::default()),
        };
        Orders::new(settings, dependencies, source.subscribe(), metrics.clone())
    }

    fn spawn_controller(
        &self,
        controller: impl controller::Controller,
        config: &Config,
        source: &Source,
        metrics: &Metrics,
    ) {
        let changed = source.subscribe();
        let (metrics, token) = (metrics.clone(), self.controllers_token.clone());
        let run = controller::run(controller, config.period, changed, metrics, token);
        self.tasks.spawn(run);
    }
}
