//! The command line of `pimento-standin`.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use pimento_units::id;
use snafu::Snafu;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

use crate::deployment;
use crate::deployment::Deployment;
use crate::engine;
use crate::rating;
use crate::service;
use crate::settings;
use crate::settings::Findings;
use crate::settings::flag;
use crate::vms;
use crate::weights;

/// Exit code for invalid settings, invalid files and wrong usage.
pub const EXIT_USAGE: u8 = 2;

/// Base port of the demo, outside the usual range of ephemeral ports for outgoing connections.
const DEFAULT_BASE: &str = "21000";

/// Runs the program.
#[must_use]
pub fn main() -> ExitCode {
    let matches = command().get_matches();
    let job = match Job::try_from(&matches) {
        Ok(job) => job,
        Err(findings) => {
            for finding in findings.lines() {
                eprintln!("pimento-standin: {finding}");
            }
            return ExitCode::from(EXIT_USAGE);
        }
    };
    settings::log_to_stderr(&matches);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("standin: can't start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(job)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The definition of the command line.
#[must_use]
pub fn command() -> Command {
    let single = |name: &'static str, about: &'static str| {
        Command::new(name).about(about).arg(listen()).arg(flag(
            "settings",
            "PIMENTO_STANDIN_SETTINGS",
            "Settings as JSON; omitted fields keep their defaults",
        ))
    };
    let name = || {
        flag("name", "PIMENTO_STANDIN_NAME", "Name of this endpoint").default_value("endpoint-0")
    };
    Command::new("pimento-standin")
        .about("Stand-ins of the platform's services and of endpoints, for tests and trials")
        .long_about(
            "Stand-ins of the platform's services and of endpoints, for tests and trials. Each keeps \
            its state in memory, accepts a fault table at PUT /faults and settings at PUT /settings, \
            and returns its counters at GET /stats.",
        )
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(settings::log_format())
        .subcommand(single("log", "The append-only log"))
        .subcommand(
            single("vm-list", "The VM list, which lags behind")
                .arg(flag("vms", "PIMENTO_STANDIN_VMS", "The list as JSON, in the format of PUT /vms")),
        )
        .subcommand(single("weights", "The rate-limited weight store"))
        .subcommand(single("rater", "The service that rates answers"))
        .subcommand(
            single("engine", "A model engine")
                .arg(name())
                .arg(flag("versions", "PIMENTO_STANDIN_VERSIONS", "Versions loaded, comma-separated"))
                .arg(
                    flag("incarnation", "PIMENTO_STANDIN_INCARNATION", "Incarnation number")
                        .default_value("1"),
                ),
        )
        .subcommand(single("service", "A replica of a plain service").arg(name()))
        .subcommand(
            with_deployment(Command::new("all").about("A small but complete platform in one process"))
                .arg(flag("seed", "PIMENTO_STANDIN_SEED", "Seed for drawing grades, gaps and noise").default_value("1"))
                .arg(flag("engine-settings", "PIMENTO_STANDIN_ENGINE_SETTINGS", "Settings of every engine as JSON"))
                .arg(flag("service-settings", "PIMENTO_STANDIN_SERVICE_SETTINGS", "Settings of every replica of the plain service as JSON")),
        )
        .subcommand(with_deployment(
            Command::new("layout").about("Prints the addresses of `all` as KEY=value lines"),
        ))
}

fn listen() -> Arg {
    flag(
        "listen",
        "PIMENTO_STANDIN_LISTEN",
        "Address to listen on; port 0 for any free port",
    )
    .default_value("127.0.0.1:0")
}

fn with_deployment(command: Command) -> Command {
    command
        .arg(
            flag(
                "deployment",
                "PIMENTO_STANDIN_DEPLOYMENT",
                "nyabarongo or rybnikar",
            )
            .default_value("nyabarongo"),
        )
        .arg(
            flag(
                "port-base",
                "PIMENTO_STANDIN_PORT_BASE",
                "First of 90 ports on 127.0.0.1",
            )
            .default_value(DEFAULT_BASE),
        )
}

/// The command to run.
#[derive(Debug)]
enum Job {
    Log(crate::log::Config),
    Vms(vms::Config),
    Weights(weights::Config),
    Rater(rating::Config),
    Engine(engine::Config),
    Service(service::Config),
    All(deployment::Config),
    Layout(Deployment, u16),
}

impl TryFrom<&ArgMatches> for Job {
    type Error = Findings;

    fn try_from(matches: &ArgMatches) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let job = matches
            .subcommand()
            .and_then(|(name, matches)| job(name, matches, &mut findings));
        match job {
            Some(job) if findings.lines().is_empty() => Ok(job),
            _ => Err(findings),
        }
    }
}

fn job(name: &str, matches: &ArgMatches, findings: &mut Findings) -> Option<Job> {
    if name == "layout" || name == "all" {
        return platform(name, matches, findings);
    }
    let listen: Option<SocketAddr> = findings.value(matches, "listen");
    let listen = listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let job = match name {
        "log" => Job::Log(crate::log::Config {
            listen,
            settings: findings.json(matches, "settings"),
        }),
        "vm-list" => {
            let list: pimento_wire::platform::Vms = findings.json(matches, "vms");
            Job::Vms(vms::Config {
                listen,
                settings: findings.json(matches, "settings"),
                vms: list.vms,
            })
        }
        "weights" => Job::Weights(weights::Config {
            listen,
            settings: findings.json(matches, "settings"),
        }),
        "rater" => Job::Rater(rating::Config {
            listen,
            settings: findings.json(matches, "settings"),
        }),
        "engine" => {
            let versions: Vec<id::Version> = findings.list(matches, "versions");
            let incarnation = findings.value(matches, "incarnation");
            let settings = findings.json(matches, "settings");
            let mut config = engine::Config::new(findings.value(matches, "name")?, versions);
            config.listen = listen;
            config.incarnation = incarnation?;
            config.settings = settings;
            Job::Engine(config)
        }
        "service" => {
            let settings = findings.json(matches, "settings");
            let mut config = service::Config::new(findings.value(matches, "name")?);
            config.listen = listen;
            config.settings = settings;
            Job::Service(config)
        }
        _ => return None,
    };
    Some(job)
}

fn platform(name: &str, matches: &ArgMatches, findings: &mut Findings) -> Option<Job> {
    let deployment = findings.value(matches, "deployment");
    let base: Option<u16> = findings.value(matches, "port-base");
    if base.is_some_and(|base| base > u16::MAX - deployment::PORTS) {
        findings.add("port-base", "too few ports above it");
    }
    if name == "layout" {
        return Some(Job::Layout(deployment?, base?));
    }
    let seed = findings.value(matches, "seed");
    // The operators' files of both deployments declare this for their model pools.
    let fenced = engine::Settings {
        fencing: engine::Fencing::Refuses,
        ..engine::Settings::default()
    };
    let engine = findings.overlay(matches, "engine-settings", fenced);
    let service = findings.json(matches, "service-settings");
    Some(Job::All(deployment::Config {
        deployment: deployment?,
        base: base?,
        seed: seed?,
        engine,
        service,
    }))
}

/// Why a stand-in failed.
#[derive(Debug, Snafu)]
enum Error {
    /// A socket could not be bound or a signal handler could not be installed.
    #[snafu(context(false), display("{source}"))]
    System {
        /// The system's error.
        source: io::Error,
    },
    /// The platform could not be started.
    #[snafu(context(false), display("{source}"))]
    Platform {
        /// The error.
        source: deployment::Error,
    },
}

async fn run(job: Job) -> Result<(), Error> {
    let token = CancellationToken::new();
    let child = token.clone();
    let address = match job {
        Job::Log(config) => crate::log::start(config, child).await?.address,
        Job::Vms(config) => vms::start(config, child).await?.address,
        Job::Weights(config) => weights::start(config, child).await?.address,
        Job::Rater(config) => rating::start(config, child).await?.address,
        Job::Engine(config) => engine::start(config, child).await?.address,
        Job::Service(config) => service::start(config, child).await?.address,
        Job::All(config) => deployment::start(&config, &child).await?.log.address,
        Job::Layout(deployment, base) => {
            print!("{}", deployment::layout(deployment, base));
            return Ok(());
        }
    };
    // Scripts wait for this line on standard output and read the port from it.
    println!("READY={address}");
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    token.cancel();
    Ok(())
}
