//! Settings: raw texts from flags and environment, and the checked [`Config`] made of them.

use std::fmt;
use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use pimento_units::Span;
use pimento_units::id;
use snafu::Snafu;

/// A setting: flag, environment variable, help, default.
struct Setting {
    flag: &'static str,
    env: &'static str,
    help: &'static str,
    default: Option<&'static str>,
    secret: bool,
}

const fn given(flag: &'static str, env: &'static str, help: &'static str) -> Setting {
    Setting {
        flag,
        env,
        help,
        default: None,
        secret: false,
    }
}

const fn preset(
    flag: &'static str,
    env: &'static str,
    help: &'static str,
    default: &'static str,
) -> Setting {
    Setting {
        flag,
        env,
        help,
        default: Some(default),
        secret: false,
    }
}

const fn secret(flag: &'static str, env: &'static str, help: &'static str) -> Setting {
    Setting {
        flag,
        env,
        help,
        default: None,
        secret: true,
    }
}

/// All settings, in the order of the help text.
const SETTINGS: &[Setting] = &[
    given(
        "node",
        "PIMENTO_NODE",
        "This entry VM's name, unique for one life of the VM",
    ),
    given("zone", "PIMENTO_ZONE", "This entry VM's zone"),
    preset(
        "listen",
        "PIMENTO_LISTEN",
        "Where callers reach it",
        "127.0.0.1:8080",
    ),
    preset(
        "operators-listen",
        "PIMENTO_OPERATORS_LISTEN",
        "Where operators reach it: /ready /live /metrics /state",
        "127.0.0.1:9090",
    ),
    preset(
        "peer-listen",
        "PIMENTO_PEER_LISTEN",
        "Where other entry VMs reach it, by UDP and TCP",
        "127.0.0.1:7070",
    ),
    preset(
        "peer-advertise",
        "PIMENTO_PEER_ADVERTISE",
        "Where other entry VMs reach it, if that is not where it listens",
        "",
    ),
    preset(
        "peers",
        "PIMENTO_PEERS",
        "Other entry VMs to begin with, as IP:PORT, separated by commas",
        "",
    ),
    given(
        "log-address",
        "PIMENTO_LOG_ADDRESS",
        "The platform's log, as IP:PORT",
    ),
    given(
        "vms-address",
        "PIMENTO_VMS_ADDRESS",
        "The platform's VM list, as IP:PORT",
    ),
    given(
        "rater-address",
        "PIMENTO_RATER_ADDRESS",
        "The rating service, as IP:PORT",
    ),
    secret(
        "peer-key",
        "PIMENTO_PEER_KEY",
        "Secret that all nodes of the deployment share, for their messages",
    ),
    secret(
        "session-key",
        "PIMENTO_SESSION_KEY",
        "Secret that all entry VMs share, for session tokens",
    ),
    preset(
        "session-life",
        "PIMENTO_SESSION_LIFE",
        "Age from which a session token's pins no longer count",
        "7d",
    ),
    preset(
        "grace",
        "PIMENTO_GRACE",
        "How long to go on accepting after SIGTERM, since the balancer lags",
        "5s",
    ),
    preset(
        "last-bound",
        "PIMENTO_LAST_BOUND",
        "When to cut requests that are still in flight after SIGTERM",
        "1h",
    ),
    preset(
        "max-body",
        "PIMENTO_MAX_BODY",
        "The largest request body, in bytes",
        "4194304",
    ),
    preset(
        "max-timeout",
        "PIMENTO_MAX_TIMEOUT",
        "The longest time that a caller may ask to wait",
        "1h",
    ),
    preset(
        "platform-timeout",
        "PIMENTO_PLATFORM_TIMEOUT",
        "How long a call to the platform may take",
        "2s",
    ),
    preset(
        "stall-timeout",
        "PIMENTO_STALL_TIMEOUT",
        "How long an engine may be silent in the middle of an answer",
        "10s",
    ),
    preset(
        "poll-interval",
        "PIMENTO_POLL_INTERVAL",
        "Time between two reads of the VM list and of the engines' load",
        "1s",
    ),
    preset(
        "zone-delay",
        "PIMENTO_ZONE_DELAY",
        "Delay to other zones beyond the own one's, there and back",
        "10ms",
    ),
    preset(
        "stale-bound",
        "PIMENTO_STALE_BOUND",
        "Age of the configuration from which versions in roll-out are not used",
        "1m",
    ),
    preset(
        "claims-window",
        "PIMENTO_CLAIMS_WINDOW",
        "Age up to which a request id may be claimed; less than the log's retention",
        "30m",
    ),
    preset(
        "claim-timeout",
        "PIMENTO_CLAIM_TIMEOUT",
        "How long a claim on the log may take before the call is refused",
        "3s",
    ),
    preset(
        "bill-timeout",
        "PIMENTO_BILL_TIMEOUT",
        "How long securing a bill may take before the answer is withheld",
        "10s",
    ),
    preset(
        "kept-bytes",
        "PIMENTO_KEPT_BYTES",
        "Memory for answers of calls that may not be repeated, in bytes",
        "16777216",
    ),
    preset(
        "second-worth",
        "PIMENTO_SECOND_WORTH",
        "What a second of a caller's waiting is worth in the choice of versions, as an amount",
        "0",
    ),
    preset(
        "metric-customers",
        "PIMENTO_METRIC_CUSTOMERS",
        "Customers with metrics of their own; all further ones share one label",
        "100",
    ),
    preset(
        "threads",
        "PIMENTO_THREADS",
        "Worker threads; 0 for one for each processor",
        "0",
    ),
    preset(
        "log-format",
        "PIMENTO_LOG_FORMAT",
        "How log lines look: text or json",
        "text",
    ),
    preset(
        "log-level",
        "PIMENTO_LOG_LEVEL",
        "The least severe lines shown: error, warn, info, debug or trace",
        "info",
    ),
];

/// The settings as flags of a command.
pub fn arguments() -> impl Iterator<Item = Arg> {
    SETTINGS.iter().map(|setting| {
        let arg = Arg::new(setting.flag)
            .long(setting.flag)
            .env(setting.env)
            .hide_env_values(setting.secret)
            .help(setting.help)
            .value_name("VALUE");
        match setting.default {
            Some(default) => arg.default_value(default),
            None => arg,
        }
    })
}

/// Settings as texts, unchecked. Sorted by flag.
#[derive(Debug, Clone, Default)]
pub struct Raw {
    values: Vec<(&'static str, String)>,
}

impl Raw {
    /// The settings of a command line.
    #[must_use]
    pub fn new(matches: &ArgMatches) -> Self {
        let value = |setting: &Setting| {
            let value = matches.get_one::<String>(setting.flag)?;
            Some((setting.flag, value.clone()))
        };
        SETTINGS.iter().filter_map(value).collect()
    }

    fn get(&self, flag: &str) -> Option<&str> {
        let place = self
            .values
            .binary_search_by(|(known, _)| (*known).cmp(flag));
        Some(self.values[place.ok()?].1.as_str())
    }
}

impl FromIterator<(&'static str, String)> for Raw {
    fn from_iter<I: IntoIterator<Item = (&'static str, String)>>(values: I) -> Self {
        let mut values: Vec<_> = values.into_iter().collect();
        values.sort_by_key(|(flag, _)| *flag);
        Self { values }
    }
}

/// Something wrong with one setting.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("--{flag} ({env}): {problem}"))]
pub struct Finding {
    /// The flag.
    pub flag: &'static str,
    /// Its environment variable.
    pub env: &'static str,
    /// What is wrong.
    pub problem: String,
}

/// All that is wrong with the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.0 {
            writeln!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// How log lines look.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for Format {
    type Err = &'static str;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("must be text or json"),
        }
    }
}

/// A secret that no log line or page shows.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

/// The shortest secret taken: 16 random characters can't be guessed.
const SECRET: usize = 16;

impl Secret {
    /// The secret itself.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl FromStr for Secret {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        if text.len() < SECRET {
            return Err(format!("must have at least {SECRET} characters"));
        }
        Ok(Self(text.into()))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The checked settings of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "each field is described by its flag's help")]
pub struct Config {
    pub node: id::Node,
    pub zone: id::Zone,
    pub listen: SocketAddr,
    pub operators_listen: SocketAddr,
    pub peer_listen: SocketAddr,
    pub peer_advertise: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub log_address: SocketAddr,
    pub vms_address: SocketAddr,
    pub rater_address: Option<SocketAddr>,
    pub peer_key: Secret,
    pub session_key: Secret,
    pub session_life: Duration,
    pub grace: Duration,
    pub last_bound: Duration,
    pub max_body: usize,
    pub max_timeout: Duration,
    pub platform_timeout: Duration,
    pub stall_timeout: Duration,
    pub poll_interval: Duration,
    pub zone_delay: Duration,
    pub stale_bound: Duration,
    pub claims_window: Duration,
    pub claim_timeout: Duration,
    pub bill_timeout: Duration,
    pub kept_bytes: usize,
    pub second_worth: pimento_units::Money,
    pub metric_customers: usize,
    pub threads: usize,
    pub log_format: Format,
    pub log_level: log::LevelFilter,
}

/// Reads settings one by one and gathers what is wrong.
struct Check<'a> {
    raw: &'a Raw,
    findings: Vec<Finding>,
}

impl Check<'_> {
    fn find(&mut self, flag: &'static str, problem: impl Display) {
        let setting = SETTINGS.iter().find(|s| s.flag == flag);
        self.findings.push(Finding {
            flag,
            env: setting.map_or("", |s| s.env),
            problem: problem.to_string(),
        });
    }

    fn optional<T: FromStr<Err: Display>>(&mut self, flag: &'static str) -> Option<T> {
        let text = self.raw.get(flag).filter(|text| !text.is_empty())?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.find(flag, error);
                None
            }
        }
    }

    fn required<T: FromStr<Err: Display>>(&mut self, flag: &'static str) -> Option<T> {
        if self.raw.get(flag).is_none_or(str::is_empty) {
            self.find(flag, "must be set");
            return None;
        }
        self.optional(flag)
    }

    fn span(&mut self, flag: &'static str) -> Option<Duration> {
        self.required::<Span>(flag).map(Span::duration)
    }

    fn positive(&mut self, flag: &'static str) -> Option<Duration> {
        let span = self.span(flag)?;
        if span.is_zero() {
            self.find(flag, "must be longer than zero");
            return None;
        }
        Some(span)
    }

    fn size(&mut self, flag: &'static str) -> Option<usize> {
        let size = self.required(flag)?;
        if size == 0 {
            self.find(flag, "must be more than zero");
            return None;
        }
        Some(size)
    }

    fn list<T: FromStr<Err: Display>>(&mut self, flag: &'static str) -> Vec<T> {
        let text = self.raw.get(flag).unwrap_or_default();
        let mut values = Vec::new();
        for part in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            match part.parse() {
                Ok(value) => values.push(value),
                Err(error) => self.find(flag, format_args!("{part:?}: {error}")),
            }
        }
        values
    }
}

impl TryFrom<&Raw> for Config {
    type Error = Findings;

    fn try_from(raw: &Raw) -> Result<Self, Findings> {
        let mut check = Check {
            raw,
            findings: Vec::new(),
        };
        let config = read(&mut check);
        match config {
            Some(config) if check.findings.is_empty() => Ok(config),
            _ => Err(Findings(check.findings)),
        }
    }
}

/// Reads all settings. Each one is read before any is found missing, so that all findings are
/// reported together.
fn read(check: &mut Check<'_>) -> Option<Config> {
    let node = check.required("node");
    let zone = check.required("zone");
    let listen = check.required("listen");
    let operators_listen = check.required("operators-listen");
    let peer_listen = check.required("peer-listen");
    let peer_advertise = check.optional("peer-advertise");
    let peers = check.list("peers");
    let log_address = check.required("log-address");
    let vms_address = check.required("vms-address");
    let rater_address = check.optional("rater-address");
    let peer_key = check.required("peer-key");
    let session_key = check.required("session-key");
    let session_life = check.positive("session-life");
    let grace = check.span("grace");
    let last_bound = check.span("last-bound");
    let max_body = check.size("max-body");
    let max_timeout = check.positive("max-timeout");
    let platform_timeout = check.positive("platform-timeout");
    let stall_timeout = check.positive("stall-timeout");
    let poll_interval = check.positive("poll-interval");
    let zone_delay = check.span("zone-delay");
    let stale_bound = check.positive("stale-bound");
    let claims_window = check.positive("claims-window");
    let claim_timeout = check.positive("claim-timeout");
    let bill_timeout = check.positive("bill-timeout");
    let kept_bytes = check.size("kept-bytes");
    let second_worth = check.required("second-worth");
    let metric_customers = check.required("metric-customers");
    let threads = check.required("threads");
    let log_format = check.required("log-format");
    let log_level = check.required("log-level");
    Some(Config {
        node: node?,
        zone: zone?,
        listen: listen?,
        operators_listen: operators_listen?,
        peer_listen: peer_listen?,
        peer_advertise,
        peers,
        log_address: log_address?,
        vms_address: vms_address?,
        rater_address,
        peer_key: peer_key?,
        session_key: session_key?,
        session_life: session_life?,
        grace: grace?,
        last_bound: last_bound?,
        max_body: max_body?,
        max_timeout: max_timeout?,
        platform_timeout: platform_timeout?,
        stall_timeout: stall_timeout?,
        poll_interval: poll_interval?,
        zone_delay: zone_delay?,
        stale_bound: stale_bound?,
        claims_window: claims_window?,
        claim_timeout: claim_timeout?,
        bill_timeout: bill_timeout?,
        kept_bytes: kept_bytes?,
        second_worth: second_worth?,
        metric_customers: metric_customers?,
        threads: threads?,
        log_format: log_format?,
        log_level: log_level?,
    })
}

/// The settings in force as `flag = value` lines, secrets hidden.
#[must_use]
pub fn print(raw: &Raw) -> String {
    let mut text = String::new();
    for setting in SETTINGS {
        let value = raw.get(setting.flag).unwrap_or_default();
        let shown = if setting.secret && !value.is_empty() {
            "(set)"
        } else {
            value
        };
        text.push_str(setting.flag);
        text.push_str(" = ");
        text.push_str(shown);
        text.push('\n');
    }
    text
}
