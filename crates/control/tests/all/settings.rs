//! The program's settings: defaults, and errors that are reported together.

use std::time::Duration;

use pimento_control::config::Config;
use pimento_control::config::Findings;
use pimento_control::config::command;

const REQUIRED: [&str; 11] = [
    "pimento-control",
    "--node",
    "control-1",
    "--zone",
    "kig-remera",
    "--log-address",
    "127.0.0.1:1",
    "--vms-address",
    "127.0.0.1:2",
    "--weights-address",
    "127.0.0.1:3",
];

fn config(more: &[&str]) -> Result<Config, Findings> {
    let arguments = REQUIRED.iter().chain(more);
    let matches = command().try_get_matches_from(arguments);
    Config::try_from(&matches.expect("the flags exist"))
}

#[test]
fn defaults_are_valid() {
    let config = config(&[]).expect("the settings are valid");
    assert_eq!(config.lease.span.duration(), Duration::from_secs(15));
    assert!(config.lease.margin * 2 <= config.lease.span.duration());
}

#[test]
fn all_findings_are_reported_together() {
    let flags = [
        ("--period", "0s"),
        ("--lease", "3s"),
        ("--lease-margin", "2s"),
        ("--order-flight", "soon"),
        ("--engine-versions", "0"),
        ("--operators", "127.0.0.1:4,nowhere"),
        ("--log-format", "yaml"),
        ("--log-level", "loud"),
    ];
    let more: Vec<&str> = flags
        .iter()
        .flat_map(|(flag, value)| [*flag, *value])
        .collect();
    let findings = config(&more)
        .expect_err("seven settings are invalid")
        .to_string();
    let place = |line: &str| line.split_once(':').map(|(flag, _)| flag.to_owned());
    let mut places: Vec<String> = findings.lines().filter_map(place).collect();
    places.sort();
    let mut expected: Vec<&str> = flags.iter().map(|(flag, _)| *flag).collect();
    expected.retain(|flag| *flag != "--lease");
    expected.sort_unstable();
    assert_eq!(places, expected, "{findings}");
}
