//! The command line of `pimento-load`.
//!
//! Exit codes: 0 if all is well, 1 if a promise was broken or an answer failed its check, 2 for bad
//! settings or files, 3 if a file or an address can't be had.

use std::fs;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use indicatif::ProgressBar;
use indicatif::ProgressStyle;
use pimento_units::Span;
use pimento_units::id;

use crate::load::allowed::Allowed;
use crate::load::compare;
use crate::load::compare::sum;
use crate::load::drive;
use crate::load::files::Stop;
use crate::load::files::json;
use crate::load::files::read;
use crate::load::gather;
use crate::load::judge::Evidence;
use crate::load::mix::Mix;
use crate::load::plot;
use crate::load::promise::Promise;
use crate::load::result::Report;
use crate::load::trace;
use crate::load::trace::Arrival;
use crate::settings;
use crate::settings::Findings;
use crate::settings::flag;

/// A promise was broken, or an answer failed its check.
pub const EXIT_BROKEN: u8 = 1;
/// Bad settings, bad files or bad usage.
pub const EXIT_USAGE: u8 = 2;
/// A file or an address can't be had.
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
        Err(Stop::Broken) => ExitCode::from(EXIT_BROKEN),
        Err(Stop::Io(reason)) => {
            eprintln!("pimento-load: {reason}");
            ExitCode::from(EXIT_IO)
        }
        Err(Stop::Findings(findings)) => {
            for finding in findings.lines() {
                eprintln!("pimento-load: {finding}");
            }
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// The command line's definition.
#[must_use]
pub fn command() -> Command {
    Command::new("pimento-load")
        .about("Sends requests in an open loop, checks each answer and measures")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(settings::log_format())
        .subcommand(run_command())
        .subcommand(
            Command::new("draw")
                .about("Draws the arrivals of a mix and prints them as a trace")
                .arg(mix().required(true))
                .arg(seed()),
        )
        .subcommand(
            Command::new("compare")
                .about("Shows two result files beside each other")
                .arg(files("result", "Two result files").num_args(2)),
        )
        .subcommand(
            Command::new("plot")
                .about("Plots first-byte latency of result files as SVG on standard output")
                .arg(files("result", "Result files").num_args(1..)),
        )
        .subcommand(judge_command())
}

fn run_command() -> Command {
    Command::new("run")
        .about("Sends the calls of a mix or trace")
        .arg(
            flag(
                "targets",
                "PIMENTO_LOAD_TARGETS",
                "Entry VMs' addresses, between commas",
            )
            .required(true),
        )
        .arg(flag(
            "operators",
            "PIMENTO_LOAD_OPERATORS",
            "Operators' addresses of the same entry VMs: those not ready get no calls",
        ))
        .arg(mix())
        .arg(flag("trace", "PIMENTO_LOAD_TRACE", "Trace file").conflicts_with("mix"))
        .arg(seed())
        .arg(flag(
            "contracts",
            "PIMENTO_LOAD_CONTRACTS",
            "Files with the contracts, between commas; without them any version passes",
        ))
        .arg(
            flag(
                "key-prefix",
                "PIMENTO_LOAD_KEY_PREFIX",
                "What stands before a customer's name in its API key",
            )
            .default_value("demo-key-"),
        )
        .arg(
            flag(
                "timeout",
                "PIMENTO_LOAD_TIMEOUT",
                "Longest wait for an answer",
            )
            .default_value("30s"),
        )
        .arg(
            flag(
                "retries",
                "PIMENTO_LOAD_RETRIES",
                "Share of refused calls that are sent again after retry-after",
            )
            .default_value("0"),
        )
        .arg(
            flag(
                "patience",
                "PIMENTO_LOAD_PATIENCE",
                "Longest retry-after that is waited for",
            )
            .default_value("30s"),
        )
        .arg(flag("out", "PIMENTO_LOAD_OUT", "Result file to write"))
}

fn judge_command() -> Command {
    Command::new("judge")
        .about("Holds a result against bills and endpoints; exit code 1 if a promise was broken")
        .arg(files("result", "Result file").num_args(1))
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
                "Stand-in engines' addresses, between commas",
            )
            .required(true),
        )
        .arg(
            flag(
                "services",
                "PIMENTO_LOAD_SERVICES",
                "Stand-in services' addresses, between commas",
            )
            .required(true),
        )
        .arg(flag(
            "platform",
            "PIMENTO_LOAD_PLATFORM",
            "Stand-ins of the platform whose faults excuse refusals, between commas",
        ))
        .arg(flag(
            "withdrawn",
            "PIMENTO_LOAD_WITHDRAWN",
            "VERSION=MILLISECONDS since the Unix epoch, between commas",
        ))
        .arg(flag(
            "quiet",
            "PIMENTO_LOAD_QUIET",
            "Overload is expected; customers who must be served all the same, between commas",
        ))
}

fn mix() -> Arg {
    flag("mix", "PIMENTO_LOAD_MIX", "Mix file")
}

fn seed() -> Arg {
    flag("seed", "PIMENTO_LOAD_SEED", "Draws the arrivals of a mix").default_value("1")
}

fn files(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).value_name("FILE").help(help)
}

fn checked(findings: Findings) -> Result<(), Stop> {
    if findings.lines().is_empty() {
        Ok(())
    } else {
        Err(Stop::Findings(findings))
    }
}

fn reports(matches: &ArgMatches) -> Result<Vec<(String, Report)>, Stop> {
    let paths = matches.get_many::<String>("result").into_iter().flatten();
    paths.map(|path| Ok((path.clone(), json(path)?))).collect()
}

fn arrivals(matches: &ArgMatches, findings: &mut Findings) -> Result<Vec<Arrival>, Stop> {
    let seed = findings.value(matches, "seed").unwrap_or(0);
    // Only `run` takes a trace, and asking for a flag that a command lacks would panic.
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
        findings.note("mix", "either this or --trace is needed");
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

fn allowed(matches: &ArgMatches, findings: &mut Findings) -> Result<Allowed, Stop> {
    let mut allowed = Allowed::default();
    let paths: Vec<String> = findings.list(matches, "contracts");
    for path in paths {
        if let Err(error) = allowed.add(&read(&path)?) {
            findings.file(&path, error);
        }
    }
    Ok(allowed)
}

fn run(matches: &ArgMatches) -> Result<(), Stop> {
    let mut findings = Findings::default();
    let arrivals = arrivals(matches, &mut findings)?;
    let timeout: Option<Span> = findings.value(matches, "timeout");
    let patience: Option<Span> = findings.value(matches, "patience");
    let config = drive::Config {
        targets: findings.list(matches, "targets"),
        operators: findings.list(matches, "operators"),
        prefix: matches.get_one("key-prefix").cloned().unwrap_or_default(),
        allowed: allowed(matches, &mut findings)?,
        timeout: timeout.unwrap_or_default().duration(),
        retries: findings.value(matches, "retries").unwrap_or_default(),
        patience: patience.unwrap_or_default().duration(),
    };
    if config.targets.is_empty() {
        findings.note("targets", "at least one address is needed");
    }
    if !config.operators.is_empty() && config.operators.len() != config.targets.len() {
        findings.note("operators", "as many addresses as targets are needed");
    }
    checked(findings)?;
    let progress = progress(arrivals.len());
    let report = runtime()?.block_on(drive::drive(config, &arrivals, &progress));
    progress.finish_and_clear();
    println!("{}", compare::table(&report));
    if let Some(path) = matches.get_one::<String>("out") {
        let text = serde_json::to_string(&report).map_err(|error| Stop::Io(error.to_string()))?;
        fs::write(path, text).map_err(|error| Stop::Io(format!("{path}: {error}")))?;
    }
    let broken: u64 = report.rows.iter().map(|row| sum(&row.broken)).sum();
    if broken > 0 {
        return Err(Stop::Broken);
    }
    Ok(())
}

/// Shows itself on a terminal only.
fn progress(calls: usize) -> ProgressBar {
    let bar = ProgressBar::new(calls as u64);
    let template = "{bar:40} {pos}/{len} calls answered, {elapsed}";
    match ProgressStyle::with_template(template) {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, Stop> {
    tokio::runtime::Runtime::new().map_err(|error| Stop::Io(error.to_string()))
}

fn draw(matches: &ArgMatches) -> Result<(), Stop> {
    let mut findings = Findings::default();
    let arrivals = arrivals(matches, &mut findings)?;
    checked(findings)?;
    print!("{}", trace::write(&arrivals));
    Ok(())
}

fn compare(matches: &ArgMatches) -> Result<(), Stop> {
    if let [(_, before), (_, after)] = reports(matches)?.as_slice() {
        println!("{}", compare::compare(before, after));
    }
    Ok(())
}

fn plot(matches: &ArgMatches) -> Result<(), Stop> {
    let svg = plot::draw(&reports(matches)?).map_err(Stop::Io)?;
    println!("{svg}");
    Ok(())
}

fn judge(matches: &ArgMatches) -> Result<(), Stop> {
    let mut findings = Findings::default();
    let withdrawn = findings.list(matches, "withdrawn");
    let quiet: Vec<id::Customer> = findings.list(matches, "quiet");
    let engines: Vec<String> = findings.list(matches, "engines");
    let services: Vec<String> = findings.list(matches, "services");
    let platform: Vec<String> = findings.list(matches, "platform");
    checked(findings)?;
    let Some((_, report)) = reports(matches)?.pop() else {
        return Ok(());
    };
    let bills = matches.get_one::<String>("bills");
    let bills = json(bills.map_or("", String::as_str))?;
    let gather = async {
        let mut struck = gather::faults(&engines).await?;
        struck += gather::faults(&services).await?;
        let platform = gather::faults(&platform).await?;
        let engines = gather::stats(&engines).await?;
        let services = gather::stats(&services).await?;
        Ok((engines, services, struck, platform))
    };
    let (engines, services, struck, platform) = runtime()?.block_on(gather)?;
    let evidence = Evidence {
        report,
        bills,
        engines,
        services,
        withdrawn,
        overload: matches.get_one::<String>("quiet").is_some(),
        struck,
        platform,
        quiet,
    };
    println!("{}\n", evidence.table());
    println!("{}\n", evidence.figures().join("\n"));
    let promises = evidence.promises();
    for promise in &promises {
        println!("{promise}");
    }
    if promises.iter().all(Promise::kept) {
        Ok(())
    } else {
        Err(Stop::Broken)
    }
}
