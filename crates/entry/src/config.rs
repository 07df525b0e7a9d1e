//! Settings: unparsed values from flags and environment, and the validated [`Config`].

mod settings;

use std::fmt;
use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use pimento_units::Span;
use pimento_units::id;
use snafu::Snafu;

pub use self::settings::Raw;
use self::settings::SETTINGS;
pub use self::settings::arguments;

/// A problem with one setting.
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

/// All problems with the settings.
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

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable lines.
    Text,
    /// One JSON object per line.
    Json,
}

impl FromStr for LogFormat {
    type Err = &'static str;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("must be text or json"),
        }
    }
}

/// A secret. `Debug` does not print it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

/// Minimum length of a secret: 16 random characters can't be guessed.
const SECRET_MIN_CHARS: usize = 16;

impl Secret {
    /// The secret in clear text.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl FromStr for Secret {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        if text.len() < SECRET_MIN_CHARS {
            return Err(format!("must have at least {SECRET_MIN_CHARS} characters"));
        }
        Ok(Self(text.into()))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The validated settings of an entry VM.
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
    pub request_memory: usize,
    pub max_timeout: Duration,
    pub platform_timeout: Duration,
    pub stall_timeout: Duration,
    pub poll_interval: Duration,
    pub far_interval: Duration,
    pub zone_delay: Duration,
    pub stale_bound: Duration,
    pub claims_window: Duration,
    pub claim_timeout: Duration,
    pub bill_timeout: Duration,
    pub kept_bytes: usize,
    pub second_worth: pimento_units::Money,
    pub metric_customers: usize,
    pub threads: usize,
    pub log_format: LogFormat,
    pub log_level: log::LevelFilter,
}

/// Parses settings one by one and collects the problems.
struct Reader<'a> {
    raw: &'a Raw,
    findings: Vec<Finding>,
}

impl Reader<'_> {
    fn report(&mut self, flag: &'static str, problem: impl Display) {
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
                self.report(flag, error);
                None
            }
        }
    }

    fn required<T: FromStr<Err: Display>>(&mut self, flag: &'static str) -> Option<T> {
        if self.raw.get(flag).is_none_or(str::is_empty) {
            self.report(flag, "must be set");
            return None;
        }
        self.optional(flag)
    }

    fn duration(&mut self, flag: &'static str) -> Option<Duration> {
        self.required::<Span>(flag).map(Span::duration)
    }

    fn positive_duration(&mut self, flag: &'static str) -> Option<Duration> {
        let span = self.duration(flag)?;
        if span.is_zero() {
            self.report(flag, "must be longer than zero");
            return None;
        }
        Some(span)
    }

    fn positive_size(&mut self, flag: &'static str) -> Option<usize> {
        let size = self.required(flag)?;
        if size == 0 {
            self.report(flag, "must be more than zero");
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
                Err(error) => self.report(flag, format_args!("{part:?}: {error}")),
            }
        }
        values
    }
}

impl TryFrom<&Raw> for Config {
    type Error = Findings;

    fn try_from(raw: &Raw) -> Result<Self, Findings> {
        let mut reader = Reader {
            raw,
            findings: Vec::new(),
        };
        let config = read_config(&mut reader);
        match config {
            Some(config) if reader.findings.is_empty() => Ok(config),
            _ => Err(Findings(reader.findings)),
        }
    }
}

/// Reads all settings before it fails for a missing one, so that all findings are reported
/// together.
fn read_config(reader: &mut Reader<'_>) -> Option<Config> {
    let node = reader.required("node");
    let zone = reader.required("zone");
    let listen = reader.required("listen");
    let operators_listen = reader.required("operators-listen");
    let peer_listen = reader.required("peer-listen");
    let peer_advertise = reader.optional("peer-advertise");
    let peers = reader.list("peers");
    let log_address = reader.required("log-address");
    let vms_address = reader.required("vms-address");
    let rater_address = reader.optional("rater-address");
    let peer_key = reader.required("peer-key");
    let session_key = reader.required("session-key");
    let session_life = reader.positive_duration("session-life");
    let grace = reader.duration("grace");
    let last_bound = reader.duration("last-bound");
    let max_body = reader.positive_size("max-body");
    let request_memory = reader.positive_size("request-memory");
    let max_timeout = reader.positive_duration("max-timeout");
    let platform_timeout = reader.positive_duration("platform-timeout");
    let stall_timeout = reader.positive_duration("stall-timeout");
    let poll_interval = reader.positive_duration("poll-interval");
    let far_interval = reader.duration("far-interval");
    let zone_delay = reader.duration("zone-delay");
    let stale_bound = reader.positive_duration("stale-bound");
    let claims_window = reader.positive_duration("claims-window");
    let claim_timeout = reader.positive_duration("claim-timeout");
    let bill_timeout = reader.positive_duration("bill-timeout");
    let kept_bytes = reader.positive_size("kept-bytes");
    let second_worth = reader.required("second-worth");
    let metric_customers = reader.required("metric-customers");
    let threads = reader.required("threads");
    let log_format = reader.required("log-format");
    let log_level = reader.required("log-level");
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
        request_memory: request_memory?,
        max_timeout: max_timeout?,
        platform_timeout: platform_timeout?,
        stall_timeout: stall_timeout?,
        poll_interval: poll_interval?,
        far_interval: far_interval?,
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

/// The effective settings as `flag = value` lines, secrets hidden.
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
