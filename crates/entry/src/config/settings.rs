//! The table of settings, and their texts as flags and environment give them.

use clap::Arg;
use clap::ArgMatches;

/// A setting: flag, environment variable, help, default.
pub(super) struct Setting {
    pub(super) flag: &'static str,
    pub(super) env: &'static str,
    help: &'static str,
    default: Option<&'static str>,
    pub(super) secret: bool,
}

const fn without_default(flag: &'static str, env: &'static str, help: &'static str) -> Setting {
    Setting {
        flag,
        env,
        help,
        default: None,
        secret: false,
    }
}

const fn with_default(
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
pub(super) const SETTINGS: &[Setting] = &[
    without_default(
        "node",
        "PIMENTO_NODE",
        "This entry VM's name, unique for one life of the VM",
    ),
    without_default("zone", "PIMENTO_ZONE", "This entry VM's zone"),
    with_default(
        "listen",
        "PIMENTO_LISTEN",
        "Where callers reach it",
        "127.0.0.1:8080",
    ),
    with_default(
        "operators-listen",
        "PIMENTO_OPERATORS_LISTEN",
        "Where operators reach it: /ready /live /metrics /state",
        "127.0.0.1:9090",
    ),
    with_default(
        "peer-listen",
        "PIMENTO_PEER_LISTEN",
        "Where other entry VMs reach it, by UDP and TCP",
        "127.0.0.1:7070",
    ),
    with_default(
        "peer-advertise",
        "PIMENTO_PEER_ADVERTISE",
        "Where other entry VMs reach it, if that is not where it listens",
        "",
    ),
    with_default(
        "peers",
        "PIMENTO_PEERS",
        "Other entry VMs to begin with, as IP:PORT, separated by commas",
        "",
    ),
    without_default(
        "log-address",
        "PIMENTO_LOG_ADDRESS",
        "The platform's log, as IP:PORT",
    ),
    without_default(
        "vms-address",
        "PIMENTO_VMS_ADDRESS",
        "The platform's VM list, as IP:PORT",
    ),
    without_default(
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
    with_default(
        "session-life",
        "PIMENTO_SESSION_LIFE",
        "Age from which a session token's pins no longer count",
        "7d",
    ),
    with_default(
        "grace",
        "PIMENTO_GRACE",
        "How long to go on accepting after SIGTERM, since the balancer lags",
        "5s",
    ),
    with_default(
        "last-bound",
        "PIMENTO_LAST_BOUND",
        "When to cut requests that are still in flight after SIGTERM",
        "1h",
    ),
    with_default(
        "max-body",
        "PIMENTO_MAX_BODY",
        "The largest request body, in bytes",
        "4194304",
    ),
    with_default(
        "request-memory",
        "PIMENTO_REQUEST_MEMORY",
        "Memory for requests in flight, in bytes; at the bound further ones are refused",
        "268435456",
    ),
    with_default(
        "max-timeout",
        "PIMENTO_MAX_TIMEOUT",
        "The longest time that a caller may ask to wait",
        "1h",
    ),
    with_default(
        "platform-timeout",
        "PIMENTO_PLATFORM_TIMEOUT",
        "How long an answer of the platform may take to begin, and to go on",
        "2s",
    ),
    with_default(
        "stall-timeout",
        "PIMENTO_STALL_TIMEOUT",
        "How long an engine may be silent in the middle of an answer",
        "10s",
    ),
    with_default(
        "poll-interval",
        "PIMENTO_POLL_INTERVAL",
        "Time between two reads of the VM list and of the engines' load",
        "1s",
    ),
    with_default(
        "far-interval",
        "PIMENTO_FAR_INTERVAL",
        "Time between two reads of the load of an engine in another zone, if longer",
        "1s",
    ),
    with_default(
        "zone-delay",
        "PIMENTO_ZONE_DELAY",
        "Delay to other zones beyond the own one's, there and back",
        "10ms",
    ),
    with_default(
        "stale-bound",
        "PIMENTO_STALE_BOUND",
        "Age of the configuration from which versions in roll-out are not used",
        "1m",
    ),
    with_default(
        "claims-window",
        "PIMENTO_CLAIMS_WINDOW",
        "Age up to which a request id may be claimed; less than the log's retention",
        "30m",
    ),
    with_default(
        "claim-timeout",
        "PIMENTO_CLAIM_TIMEOUT",
        "How long a claim on the log may take before the call is refused",
        "3s",
    ),
    with_default(
        "bill-timeout",
        "PIMENTO_BILL_TIMEOUT",
        "How long securing a bill may take before the answer is withheld",
        "10s",
    ),
    with_default(
        "kept-bytes",
        "PIMENTO_KEPT_BYTES",
        "Memory for answers of calls that may not be repeated, in bytes",
        "16777216",
    ),
    with_default(
        "second-worth",
        "PIMENTO_SECOND_WORTH",
        "What a second of a caller's waiting is worth in the choice of versions, as an amount",
        "0",
    ),
    with_default(
        "metric-customers",
        "PIMENTO_METRIC_CUSTOMERS",
        "Customers with metrics of their own; all further ones share one label",
        "100",
    ),
    with_default(
        "threads",
        "PIMENTO_THREADS",
        "Worker threads; 0 for one for each processor",
        "0",
    ),
    with_default(
        "log-format",
        "PIMENTO_LOG_FORMAT",
        "How log lines look: text or json",
        "text",
    ),
    with_default(
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

    pub(super) fn get(&self, flag: &str) -> Option<&str> {
        let index = self
            .values
            .binary_search_by(|(known, _)| (*known).cmp(flag));
        Some(self.values[index.ok()?].1.as_str())
    }
}

impl FromIterator<(&'static str, String)> for Raw {
    fn from_iter<I: IntoIterator<Item = (&'static str, String)>>(values: I) -> Self {
        let mut values: Vec<_> = values.into_iter().collect();
        values.sort_by_key(|(flag, _)| *flag);
        Self { values }
    }
}
