//! The command line.

use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use tokio::runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::config;
use crate::config::Config;
use crate::config::Raw;
use crate::logs;
use crate::run::Running;

/// Exit code for bad settings, bad files and bad usage.
pub const EXIT_USAGE: u8 = 2;

/// Exit code if the program could not start or did not shut down cleanly.
pub const EXIT_FAILED: u8 = 1;

const PRINT_CONFIG: &str = "print-config";

/// The command with all flags.
#[must_use]
pub fn command() -> Command {
    let print_config = Arg::new(PRINT_CONFIG)
        .long(PRINT_CONFIG)
        .env("PIMENTO_PRINT_CONFIG")
        .action(ArgAction::SetTrue)
        .help("Print the effective settings, without secrets, and exit");
    Command::new("pimento-entry")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Routes callers' requests to model versions and plain services by their contract")
        .after_help("Every flag can be set by its environment variable. Exit codes: 0 clean shutdown, 1 could not start, aborted requests or lost records, 2 bad settings.")
        .args(config::arguments())
        .arg(print_config)
}

/// Runs the program.
#[must_use]
pub fn main() -> ExitCode {
    let matches = command().get_matches();
    let raw = Raw::new(&matches);
    if matches.get_flag(PRINT_CONFIG) {
        print!("{}", config::print(&raw));
    }
    let config = match Config::try_from(&raw) {
        Ok(config) => config,
        Err(findings) => {
            eprint!("{findings}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.get_flag(PRINT_CONFIG) {
        return ExitCode::SUCCESS;
    }
    logs::init(config.log_format, config.log_level);
    match serve(config) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILED),
        Err(error) => {
            eprintln!("pimento-entry: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn serve(config: Config) -> Result<bool, Box<dyn std::error::Error>> {
    let mut builder = runtime::Builder::new_multi_thread();
    if config.threads > 0 {
        builder.worker_threads(config.threads);
    }
    let runtime = builder.enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let running = Running::start(config).await?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        // Both signal handlers stay installed: a second signal does not end the process early.
        Ok(running.shut_down().await)
    })
}
