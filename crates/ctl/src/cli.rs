//! Entry point of `pimentoctl`: parses the command line, runs one command and prints its result.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use clap_complete::Shell;
use pimento_contract::rollout::Gate;
use pimento_units::Share;
use pimento_units::Span;
use pimento_units::id;

use crate::args;
use crate::command;
use crate::command::Context;
use crate::command::publish::Mode;
use crate::command::version::Plan;
use crate::exit::Error;
use crate::output::Format;
use crate::output::Output;

/// Runs the program. Exits with 0 on success and with [`Error::code`] on failure.
#[must_use]
pub fn main() -> ExitCode {
    let matches = args::command().get_matches();
    if let Some(("completion", matches)) = matches.subcommand() {
        completion(matches);
        return ExitCode::SUCCESS;
    }
    let format = match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => Format::Json,
        _ => Format::Table,
    };
    match runtime().and_then(|runtime| runtime.block_on(run(&matches))) {
        Ok(output) => {
            println!("{}", output.text(format));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(&error)
        }
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, Error> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::failed(error.to_string()))
}

fn completion(matches: &ArgMatches) {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        clap_complete::generate(
            *shell,
            &mut args::command(),
            "pimentoctl",
            &mut io::stdout(),
        );
    }
}

async fn run(matches: &ArgMatches) -> Result<Output, Error> {
    match matches.subcommand() {
        Some(("contract", sub)) => match sub.subcommand() {
            Some(("check", sub)) => command::contract::check(&texts(sub, "file")),
            _ => Err(unknown_command()),
        },
        Some(("publish", sub)) => {
            let mode = Mode {
                reinstate: sub.get_flag("reinstate"),
                dry_run: sub.get_flag("dry-run"),
            };
            command::publish::publish_files(&context(matches)?, &texts(sub, "file"), mode).await
        }
        Some(("show", sub)) => command::show::show(&context(matches)?, text(sub, "subject")).await,
        Some(("history", sub)) => {
            command::history::history(&context(matches)?, text(sub, "subject")).await
        }
        Some(("version", sub)) => version(&context(matches)?, sub).await,
        Some(("endpoint", sub)) => endpoint(sub, timeout(matches)).await,
        Some(("bills", sub)) => {
            command::bills::bills(&context(matches)?, text(sub, "customer")).await
        }
        Some(("explain", sub)) => {
            let request: String = required(sub, "request")?;
            let folder: std::path::PathBuf = required(sub, "folder")?;
            command::explain::explain(&request, &folder)
        }
        Some(("status", sub)) => {
            let addresses: Vec<SocketAddr> = values(sub, "operators");
            command::status::status(&addresses, timeout(matches).min(STATUS_TIMEOUT)).await
        }
        Some(("key", sub)) if sub.get_flag("stdin") => command::key::hash(),
        Some(("key", _)) => Ok(command::key::generate()),
        _ => Err(unknown_command()),
    }
}

/// Time limit for the response of one entry VM to `status`; a slower one is shown with an error.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);

async fn version(context: &Context, matches: &ArgMatches) -> Result<Output, Error> {
    let Some((name, sub)) = matches.subcommand() else {
        return Err(unknown_command());
    };
    let id: id::Version = required(sub, "version")?;
    match name {
        "roll-in" => command::version::roll_in(context, plan(id, sub)?).await,
        "advance" => command::version::advance(context, &id).await,
        "halt" => command::version::halt(context, &id).await,
        "withdraw" => command::version::withdraw(context, &id).await,
        _ => Err(unknown_command()),
    }
}

/// Range of a gate's latency ratio, the same as in contract files.
const LATENCY_RATIOS: std::ops::RangeInclusive<f64> = 1.0..=100.0;

fn plan(to: id::Version, matches: &ArgMatches) -> Result<Plan, Error> {
    let ratio: f64 = required(matches, "latency")?;
    if !LATENCY_RATIOS.contains(&ratio) {
        return Err(Error::usage("--latency must be between 1 and 100"));
    }
    // The check above keeps the ratio in range.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let latency = (ratio * 100.0).round() as u32;
    let gate = Gate {
        samples: required(matches, "samples")?,
        quality: required::<Share>(matches, "quality")?,
        errors: required::<Share>(matches, "errors")?,
        latency,
        dwell: required::<Span>(matches, "dwell")?,
    };
    Ok(Plan {
        to,
        from: required(matches, "from")?,
        stages: values(matches, "stages"),
        gate,
    })
}

async fn endpoint(matches: &ArgMatches, timeout: Duration) -> Result<Output, Error> {
    let Some(("list", sub)) = matches.subcommand() else {
        return Err(unknown_command());
    };
    let address = required(sub, "vms-address")?;
    command::endpoint::list(address, timeout, text(sub, "pool")).await
}

fn context(matches: &ArgMatches) -> Result<Context, Error> {
    let Some(address) = matches.get_one::<SocketAddr>("log-address") else {
        return Err(Error::usage(
            "--log-address or PIMENTO_LOG_ADDRESS is required",
        ));
    };
    let by = text(matches, "by").unwrap_or("operator");
    Ok(Context::new(*address, timeout(matches), by))
}

fn timeout(matches: &ArgMatches) -> Duration {
    let span = matches.get_one::<Span>("timeout");
    span.map_or(Duration::from_secs(30), |span| span.duration())
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> Option<&'a str> {
    matches.get_one::<String>(name).map(String::as_str)
}

fn texts(matches: &ArgMatches, name: &str) -> Vec<String> {
    values(matches, name)
}

fn required<T: Clone + Send + Sync + 'static>(
    matches: &ArgMatches,
    name: &str,
) -> Result<T, Error> {
    let value = matches.get_one::<T>(name).cloned();
    value.ok_or_else(|| Error::usage(format!("--{name} is required")))
}

fn values<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    let values = matches.get_many::<T>(name);
    values.into_iter().flatten().cloned().collect()
}

fn unknown_command() -> Error {
    Error::usage("unknown command")
}
