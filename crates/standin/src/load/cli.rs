//! The command line of `pimento-load`.
//!
//! Exit codes: 0 on success, 1 if a promise was broken or an answer failed its check, 2 for invalid
//! settings or files, 3 if a file or an address can't be accessed.

use std::fs;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use indicatif::ProgressBar;
use indicatif::ProgressStyle;
use pimento_units::Span;
use pimento_units::id;

use crate::load::allowed::AllowedVersions;
use crate::load::compare;
use crate::load::compare::sum;
use crate::load::drive;
use crate::load::files::Failure;
use crate::load::files::json;
use crate::load::files::read;
use crate::load::gather;
use crate::load::judge::Trial;
use crate::load::mix::Mix;
use crate::load::plot;
use crate::load::promise::Promise;
use crate::load::result::Report;
use crate::load::trace;
use crate::load::trace::Arrival;
use crate::settings;
use crate::settings::Findings;
use crate::settings::flag;

/// Exit code if a promise was broken or an answer failed its check.
pub const EXIT_BROKEN: u8 = 1;
/// Exit code for invalid settings, invalid files and wrong usage.
pub const EXIT_USAGE: u8 = 2;
/// Exit code if a file or an address can't be accessed.
pub const EXIT_IO: u8 = 3;

/// Runs the program.
#[must_use]
pub fn main() -> ExitCode {
    let matches = command().get_matches();
    settings::log_to_stderr(&matches);
    let done = match matches.subcommand() {
        Some(("run", matches)) => run(matches),
        Some(("draw", matches)) => draw(matches),
        Some(("compare", matches)) => compare(matches),
        Some(("plot", matches)) => plot(matches),
        Some(("judge", matches)) => judge(matches),
        _ => Ok(()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Broken) => ExitCode::from(EXIT_BROKEN),
        Err(Failure::Io(reason)) => {
            eprintln!("pimento-load: {reason}");
            ExitCode::from(EXIT_IO)
        }
        Err(Failure::Findings(findings)) => {
            for finding in findings.lines() {
                eprintln!("pimento-load: {finding}");
            }
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// The definition of the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("pimento-load")
        .about("Sends requests in an open loop, checks each answer and measures latency")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(settings::log_format())
        .subcommand(run_command())
        .subcommand(
            Command::new("draw")
                .about("Draws the arrivals of a mix and prints them as a trace")
                .arg(mix_flag().required(true))
                .arg(seed_flag()),
        )
        .subcommand(
            Command::new("compare")
                .about("Shows two result files side by side")
                .arg(file_arg("result", "Two result files").num_args(2)),
        )
        .subcommand(
            Command::new("plot")
                .about("Plots first-byte latency of result files as SVG on standard output")
                .arg(file_arg("result", "Result files").num_args(1..)),
        )
        .subcommand(judge_command())
}

fn run_command() -> Command {
    Command::new("run")
        .about("Sends the calls of a mix or a trace")
        .arg(
            flag(
                "targets",
                "PIMENTO_LOAD_TARGETS",
                "Entry VMs' addresses, comma-separated",
            )
            .required(true),
        )
        .arg(flag(
            "operators",
            "PIMENTO_LOAD_OPERATORS",
            "Operators' addresses of the same entry VMs; those not ready are tried last",
        ))
        .arg(mix_flag())
        .arg(flag("trace", "PIMENTO_LOAD_TRACE", "Trace file").conflicts_with("mix"))
        .arg(seed_flag())
        .arg(flag(
            "contracts",
            "PIMENTO_LOAD_CONTRACTS",
            "Files with the contracts, comma-separated; without them any version is allowed",
        ))
        .arg(
            flag(
                "key-prefix",
                "PIMENTO_LOAD_KEY_PREFIX",
                "Prefix of API keys; the customer's name follows it",
            )
            .default_value("demo-key-"),
        )
        .arg(
            flag(
                "timeout",
                "PIMENTO_LOAD_TIMEOUT",
                "Value of the request-timeout header",
            )
            .default_value("30s"),
        )
        .arg(
            flag(
                "retries",
                "PIMENTO_LOAD_RETRIES",
                "Share of refused calls that are retried after retry-after",
            )
            .default_value("0"),
        )
        .arg(
            flag(
                "patience",
                "PIMENTO_LOAD_PATIENCE",
                "Longest retry-after that is waited for; calls with a longer one are not retried",
            )
            .default_value("30s"),
        )
        .arg(flag("out", "PIMENTO_LOAD_OUT", "Result file to write"))
}

fn judge_command() -> Command {
    Command::new("judge")
        .about("Compares a result with bills and endpoints; exit code 1 if a promise was broken")
        .arg(file_arg("result", "Result file").num_args(1))
        .arg(
            flag(
                "bills",
                "PIMENTO_LOAD_BILLS",
                "Output of `pimentoctl bills --output json`",
            )
            .required(true),
        )
        .arg(
            flag(
                "engines",
                "PIMENTO_LOAD_ENGINES",
                "Stand-in engines' addresses, comma-separated",
            )
            .required(true),
        )
        .arg(
            flag(
                "services",
                "PIMENTO_LOAD_SERVICES",
                "Stand-in services' addresses, comma-separated",
            )
            .required(true),
        )
        .arg(flag(
            "platform",
            "PIMENTO_LOAD_PLATFORM",
            "Addresses of platform stand-ins whose faults permit refusals, comma-separated",
        ))
        .arg(flag(
            "withdrawn",
            "PIMENTO_LOAD_WITHDRAWN",
            "Versions withdrawn, as VERSION=MILLISECONDS since the Unix epoch, comma-separated",
        ))
        .arg(flag(
            "quiet",
            "PIMENTO_LOAD_QUIET",
            "Expects an overload; customers that must still be served, comma-separated",
        ))
}

fn mix_flag() -> Arg {
    flag("mix", "PIMENTO_LOAD_MIX", "Mix file")
}

fn seed_flag() -> Arg {
    flag(
        "seed",
        "PIMENTO_LOAD_SEED",
        "Seed for drawing the arrivals of a mix",
    )
    .default_value("1")
}

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).value_name("FILE").help(help)
}

fn ensure_none(findings: Findings) -> Result<(), Failure> {
    if findings.lines().is_empty() {
        Ok(())
    } else {
        Err(Failure::Findings(findings))
    }
}

fn reports(matches: &ArgMatches) -> Result<Vec<(String, Report)>, Failure> {
    let paths = matches.get_many::<String>("result").into_iter().flatten();
    paths.map(|path| Ok((path.clone(), json(path)?))).collect()
}

fn arrivals(matches: &ArgMatches, findings: &mut Findings) -> Result<Vec<Arrival>, Failure> {
    let seed = findings.value(matches, "seed").unwrap_or(0);
    // Only `run` has this flag, and `get_one` panics for a flag that the command does not define.
    let trace = matches.try_get_one::<String>("trace").ok().flatten();
    if let Some(path) = trace {
        return Ok(trace::parse(&read(path)?).unwrap_or_else(|found| {
            for one in found {
                findings.file(path, one);
            }
            Vec::new()
        }));
    }
    let Some(path) = matches.get_one::<String>("mix") else {
        findings.add("mix", "either this or --trace is needed");
        return Ok(Vec::new());
    };
    let mix: Mix = match toml::from_str(&read(path)?) {
        Ok(mix) => mix,
        Err(error) => {
            findings.file(path, error);
            return Ok(Vec::new());
        }
    };
    Ok(mix.arrivals(seed).unwrap_or_else(|found| {
        for one in found {
            findings.file(path, one);
        }
        Vec::new()
    }))
}

fn allowed(matches: &ArgMatches, findings: &mut Findings) -> Result<AllowedVersions, Failure> {
    let mut allowed = AllowedVersions::default();
    let paths: Vec<String> = findings.list(matches, "contracts");
    for path in paths {
        if let Err(error) = allowed.add(&read(&path)?) {
            findings.file(&path, error);
        }
    }
    Ok(allowed)
}

fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let mut findings = Findings::default();
    let arrivals = arrivals(matches, &mut findings)?;
    let timeout: Option<Span> = findings.value(matches, "timeout");
    let max_retry_after: Option<Span> = findings.value(matches, "patience");
    let config = drive::Config {
        targets: findings.list(matches, "targets"),
        operators: findings.list(matches, "operators"),
        key_prefix: matches.get_one("key-prefix").cloned().unwrap_or_default(),
        allowed: allowed(matches, &mut findings)?,
        timeout: timeout.unwrap_or_default().duration(),
        retries: findings.value(matches, "retries").unwrap_or_default(),
        max_retry_after: max_retry_after.unwrap_or_default().duration(),
    };
    if config.targets.is_empty() {
        findings.add("targets", "at least one address is needed");
    }
    if !config.operators.is_empty() && config.operators.len() != config.targets.len() {
        findings.add("operators", "as many addresses as targets are needed");
    }
    ensure_none(findings)?;
    let progress = progress(arrivals.len());
    let report = runtime()?.block_on(drive::drive(config, &arrivals, &progress));
    progress.finish_and_clear();
    println!("{}", compare::table(&report));
    if let Some(path) = matches.get_one::<String>("out") {
        let text =
            serde_json::to_string(&report).map_err(|error| Failure::Io(error.to_string()))?;
        fs::write(path, text).map_err(|error| Failure::Io(format!("{path}: {error}")))?;
    }
    let broken: u64 = report.rows.iter().map(|row| sum(&row.broken)).sum();
    if broken > 0 {
        return Err(Failure::Broken);
    }
    Ok(())
}

/// A progress bar, which is shown on terminals only.
fn progress(calls: usize) -> ProgressBar {
    let bar = ProgressBar::new(calls as u64);
    let template = "{bar:40} {pos}/{len} calls answered, {elapsed}";
    match ProgressStyle::with_template(template) {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, Failure> {
    tokio::runtime::Runtime::new().map_err(|error| Failure::Io(error.to_string()))
}

fn draw(matches: &ArgMatches) -> Result<(), Failure> {
    let mut findings = Findings::default();
    let arrivals = arrivals(matches, &mut findings)?;
    ensure_none(findings)?;
    print!("{}", trace::write(&arrivals));
    Ok(())
}

fn compare(matches: &ArgMatches) -> Result<(), Failure> {
    if let [(_, before), (_, after)] = reports(matches)?.as_slice() {
        println!("{}", compare::compare(before, after));
    }
    Ok(())
}

fn plot(matches: &ArgMatches) -> Result<(), Failure> {
    let svg = plot::draw(&reports(matches)?).map_err(Failure::Io)?;
    println!("{svg}");
    Ok(())
}

fn judge(matches: &ArgMatches) -> Result<(), Failure> {
    let mut findings = Findings::default();
    let withdrawn = findings.list(matches, "withdrawn");
    let quiet_customers: Vec<id::Customer> = findings.list(matches, "quiet");
    let engines: Vec<String> = findings.list(matches, "engines");
    let services: Vec<String> = findings.list(matches, "services");
    let platform: Vec<String> = findings.list(matches, "platform");
    ensure_none(findings)?;
    let Some((_, report)) = reports(matches)?.pop() else {
        return Ok(());
    };
    let bills = matches.get_one::<String>("bills");
    let bills = json(bills.map_or("", String::as_str))?;
    let gather = async {
        let mut endpoint_faults = gather::affected_calls(&engines).await?;
        endpoint_faults += gather::affected_calls(&services).await?;
        let platform_faults = gather::affected_calls(&platform).await?;
        let engines = gather::stats(&engines).await?;
        let services = gather::stats(&services).await?;
        Ok((engines, services, endpoint_faults, platform_faults))
    };
    let (engines, services, endpoint_faults, platform_faults) = runtime()?.block_on(gather)?;
    let trial = Trial {
        report,
        bills,
        engines,
        services,
        withdrawn,
        overload: matches.get_one::<String>("quiet").is_some(),
        endpoint_faults,
        platform_faults,
        quiet_customers,
    };
    println!("{}\n", trial.table());
    println!("{}\n", trial.figures().join("\n"));
    let promises = trial.promises();
    for promise in &promises {
        println!("{promise}");
    }
    if promises.iter().all(Promise::is_kept) {
        Ok(())
    } else {
        Err(Failure::Broken)
    }
}
