//! Settings from flags and environment variables, validated together.

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

/// A setting with its flag, environment variable, default and help text.
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
        "This VM's name, unique to one incarnation of the VM",
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
        "Operators' addresses of the entry VMs, separated by commas, for evidence on roll-outs",
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
        "Interval between a controller's passes",
    ),
    setting("lease", "PIMENTO_LEASE", Some("15s"), "Duration of a lease"),
    setting(
        "lease-margin",
        "PIMENTO_LEASE_MARGIN",
        Some("2s"),
        "How long before the end of a lease its holder stops",
    ),
    setting(
        "order-flight",
        "PIMENTO_ORDER_FLIGHT",
        Some("30s"),
        "Maximum time that an order may take; a successor waits for it where engines ignore fencing numbers",
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
        "Maximum number of versions that an engine holds",
    ),
    setting(
        "weights-interval",
        "PIMENTO_WEIGHTS_INTERVAL",
        Some("10s"),
        "Interval between calls to the weight store",
    ),
    setting(
        "weights-burst",
        "PIMENTO_WEIGHTS_BURST",
        Some("2"),
        "Number of calls to the weight store that may come in a burst",
    ),
    setting(
        "weights-timeout",
        "PIMENTO_WEIGHTS_TIMEOUT",
        Some("5m"),
        "Timeout of calls to the weight store",
    ),
    setting(
        "timeout",
        "PIMENTO_PLATFORM_TIMEOUT",
        Some("2s"),
        "Timeout of other calls to the platform and to entry VMs",
    ),
    setting(
        "log-format",
        "PIMENTO_LOG_FORMAT",
        Some("text"),
        "Format of log lines: text or json",
    ),
    setting(
        "log-level",
        "PIMENTO_LOG_LEVEL",
        Some("info"),
        "Minimum level of log lines: error, warn, info, debug or trace",
    ),
];

/// The command-line definition.
#[must_use]
pub fn command() -> Command {
    let command = Command::new("pimento-control")
        .about("Holds leases, advances roll-outs and sends orders to engines")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help("Exit codes: 0 stopped by a signal, 1 failed, 2 invalid settings")
        .arg(
            Arg::new("print-config")
                .long("print-config")
                .action(ArgAction::SetTrue)
                .help("Print the effective settings and exit"),
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

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

impl FromStr for LogFormat {
    type Err = &'static str;
    fn from_str(text: &str) -> Result<Self, &'static str> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("must be text or json"),
        }
    }
}

/// Validated settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// This VM.
    pub node: id::Node,
    /// Its zone.
    pub zone: id::Zone,
    /// Address of the platform's log.
    pub log_address: SocketAddr,
    /// Address of the platform's list of VMs.
    pub vms_address: SocketAddr,
    /// Address of the platform's weight store.
    pub weights_address: SocketAddr,
    /// Operators' addresses of the entry VMs.
    pub operators: Vec<SocketAddr>,
    /// Address that this program serves operators on.
    pub operators_listen: SocketAddr,
    /// Interval between a controller's passes.
    pub period: Duration,
    /// Duration and margin of a lease.
    pub lease: lease::Config,
    /// Timeout of an order to an engine, including its response.
    pub order_timeout: Duration,
    /// How long a withdrawn version stays loaded.
    pub drain: Duration,
    /// Maximum number of versions that an engine holds.
    pub max_versions: usize,
    /// Interval between calls to the weight store.
    pub fetch_interval: Duration,
    /// Number of calls to the weight store that may come in a burst.
    pub fetch_burst: u32,
    /// Timeout of calls to the weight store.
    pub fetch_timeout: Duration,
    /// Timeout of other calls to the platform and to entry VMs.
    pub platform_timeout: Duration,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Minimum level of log lines.
    pub log_level: LevelFilter,
}

/// All errors in the settings, one per line.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Findings(Vec<String>);

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl Error for Findings {}

impl Findings {
    fn push(&mut self, flag: &str, finding: impl fmt::Display) {
        self.0.push(format!("--{flag}: {finding}"));
    }

    fn parse<T: FromStr<Err: fmt::Display>>(&mut self, flag: &str, text: &str) -> Option<T> {
        text.parse()
            .map_err(|error| self.push(flag, format!("{error} (found {text:?})")))
            .ok()
    }

    fn value<T: FromStr<Err: fmt::Display>>(
        &mut self,
        matches: &ArgMatches,
        flag: &str,
    ) -> Option<T> {
        let text = matches.get_one::<String>(flag);
        if text.is_none() {
            self.push(flag, "is missing");
        }
        self.parse(flag, text?)
    }

    fn list<T: FromStr<Err: fmt::Display>>(&mut self, matches: &ArgMatches, flag: &str) -> Vec<T> {
        let texts = matches.get_one::<String>(flag).map_or("", String::as_str);
        let texts = texts.split(',').map(str::trim);
        let values = texts.filter(|text| !text.is_empty());
        values.filter_map(|text| self.parse(flag, text)).collect()
    }

    fn positive_duration(&mut self, matches: &ArgMatches, flag: &str) -> Option<Duration> {
        let span: Span = self.value(matches, flag)?;
        if span == Span::ZERO {
            self.push(flag, "must be longer than 0");
            return None;
        }
        Some(span.duration())
    }

    fn positive_count(&mut self, matches: &ArgMatches, flag: &str) -> Option<u32> {
        let count = self.value(matches, flag)?;
        if count == 0 {
            self.push(flag, "must be at least 1");
            return None;
        }
        Some(count)
    }

    /// Reads the lease's duration and margin. The margin must be at most half of the duration: a
    /// lease is renewed three times per duration, and a renewal must fit before the margin.
    fn lease(&mut self, matches: &ArgMatches) -> Option<lease::Config> {
        let span = self.positive_duration(matches, "lease");
        let margin = self.positive_duration(matches, "lease-margin");
        let (span, margin) = (span?, margin?);
        if margin * 2 > span {
            self.push("lease-margin", "must be at most half of --lease");
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
        let config = parse_all(matches, &mut findings);
        match config {
            Some(config) if findings.0.is_empty() => Ok(config),
            _ => Err(findings),
        }
    }
}

/// Reads every setting before unwrapping any, so that all findings are reported together.
fn parse_all(matches: &ArgMatches, findings: &mut Findings) -> Option<Config> {
    let node = findings.value(matches, "node");
    let zone = findings.value(matches, "zone");
    let log_address = findings.value(matches, "log-address");
    let vms_address = findings.value(matches, "vms-address");
    let weights_address = findings.value(matches, "weights-address");
    let operators = findings.list(matches, "operators");
    let operators_listen = findings.value(matches, "operators-listen");
    let period = findings.positive_duration(matches, "period");
    let lease = findings.lease(matches);
    let order_timeout = findings.positive_duration(matches, "order-flight");
    let drain: Option<Span> = findings.value(matches, "drain");
    let max_versions = findings.positive_count(matches, "engine-versions");
    let fetch_interval = findings.positive_duration(matches, "weights-interval");
    let fetch_burst = findings.positive_count(matches, "weights-burst");
    let fetch_timeout = findings.positive_duration(matches, "weights-timeout");
    let platform_timeout = findings.positive_duration(matches, "timeout");
    let log_format = findings.value(matches, "log-format");
    let log_level = findings.value(matches, "log-level");
    Some(Config {
        node: node?,
        zone: zone?,
        log_address: log_address?,
        vms_address: vms_address?,
        weights_address: weights_address?,
        operators,
        operators_listen: operators_listen?,
        period: period?,
        lease: lease?,
        order_timeout: order_timeout?,
        drain: drain?.duration(),
        max_versions: usize::try_from(max_versions?).unwrap_or(usize::MAX),
        fetch_interval: fetch_interval?,
        fetch_burst: fetch_burst?,
        fetch_timeout: fetch_timeout?,
        platform_timeout: platform_timeout?,
        log_format: log_format?,
        log_level: log_level?,
    })
}

/// The effective settings as `flag=value` lines. None of them is secret.
#[must_use]
pub fn print(matches: &ArgMatches) -> String {
    let line = |setting: &Setting| {
        let value = matches.get_one::<String>(setting.flag);
        format!("{}={}\n", setting.flag, value.map_or("", String::as_str))
    };
    SETTINGS.iter().map(line).collect()
}
