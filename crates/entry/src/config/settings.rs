//! The table of settings, and their unparsed values from flags and environment.

use clap::Arg;
use clap::ArgMatches;

/// A setting with its flag, environment variable, help text and default.
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
        "This entry VM's name, unique to one incarnation of the VM",
    ),
    without_default("zone", "PIMENTO_ZONE", "This entry VM's zone"),
    with_default(
        "listen",
        "PIMENTO_LISTEN",
        "Listen address for callers",
        "127.0.0.1:8080",
    ),
    with_default(
        "operators-listen",
        "PIMENTO_OPERATORS_LISTEN",
        "Listen address for operators: /ready /live /metrics /state",
        "127.0.0.1:9090",
    ),
    with_default(
        "peer-listen",
        "PIMENTO_PEER_LISTEN",
        "Listen address for other entry VMs, UDP and TCP",
        "127.0.0.1:7070",
    ),
    with_default(
        "peer-advertise",
        "PIMENTO_PEER_ADVERTISE",
        "Address that other entry VMs connect to, if not the listen address",
        "",
    ),
    with_default(
        "peers",
        "PIMENTO_PEERS",
        "Entry VMs to contact at startup, as IP:PORT, separated by commas",
        "",
    ),
    without_default(
        "log-address",
        "PIMENTO_LOG_ADDRESS",
        "Address of the platform's log, as IP:PORT",
    ),
    without_default(
        "vms-address",
        "PIMENTO_VMS_ADDRESS",
        "Address of the platform's VM list, as IP:PORT",
    ),
    without_default(
        "rater-address",
        "PIMENTO_RATER_ADDRESS",
        "Address of the rating service, as IP:PORT",
    ),
    secret(
        "peer-key",
        "PIMENTO_PEER_KEY",
        "Shared secret that authenticates messages between all nodes of the deployment",
    ),
    secret(
        "session-key",
        "PIMENTO_SESSION_KEY",
        "Shared secret of all entry VMs, for session tokens",
    ),
    with_default(
        "session-life",
        "PIMENTO_SESSION_LIFE",
        "Maximum age at which the pins of a session token apply",
        "7d",
    ),
    with_default(
        "grace",
        "PIMENTO_GRACE",
        "How long to keep accepting connections after SIGTERM, as the load balancer lags",
        "5s",
    ),
    with_default(
        "last-bound",
        "PIMENTO_LAST_BOUND",
        "How long after the grace period requests in flight are aborted",
        "1h",
    ),
    with_default(
        "max-body",
        "PIMENTO_MAX_BODY",
        "Maximum size of a request body, in bytes",
        "4194304",
    ),
    with_default(
        "request-memory",
        "PIMENTO_REQUEST_MEMORY",
        "Memory limit for requests in flight, in bytes; requests beyond it are refused",
        "268435456",
    ),
    with_default(
        "max-timeout",
        "PIMENTO_MAX_TIMEOUT",
        "Maximum timeout that a caller may request",
        "1h",
    ),
    with_default(
        "platform-timeout",
        "PIMENTO_PLATFORM_TIMEOUT",
        "Timeout for the start of a platform response, and for each pause in it",
        "2s",
    ),
    with_default(
        "stall-timeout",
        "PIMENTO_STALL_TIMEOUT",
        "Timeout for a pause in the middle of an engine's response",
        "10s",
    ),
    with_default(
        "poll-interval",
        "PIMENTO_POLL_INTERVAL",
        "Polling interval of the VM list and of the engines' load",
        "1s",
    ),
    with_default(
        "far-interval",
        "PIMENTO_FAR_INTERVAL",
        "Polling interval of the load of engines in other zones, if longer",
        "1s",
    ),
    with_default(
        "zone-delay",
        "PIMENTO_ZONE_DELAY",
        "Additional round-trip time to other zones",
        "10ms",
    ),
    with_default(
        "stale-bound",
        "PIMENTO_STALE_BOUND",
        "Maximum age of the configuration at which versions in roll-out are used",
        "1m",
    ),
    with_default(
        "claims-window",
        "PIMENTO_CLAIMS_WINDOW",
        "Maximum age of a request id that can be claimed; must be less than the log's retention",
        "30m",
    ),
    with_default(
        "claim-timeout",
        "PIMENTO_CLAIM_TIMEOUT",
        "Timeout for claiming a request id on the log; the call is refused after it",
        "3s",
    ),
    with_default(
        "bill-timeout",
        "PIMENTO_BILL_TIMEOUT",
        "Timeout for storing a bill at a peer or on the log; after it the end of the answer is withheld",
        "10s",
    ),
    with_default(
        "kept-bytes",
        "PIMENTO_KEPT_BYTES",
        "Memory limit for cached answers of calls that may not be repeated, in bytes",
        "16777216",
    ),
    with_default(
        "second-worth",
        "PIMENTO_SECOND_WORTH",
        "Cost assigned to one second of a caller's waiting time when choosing versions, as an amount",
        "0",
    ),
    with_default(
        "metric-customers",
        "PIMENTO_METRIC_CUSTOMERS",
        "Number of customers with their own metric label; all others share one",
        "100",
    ),
    with_default(
        "threads",
        "PIMENTO_THREADS",
        "Worker threads; 0 means one per processor",
        "0",
    ),
    with_default(
        "log-format",
        "PIMENTO_LOG_FORMAT",
        "Format of log lines: text or json",
        "text",
    ),
    with_default(
        "log-level",
        "PIMENTO_LOG_LEVEL",
        "Minimum severity of log lines: error, warn, info, debug or trace",
        "info",
    ),
];

/// The command-line arguments of all settings.
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

/// Unparsed settings, sorted by flag.
#[derive(Debug, Clone, Default)]
pub struct Raw {
    values: Vec<(&'static str, String)>,
}

impl Raw {
    /// The settings from parsed command-line arguments.
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
