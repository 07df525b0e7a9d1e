//! The command line's shape.

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

const ABOUT: &str = "Drives pimentobarrow: contracts, versions, roll-outs, bills";

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed: the thing does not exist, does not apply, or did not answer
  2  bad usage, or findings in files
  3  another change came first; the message says which revision won
  4  the log can't be used now; nothing was changed
  5  it is unknown whether the changes are in force; look at `pimentoctl history`";

/// The whole command.
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
                .about("Publishes what differs from what is in force")
                .arg(files())
                .arg(
                    Arg::new("dry-run")
                        .long("dry-run")
                        .action(ArgAction::SetTrue)
                        .help("Check over what is in force and list what would change"),
                )
                .arg(
                    Arg::new("reinstate")
                        .long("reinstate")
                        .action(ArgAction::SetTrue)
                        .help("Let withdrawn versions serve again and set roll-outs back, if the files say so"),
                ),
        )
        .subcommand(
            Command::new("show")
                .about("Shows what is in force")
                .arg(subject(
                    "Only this subject, such as contract/garage-gatenga",
                )),
        )
        .subcommand(
            Command::new("history")
                .about("Shows the changes that are still on the log, with their verdicts")
                .arg(subject("Only changes of this subject")),
        )
        .subcommand(version())
        .subcommand(endpoint())
        .subcommand(
            Command::new("bills")
                .about("Adds up bills for each customer, one for each request")
                .arg(Arg::new("customer").help("Only this customer")),
        )
        .subcommand(
            Command::new("explain")
                .about("Tells what became of a request, out of log lines")
                .arg(
                    Arg::new("request")
                        .required(true)
                        .help("The request's id"),
                )
                .arg(
                    Arg::new("folder")
                        .required(true)
                        .value_parser(value_parser!(std::path::PathBuf))
                        .help("A folder with one file of log lines for each VM"),
                ),
        )
        .subcommand(
            Command::new("status")
                .about("Shows how far each entry VM has got and how old its state is")
                .arg(operators()),
        )
        .subcommand(
            Command::new("key")
                .about("Makes an API key and prints it with its hash, or hashes one")
                .arg(
                    Arg::new("stdin")
                        .long("stdin")
                        .action(ArgAction::SetTrue)
                        .help("Hash the key on standard input instead of making one"),
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
            .help("The platform's log"),
        Arg::new("timeout")
            .long("timeout")
            .env("PIMENTO_TIMEOUT")
            .value_name("SPAN")
            .value_parser(value_parser!(Span))
            .default_value("30s")
            .global(true)
            .help("How long a command may take"),
        Arg::new("output")
            .long("output")
            .env("PIMENTO_OUTPUT")
            .value_parser(PossibleValuesParser::new(["table", "json"]))
            .default_value("table")
            .global(true)
            .help("How results are printed"),
        Arg::new("by")
            .long("by")
            .env("PIMENTO_OPERATOR")
            .value_name("NAME")
            .default_value("operator")
            .global(true)
            .help("Who gives the command, as the log keeps it"),
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
        .about("Works on files of contracts")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Checks files together and reports all findings, without the log")
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
                .about("Advances a roll-out whatever the evidence; a halted one goes on")
                .arg(version_id()),
        )
        .subcommand(
            Command::new("halt")
                .about("Halts a roll-out: no new session goes to the version")
                .arg(version_id()),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Withdraws a version: it gets no new work")
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
        .about("Begins a roll-out at its first stage")
        .arg(version_id())
        .arg(
            Arg::new("from")
                .long("from")
                .required(true)
                .value_parser(value_parser!(id::Version))
                .help("The version that is replaced"),
        )
        .arg(
            Arg::new("stages")
                .long("stages")
                .value_delimiter(',')
                .value_parser(value_parser!(Share))
                .default_value("0.05,0.25,0.5,1")
                .help("Rising weights; the last is 1"),
        )
        .arg(
            Arg::new("samples")
                .long("samples")
                .value_parser(value_parser!(u32).range(1..))
                .default_value("100")
                .help("Rated answers needed in each stage"),
        )
        .arg(share(
            "quality",
            "0.02",
            "How far below the old version's share of passed answers",
        ))
        .arg(share(
            "errors",
            "0.02",
            "The largest share of failed attempts",
        ))
        .arg(
            Arg::new("latency")
                .long("latency")
                .value_parser(value_parser!(f64))
                .default_value("1.5")
                .help("The largest ratio of latencies, new over old, between 1 and 100"),
        )
        .arg(
            Arg::new("dwell")
                .long("dwell")
                .value_parser(value_parser!(Span))
                .default_value("10m")
                .help("The shortest time in a stage"),
        )
}

fn endpoint() -> Command {
    Command::new("endpoint")
        .about("Looks at endpoints")
        .subcommand_required(true)
        .subcommand(
            Command::new("list")
                .about("Lists endpoints as the platform's list has them")
                .arg(
                    Arg::new("vms-address")
                        .long("vms-address")
                        .env("PIMENTO_VMS_ADDRESS")
                        .required(true)
                        .value_name("IP:PORT")
                        .value_parser(value_parser!(SocketAddr))
                        .help("The platform's list of VMs"),
                )
                .arg(Arg::new("pool").help("Only this pool")),
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
        .help("Operators' addresses of the entry VMs")
}
