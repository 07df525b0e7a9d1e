//! Settings: flags and environment, checked together.

use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use log::LevelFilter;
use pimento_coordination::lease;
use pimento_units::Span;
use pimento_units::id;

/// One setting: flag, environment variable, default, help.
struct Setting {
    flag: &'static str,
    env: &'static str,
    default: Option<&'static str>,
    help: &'static str,
}

const fn setting(
    flag: &'static str,
    env: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> Setting {
    Setting {
        flag,
        env,
        default,
        help,
    }
}

/// All settings, in the order of the help text.
const SETTINGS: [Setting; 19] = [
    setting(
        "node",
        "PIMENTO_NODE",
        None,
        "This VM's name, unique for one life of the VM",
    ),
    setting("zone", "PIMENTO_ZONE", None, "This VM's availability zone"),
    setting(
        "log-address",
        "PIMENTO_LOG_ADDRESS",
        None,
        "The platform's log, as IP:PORT",
    ),
    setting(
        "vms-address",
        "PIMENTO_VMS_ADDRESS",
        None,
        "The platform's list of VMs",
    ),
    setting(
        "weights-address",
        "PIMENTO_WEIGHTS_ADDRESS",
        None,
        "The platform's weight store",
    ),
    setting(
        "operators",
        "PIMENTO_OPERATORS",
        None,
        "Operators' addresses of the entry VMs, between commas, for evidence on roll-outs",
    ),
    setting(
        "operators-listen",
        "PIMENTO_CONTROL_OPERATORS_LISTEN",
        Some("127.0.0.1:9091"),
        "Where /live, /ready, /metrics and /state are served",
    ),
    setting(
        "period",
        "PIMENTO_CONTROL_PERIOD",
        Some("2s"),
        "Time between two passes",
    ),
    setting("lease", "PIMENTO_LEASE", Some("15s"), "Length of a lease"),
    setting(
        "lease-margin",
        "PIMENTO_LEASE_MARGIN",
        Some("2s"),
        "How long before its end a holder stops",
    ),
    setting(
        "order-flight",
        "PIMENTO_ORDER_FLIGHT",
        Some("30s"),
        "The longest time that an order may take; a successor waits it out where engines ignore fencing numbers",
    ),
    setting(
        "drain",
        "PIMENTO_DRAIN",
        Some("10m"),
        "How long a withdrawn version stays loaded",
    ),
    setting(
        "engine-versions",
        "PIMENTO_ENGINE_VERSIONS",
        Some("8"),
        "The most versions that an engine holds",
    ),
    setting(
        "weights-interval",
        "PIMENTO_WEIGHTS_INTERVAL",
        Some("10s"),
        "Time between two calls to the weight store",
    ),
    setting(
        "weights-burst",
        "PIMENTO_WEIGHTS_BURST",
        Some("2"),
        "Calls to the weight store that may come at once",
    ),
    setting(
        "weights-timeout",
        "PIMENTO_WEIGHTS_TIMEOUT",
        Some("5m"),
        "How long the weight store may take",
    ),
    setting(
        "timeout",
        "PIMENTO_PLATFORM_TIMEOUT",
        Some("2s"),
        "How long other calls to the platform and to entry VMs may take",
    ),
    setting(
        "log-format",
        "PIMENTO_LOG_FORMAT",
        Some("text"),
        "Form of log lines: text or json",
    ),
    setting(
        "log-level",
        "PIMENTO_LOG_LEVEL",
        Some("info"),
        "Least level of log lines: error, warn, info, debug or trace",
    ),
];

/// The command.
#[must_use]
pub fn command() -> Command {
    let command = Command::new("pimento-control")
        .about("Keeps leases, moves roll-outs on and gives orders to engines")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help("Exit codes: 0 ended as asked, 1 failed, 2 bad settings")
        .arg(
            Arg::new("print-config")
                .long("print-config")
                .action(ArgAction::SetTrue)
                .help("Print the settings in force and end"),
        );
    command.args(SETTINGS.iter().map(|setting| {
        let arg = Arg::new(setting.flag)
            .long(setting.flag)
            .env(setting.env)
            .value_name("VALUE")
            .help(setting.help);
        match setting.default {
            Some(default) => arg.default_value(default),
            None => arg,
        }
    }))
}

/// Form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// For machines, one object a line.
    Json,
}

impl FromStr for Format {
    type Err = &'static str;
    fn from_str(text: &str) -> Result<Self, &'static str> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("must be text or json"),
        }
    }
}

/// Checked settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// This VM.
    pub node: id::Node,
    /// Its zone.
    pub zone: id::Zone,
    /// The log.
    pub log: SocketAddr,
    /// The VM list.
    pub vms: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
    /// Entry VMs' operators' addresses.
    pub operators: Vec<SocketAddr>,
    /// Our own operators' address.
    pub listen: SocketAddr,
    /// Time between two passes.
    pub period: Duration,
    /// Length and margin of a lease.
    pub lease: lease::Config,
    /// The longest time that an order may take.
    pub flight: Duration,
    /// How long a withdrawn version stays loaded.
    pub drain: Duration,
    /// The most versions that an engine holds.
    pub room: usize,
    /// Time between two calls to the weight store.
    pub interval: Duration,
    /// Calls to the weight store that may come at once.
    pub burst: u32,
    /// How long the weight store may take.
    pub fetch: Duration,
    /// How long other calls may take.
    pub timeout: Duration,
    /// Form of log lines.
    pub format: Format,
    /// Least level of log lines.
    pub level: LevelFilter,
}

/// All that is wrong with the settings, a line each.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Findings(Vec<String>);

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl Error for Findings {}

impl Findings {
    fn note(&mut self, flag: &str, finding: impl fmt::Display) {
        self.0.push(format!("--{flag}: {finding}"));
    }

    fn parse<T: FromStr<Err: fmt::Display>>(&mut self, flag: &str, text: &str) -> Option<T> {
        text.parse()
            .map_err(|error| self.note(flag, format!("{error} (found {text:?})")))
            .ok()
    }

    fn value<T: FromStr<Err: fmt::Display>>(
        &mut self,
        matches: &ArgMatches,
        flag: &str,
    ) -> Option<T> {
        let text = matches.get_one::<String>(flag);
        if text.is_none() {
            self.note(flag, "is missing");
        }
        self.parse(flag, text?)
    }

    fn list<T: FromStr<Err: fmt::Display>>(&mut self, matches: &ArgMatches, flag: &str) -> Vec<T> {
        let texts = matches.get_one::<String>(flag).map_or("", String::as_str);
        let texts = texts.split(',').map(str::trim);
        let values = texts.filter(|text| !text.is_empty());
        values.filter_map(|text| self.parse(flag, text)).collect()
    }

    fn positive(&mut self, matches: &ArgMatches, flag: &str) -> Option<Duration> {
        let span: Span = self.value(matches, flag)?;
        if span == Span::ZERO {
            self.note(flag, "must be more than no time");
            return None;
        }
        Some(span.duration())
    }

    fn count(&mut self, matches: &ArgMatches, flag: &str) -> Option<u32> {
        let count = self.value(matches, flag)?;
        if count == 0 {
            self.note(flag, "must be at least 1");
            return None;
        }
        Some(count)
    }

    /// A lease must outlast its margin, and three renewals must fit into the rest.
    fn lease(&mut self, matches: &ArgMatches) -> Option<lease::Config> {
        let span = self.positive(matches, "lease");
        let margin = self.positive(matches, "lease-margin");
        let (span, margin) = (span?, margin?);
        if margin * 2 > span {
            self.note("lease-margin", "must be at most half of --lease");
            return None;
        }
        Some(lease::Config {
            span: Span::from(span),
            margin,
        })
    }
}

impl TryFrom<&ArgMatches> for Config {
    type Error = Findings;

    fn try_from(matches: &ArgMatches) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let config = read(matches, &mut findings);
        match config {
            Some(config) if findings.0.is_empty() => Ok(config),
            _ => Err(findings),
        }
    }
}

/// Reads each setting before any is unwrapped, so that all findings come together.
fn read(matches: &ArgMatches, findings: &mut Findings) -> Option<Config> {
    let node = findings.value(matches, "node");
    let zone = findings.value(matches, "zone");
    let log = findings.value(matches, "log-address");
    let vms = findings.value(matches, "vms-address");
    let weights = findings.value(matches, "weights-address");
    let operators = findings.list(matches, "operators");
    let listen = findings.value(matches, "operators-listen");
    let period = findings.positive(matches, "period");
    let lease = findings.lease(matches);
    let flight = findings.positive(matches, "order-flight");
    let drain: Option<Span> = findings.value(matches, "drain");
    let room = findings.count(matches, "engine-versions");
    let interval = findings.positive(matches, "weights-interval");
    let burst = findings.count(matches, "weights-burst");
    let fetch = findings.positive(matches, "weights-timeout");
    let timeout = findings.positive(matches, "timeout");
    let format = findings.value(matches, "log-format");
    let level = findings.value(matches, "log-level");
    Some(Config {
        node: node?,
        zone: zone?,
        log: log?,
        vms: vms?,
        weights: weights?,
        operators,
        listen: listen?,
        period: period?,
        lease: lease?,
        flight: flight?,
        drain: drain?.duration(),
        room: usize::try_from(room?).unwrap_or(usize::MAX),
        interval: interval?,
        burst: burst?,
        fetch: fetch?,
        timeout: timeout?,
        format: format?,
        level: level?,
    })
}

/// The settings in force as `flag=value` lines. There is no secret among them.
#[must_use]
pub fn print(matches: &ArgMatches) -> String {
    let line = |setting: &Setting| {
        let value = matches.get_one::<String>(setting.flag);
        format!("{}={}\n", setting.flag, value.map_or("", String::as_str))
    };
    SETTINGS.iter().map(line).collect()
}
