//! Definition of the command line: subcommands, arguments and help texts.

use std::net::SocketAddr;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::value_parser;
use clap_complete::Shell;
use pimento_units::Share;
use pimento_units::Span;
use pimento_units::id;

const ABOUT: &str = "Operates pimentobarrow: contracts, versions, roll-outs, bills";

const EXIT_CODES: &str = "\
Exit codes:
  0  success
  1  failed: a subject does not exist, a change does not apply, or a server did not respond
  2  invalid usage, or errors in files
  3  conflict: another change came first; the message names the revision that won
  4  the log is unavailable; nothing was changed
  5  it is unknown whether the changes are in force; check `pimentoctl history`";

/// The command with all its subcommands.
pub(crate) fn command() -> Command {
    Command::new("pimentoctl")
        .about(ABOUT)
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(globals())
        .subcommand(contract())
        .subcommand(
            Command::new("publish")
                .about("Publishes the subjects that differ from the configuration in force")
                .arg(files())
                .arg(
                    Arg::new("dry-run")
                        .long("dry-run")
                        .action(ArgAction::SetTrue)
                        .help("Check the files against the configuration in force and list what would change"),
                )
                .arg(
                    Arg::new("reinstate")
                        .long("reinstate")
                        .action(ArgAction::SetTrue)
                        .help("Reinstate withdrawn versions and reset roll-outs to the stage and status in the files"),
                ),
        )
        .subcommand(
            Command::new("show")
                .about("Shows the configuration in force")
                .arg(subject(
                    "Show only this subject, such as contract/garage-gatenga",
                )),
        )
        .subcommand(
            Command::new("history")
                .about("Lists the changes that the log still retains, with their verdicts")
                .arg(subject("List only changes of this subject")),
        )
        .subcommand(version())
        .subcommand(endpoint())
        .subcommand(
            Command::new("bills")
                .about("Totals the bills of each customer, counting each request once")
                .arg(Arg::new("customer").help("Show only this customer")),
        )
        .subcommand(
            Command::new("explain")
                .about("Shows the timeline of a request, from the log lines of the VMs")
                .arg(
                    Arg::new("request")
                        .required(true)
                        .help("The id of the request"),
                )
                .arg(
                    Arg::new("folder")
                        .required(true)
                        .value_parser(value_parser!(std::path::PathBuf))
                        .help("A folder with one log file for each VM"),
                ),
        )
        .subcommand(
            Command::new("status")
                .about("Shows the log offset of each entry VM and the age of its state")
                .arg(operators()),
        )
        .subcommand(
            Command::new("key")
                .about("Generates an API key and prints it with its hash, or hashes a given key")
                .arg(
                    Arg::new("stdin")
                        .long("stdin")
                        .action(ArgAction::SetTrue)
                        .help("Hash the key on standard input instead of generating one"),
                ),
        )
        .subcommand(
            Command::new("completion")
                .about("Prints a completion script")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(Shell)),
                ),
        )
}

fn globals() -> [Arg; 4] {
    [
        Arg::new("log-address")
            .long("log-address")
            .env("PIMENTO_LOG_ADDRESS")
            .value_name("IP:PORT")
            .value_parser(value_parser!(SocketAddr))
            .global(true)
            .help("Address of the platform's log"),
        Arg::new("timeout")
            .long("timeout")
            .env("PIMENTO_TIMEOUT")
            .value_name("SPAN")
            .value_parser(value_parser!(Span))
            .default_value("30s")
            .global(true)
            .help("Time limit of the whole command"),
        Arg::new("output")
            .long("output")
            .env("PIMENTO_OUTPUT")
            .value_parser(PossibleValuesParser::new(["table", "json"]))
            .default_value("table")
            .global(true)
            .help("Output format"),
        Arg::new("by")
            .long("by")
            .env("PIMENTO_OPERATOR")
            .value_name("NAME")
            .default_value("operator")
            .global(true)
            .help("Name of the operator, recorded in the log with each change"),
    ]
}

fn files() -> Arg {
    Arg::new("file")
        .required(true)
        .action(ArgAction::Append)
        .num_args(1..)
        .help("Files with [[contract]], [[version]], [[pool]], [[service]], [[rollout]] tables")
}

fn subject(help: &'static str) -> Arg {
    Arg::new("subject").help(help)
}

fn contract() -> Command {
    Command::new("contract")
        .about("Works with contract files")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about(
                    "Checks the files together and reports all errors, without contacting the log",
                )
                .arg(files()),
        )
}

fn version() -> Command {
    Command::new("version")
        .about("Rolls versions in and out")
        .subcommand_required(true)
        .subcommand(roll_in())
        .subcommand(
            Command::new("advance")
                .about("Advances a roll-out regardless of its gate; resumes a halted one")
                .arg(version_id()),
        )
        .subcommand(
            Command::new("halt")
                .about("Halts a roll-out: the version gets no new sessions")
                .arg(version_id()),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Withdraws a version: it gets no new requests")
                .arg(version_id()),
        )
}

fn version_id() -> Arg {
    Arg::new("version")
        .required(true)
        .value_parser(value_parser!(id::Version))
}

fn roll_in() -> Command {
    let share = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(Share))
            .default_value(default)
            .help(help)
    };
    Command::new("roll-in")
        .about("Starts a roll-out at its first stage")
        .arg(version_id())
        .arg(
            Arg::new("from")
                .long("from")
                .required(true)
                .value_parser(value_parser!(id::Version))
                .help("The version to replace"),
        )
        .arg(
            Arg::new("stages")
                .long("stages")
                .value_delimiter(',')
                .value_parser(value_parser!(Share))
                .default_value("0.05,0.25,0.5,1")
                .help("Increasing weights; the last is 1"),
        )
        .arg(
            Arg::new("samples")
                .long("samples")
                .value_parser(value_parser!(u32).range(1..))
                .default_value("100")
                .help("Rated responses required in each stage"),
        )
        .arg(share(
            "quality",
            "0.02",
            "How far the share of passed responses may be below that of the old version",
        ))
        .arg(share("errors", "0.02", "Maximum share of failed attempts"))
        .arg(
            Arg::new("latency")
                .long("latency")
                .value_parser(value_parser!(f64))
                .default_value("1.5")
                .help("Maximum latency ratio of new to old, between 1 and 100"),
        )
        .arg(
            Arg::new("dwell")
                .long("dwell")
                .value_parser(value_parser!(Span))
                .default_value("10m")
                .help("Minimum time in a stage"),
        )
}

fn endpoint() -> Command {
    Command::new("endpoint")
        .about("Inspects endpoints")
        .subcommand_required(true)
        .subcommand(
            Command::new("list")
                .about("Lists the endpoints in the platform's list of VMs")
                .arg(
                    Arg::new("vms-address")
                        .long("vms-address")
                        .env("PIMENTO_VMS_ADDRESS")
                        .required(true)
                        .value_name("IP:PORT")
                        .value_parser(value_parser!(SocketAddr))
                        .help("Address of the platform's list of VMs"),
                )
                .arg(Arg::new("pool").help("List only this pool")),
        )
}

fn operators() -> Arg {
    Arg::new("operators")
        .long("operators")
        .env("PIMENTO_OPERATORS")
        .required(true)
        .value_name("IP:PORT,…")
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr))
        .help("Operator addresses of the entry VMs")
}
