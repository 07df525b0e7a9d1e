//! A small but complete platform in one process, with the names of one of the two deployments.
//!
//! All addresses are derived from one base port, so that a script can start the other programs:
//!
//! | port | listener |
//! |---|---|
//! | base + 0 | log |
//! | base + 1 | VM list |
//! | base + 2 | weight store |
//! | base + 3 | rating service |
//! | base + 10 to 21 | model engines |
//! | base + 30 to 32 | replicas of the plain service |
//! | base + 50 to 55 | entry VMs, for callers |
//! | base + 60 to 65 | entry VMs, for operators |
//! | base + 70 to 75 | entry VMs, for peers (UDP and TCP) |
//! | base + 80 to 82 | controls, for operators |

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::str::FromStr;

use compact_str::CompactString;
use compact_str::format_compact;
use pimento_units::Share;
use pimento_units::id;
use pimento_wire::platform::Role;
use pimento_wire::platform::Vm;
use snafu::ResultExt;
use snafu::Snafu;
use tokio_util::sync::CancellationToken;

use crate::engine;
use crate::engine::Engine;
use crate::log;
use crate::log::Log;
use crate::rating;
use crate::rating::Rater;
use crate::server::Running;
use crate::service;
use crate::service::Service;
use crate::vms;
use crate::vms::Vms;
use crate::weights;
use crate::weights::Weights;

// Offsets from the base port, as in the table above.
const ENGINES: u16 = 10;
const SERVICES: u16 = 30;
const ENTRIES: u16 = 50;
const OPERATORS: u16 = 60;
const PEERS: u16 = 70;
const CONTROLS: u16 = 80;
/// Number of ports reserved for a platform, starting at its base port.
pub const PORTS: u16 = 90;

const ENGINE_COUNT: u16 = 12;
const SERVICE_COUNT: u16 = 3;
const ENTRY_COUNT: u16 = 6;
const ZONE_COUNT: u16 = 3;

/// Versions with the share of good answers that the engines give, in millionths. The operators'
/// files expect the same shares.
const VERSIONS: [(&str, u32); 5] = [
    ("pimento-base@1", 930_000),
    ("pimento-base@2", 940_000),
    ("pimento-large@1", 980_000),
    ("pimento-mini@1", 840_000),
    ("pimento-mini@2", 860_000),
];
/// The version that no engine has loaded at the start, because trials roll it out.
const NOT_LOADED: &str = "pimento-mini@2";

/// One of the two deployments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// The distributor in Kigali.
    Nyabarongo,
    /// The fish-farm crews in South Bohemia.
    Rybnikar,
}

/// The text is not the name of a deployment.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is neither nyabarongo nor rybnikar"))]
pub struct UnknownDeployment {
    text: CompactString,
}

impl Deployment {
    /// The deployment's zones.
    #[must_use]
    pub const fn zones(self) -> [&'static str; 3] {
        match self {
            Self::Nyabarongo => ["kig-gikondo", "kig-kicukiro", "kig-remera"],
            Self::Rybnikar => ["trebon", "hluboka", "vodnany"],
        }
    }

    /// The deployment's pool of model engines.
    #[must_use]
    pub const fn pool(self) -> &'static str {
        match self {
            Self::Nyabarongo => "pimento-llm",
            Self::Rybnikar => "pimento-pool",
        }
    }

    /// The deployment's plain service, which is also the name of the pool of its replicas.
    #[must_use]
    pub const fn service(self) -> &'static str {
        match self {
            Self::Nyabarongo => "order-desk",
            Self::Rybnikar => "rota-app",
        }
    }
}

impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Nyabarongo => "nyabarongo",
            Self::Rybnikar => "rybnikar",
        })
    }
}

impl FromStr for Deployment {
    type Err = UnknownDeployment;
    fn from_str(text: &str) -> Result<Self, UnknownDeployment> {
        match text {
            "nyabarongo" => Ok(Self::Nyabarongo),
            "rybnikar" => Ok(Self::Rybnikar),
            _ => Err(UnknownDeployment { text: text.into() }),
        }
    }
}

/// Why a platform could not be started.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A name of the deployment is not a valid identifier.
    #[snafu(display("{source}"))]
    Name {
        /// The error.
        source: id::Error,
    },
    /// An address can't be bound.
    #[snafu(display("can't listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
}

/// The configuration of a platform.
#[derive(Debug, Clone)]
pub struct Config {
    /// The deployment whose names are used.
    pub deployment: Deployment,
    /// The first port on 127.0.0.1; with 0, each stand-in uses any free port.
    pub base: u16,
    /// Seed for drawing grades, gaps and noise.
    pub seed: u64,
    /// Settings of every engine, except for seed and quality.
    pub engine: engine::Settings,
    /// Settings of every replica of the plain service.
    pub service: service::Settings,
}

/// A platform that runs until its token is cancelled.
#[derive(Debug)]
pub struct Platform {
    /// The log.
    pub log: Running<Log>,
    /// The VM list, which contains engines, services and entry VMs.
    pub vms: Running<Vms>,
    /// The weight store.
    pub weights: Running<Weights>,
    /// The rating service.
    pub rater: Running<Rater>,
    /// The model engines.
    pub engines: Vec<Running<Engine>>,
    /// The replicas of the plain service.
    pub services: Vec<Running<Service>>,
}

/// Starts a platform.
///
/// # Errors
///
/// If a port can't be bound.
pub async fn start(config: &Config, token: &CancellationToken) -> Result<Platform, Error> {
    let engines = start_engines(config, token).await?;
    let services = start_services(config, token).await?;
    let listed = list_vms(config, &engines, &services)?;
    let address = config.address(0);
    let log = log::Config {
        listen: address,
        ..log::Config::default()
    };
    let log = log::start(log, token.clone())
        .await
        .context(BindSnafu { address })?;
    let address = config.address(1);
    let vms = vms::Config {
        listen: address,
        vms: listed,
        ..vms::Config::default()
    };
    let vms = vms::start(vms, token.clone())
        .await
        .context(BindSnafu { address })?;
    let address = config.address(2);
    let weights = weights::Config {
        listen: address,
        ..weights::Config::default()
    };
    let weights = weights::start(weights, token.clone())
        .await
        .context(BindSnafu { address })?;
    let address = config.address(3);
    let mut rater = rating::Config {
        listen: address,
        ..rating::Config::default()
    };
    rater.settings.seed = config.seed;
    let rater = rating::start(rater, token.clone())
        .await
        .context(BindSnafu { address })?;
    Ok(Platform {
        log,
        vms,
        weights,
        rater,
        engines,
        services,
    })
}

impl Config {
    fn address(&self, offset: u16) -> SocketAddr {
        let port = match self.base {
            0 => 0,
            base => base.saturating_add(offset),
        };
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn zone(&self, number: u16) -> &'static str {
        self.deployment.zones()[usize::from(number % ZONE_COUNT)]
    }
}

async fn start_engines(
    config: &Config,
    token: &CancellationToken,
) -> Result<Vec<Running<Engine>>, Error> {
    let versions: Result<Vec<_>, _> = VERSIONS
        .iter()
        .filter(|(version, _)| *version != NOT_LOADED)
        .map(|(version, _)| id::Version::try_from(*version))
        .collect();
    let versions = versions.context(NameSnafu)?;
    let mut running = Vec::new();
    for number in 0..ENGINE_COUNT {
        let address = config.address(ENGINES + number);
        let name = format!("{}-{number}", config.deployment.pool());
        let name: id::Endpoint = name.parse().context(NameSnafu)?;
        let mut engine = engine::Config::new(name, versions.clone());
        engine.listen = address;
        engine.settings = config.engine.clone();
        engine.settings.seed = config.seed;
        engine.settings.quality = qualities().context(NameSnafu)?;
        let engine = engine::start(engine, token.clone())
            .await
            .context(BindSnafu { address })?;
        running.push(engine);
    }
    Ok(running)
}

fn qualities() -> Result<Vec<engine::Quality>, id::Error> {
    let quality = |(version, share): &(&str, u32)| {
        Ok(engine::Quality {
            version: id::Version::try_from(*version)?,
            share: Share::from_parts(*share),
        })
    };
    VERSIONS.iter().map(quality).collect()
}

async fn start_services(
    config: &Config,
    token: &CancellationToken,
) -> Result<Vec<Running<Service>>, Error> {
    let mut running = Vec::new();
    for number in 0..SERVICE_COUNT {
        let address = config.address(SERVICES + number);
        let name = format!("{}-{number}", config.deployment.service());
        let mut service = service::Config::new(name.parse().context(NameSnafu)?);
        service.listen = address;
        service.settings = config.service.clone();
        let service = service::start(service, token.clone())
            .await
            .context(BindSnafu { address })?;
        running.push(service);
    }
    Ok(running)
}

fn list_vms(
    config: &Config,
    engines: &[Running<Engine>],
    services: &[Running<Service>],
) -> Result<Vec<Vm>, Error> {
    let mut vms = Vec::new();
    let pool: id::Pool = config.deployment.pool().parse().context(NameSnafu)?;
    for (number, engine) in (0..).zip(engines) {
        let name = format_compact!("{pool}-{number}");
        let role = Role::Engine(pool.clone());
        vms.push(vm(config, number, name, engine.address, role)?);
    }
    let pool: id::Pool = config.deployment.service().parse().context(NameSnafu)?;
    for (number, service) in (0..).zip(services) {
        let name = format_compact!("{pool}-{number}");
        let role = Role::Service(pool.clone());
        vms.push(vm(config, number, name, service.address, role)?);
    }
    // With base port 0, the addresses of entry VMs are not known yet.
    let entries = if config.base == 0 { 0 } else { ENTRY_COUNT };
    for number in 0..entries {
        let name = format_compact!("entry-{number}");
        let address = config.address(PEERS + number);
        vms.push(vm(config, number, name, address, Role::Entry)?);
    }
    Ok(vms)
}

fn vm(
    config: &Config,
    number: u16,
    name: CompactString,
    address: SocketAddr,
    role: Role,
) -> Result<Vm, Error> {
    Ok(Vm {
        name,
        zone: config.zone(number).parse().context(NameSnafu)?,
        address: format_compact!("{address}"),
        role,
        leaving: false,
    })
}

/// The addresses of a platform as `KEY=value` lines, for scripts.
#[must_use]
pub fn layout(deployment: Deployment, base: u16) -> String {
    let one = |offset: u16| format!("127.0.0.1:{}", base.saturating_add(offset));
    let many = |first: u16, count: u16| {
        let all: Vec<String> = (first..first + count).map(one).collect();
        all.join(",")
    };
    let lines = [
        ("LOG", one(0)),
        ("VMS", one(1)),
        ("WEIGHTS", one(2)),
        ("RATER", one(3)),
        ("ENGINES", many(ENGINES, ENGINE_COUNT)),
        ("SERVICES", many(SERVICES, SERVICE_COUNT)),
        ("ENTRIES", many(ENTRIES, ENTRY_COUNT)),
        ("OPERATORS", many(OPERATORS, ENTRY_COUNT)),
        ("PEERS", many(PEERS, ENTRY_COUNT)),
        ("CONTROLS", many(CONTROLS, ZONE_COUNT)),
        ("ZONES", deployment.zones().join(",")),
        ("POOL", deployment.pool().to_owned()),
        ("SERVICE", deployment.service().to_owned()),
    ];
    let lines = lines.map(|(key, value)| format!("{key}={value}\n"));
    lines.concat()
}
