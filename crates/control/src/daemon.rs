//! The running program: all controllers over the real clients, until it is asked to end.

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
use pimento_coordination::log;
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
use crate::leases::Keeper;
use crate::leases::Leases;
use crate::metrics::Metrics;
use crate::operators as site;
use crate::orders::Dial;
use crate::orders::Orders;
use crate::orders::Parts;
use crate::orders::Settings;
use crate::rollout;
use crate::rollout::Rollouts;

/// How long to wait at the end for the log to show that leases are given up.
const RELEASE: Duration = Duration::from_secs(3);

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
    /// Signals can't be had.
    #[snafu(display("can't wait for signals: {source}"))]
    Signal {
        /// The system's error.
        source: io::Error,
    },
    /// Threads can't be had.
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

/// Engines over shared connections.
#[derive(Debug)]
struct Engines(Pool);

impl Dial for Engines {
    type Engine = engine::Remote;

    fn dial(&self, address: SocketAddr) -> engine::Remote {
        engine::Remote::new(self.0.clone(), address)
    }
}

/// Two threads: the work is waiting, and control must leave the VM's cores to requests.
const THREADS: usize = 2;

/// Runs until SIGTERM or SIGINT.
///
/// # Errors
///
/// If threads, the address or signals can't be had.
pub fn run(config: Config) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
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
    // One line on standard output, so that a script can wait for it and learn the port.
    println!("READY={}", running.address);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    ::log::info!("control: asked to end");
    running.end().await;
    token.cancel();
    ::log::info!("control: ended");
    Ok(())
}

/// A running program.
#[derive(Debug)]
pub struct Running {
    /// The operators' address.
    pub address: SocketAddr,
    leases: Leases,
    setup: leases::Setup,
    work: CancellationToken,
    holding: CancellationToken,
    tasks: TaskTracker,
}

impl Running {
    /// Ends the controllers, then gives the leases up. An order that is on its way when this is
    /// called is dropped with its controller; the successor finds the engine's own word.
    pub async fn end(self) {
        self.work.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        leases::released(&self.leases, &self.setup, &self.holding, RELEASE).await;
    }
}

/// Starts everything; `token` ends the clients of the platform, after [`Running::end`].
///
/// # Errors
///
/// If the address can't be bound.
pub async fn start(config: Config, token: &CancellationToken) -> Result<Running, Error> {
    let address = config.listen;
    let listener = TcpListener::bind(address)
        .await
        .context(BindSnafu { address })?;
    let address = listener.local_addr().context(BindSnafu { address })?;
    let metrics = Metrics::new().context(MetricsSnafu)?;
    let log = log::Remote::new(config.log, config.timeout);
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
        work: token.child_token(),
        holding: token.child_token(),
        tasks: TaskTracker::new(),
    };
    let view = site::View {
        node: config.node.clone(),
        zone: config.zone.clone(),
        source: source.clone(),
        leases: running.leases.clone(),
        metrics: metrics.clone(),
        ending: running.work.clone(),
    };
    tokio::spawn(site::serve(listener, Arc::new(view), token.clone()));
    running.spawn(&config, &log, &source, &metrics);
    ::log::info!(
        "control: {} in {} serves operators on {address}",
        config.node,
        config.zone
    );
    Ok(running)
}

impl Running {
    fn spawn(&self, config: &Config, log: &log::Remote, source: &Source, metrics: &Metrics) {
        let keeper = Keeper::new(
            self.setup.clone(),
            self.leases.clone(),
            source.subscribe(),
            metrics.clone(),
            self.holding.clone(),
        );
        self.control(keeper, config, source, metrics);
        self.control(
            self.orders(config, source, metrics),
            config,
            source,
            metrics,
        );
        let entries = config
            .operators
            .iter()
            .map(|address| operators::Remote::new(*address, config.timeout))
            .collect();
        let parts = rollout::Parts {
            log: log.clone(),
            entries,
            turn: self.leases.clone(),
        };
        let rollouts = Rollouts::new(config.node.clone(), parts, source.subscribe());
        self.control(rollouts, config, source, metrics);
    }

    fn orders(
        &self,
        config: &Config,
        source: &Source,
        metrics: &Metrics,
    ) -> Orders<Leases, vms::Remote, weights::Remote, Engines> {
        let settings = Settings {
            zone: config.zone.clone(),
            flight: config.flight,
            drain: config.drain,
            room: config.room,
            interval: config.interval,
            burst: config.burst,
        };
        let parts = Parts {
            guard: self.leases.clone(),
            list: vms::Remote::new(config.vms, config.timeout),
            store: weights::Remote::new(config.weights, config.fetch),
            dial: Engines(Pool::default()),
        };
        Orders::new(settings, parts, source.subscribe(), metrics.clone())
    }

    fn control(
        &self,
        controller: impl controller::Controller,
        config: &Config,
        source: &Source,
        metrics: &Metrics,
    ) {
        let changed = source.subscribe();
        let (metrics, token) = (metrics.clone(), self.work.clone());
        let run = controller::run(controller, config.period, changed, metrics, token);
        self.tasks.spawn(run);
    }
}
