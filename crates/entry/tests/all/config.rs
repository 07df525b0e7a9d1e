//! Settings from the command line.

use pimento_entry::Config;
use pimento_entry::cli;
use pimento_entry::config;
use pimento_entry::config::Raw;

fn parse(arguments: &[&str]) -> Raw {
    let name = std::iter::once("pimento-entry");
    let matches = cli::command().get_matches_from(name.chain(arguments.iter().copied()));
    Raw::new(&matches)
}

const VALID: [&str; 6] = [
    "--node=entry-1",
    "--zone=kig-remera",
    "--log-address=127.0.0.1:1",
    "--vms-address=127.0.0.1:2",
    "--peer-key=a secret that peers share",
    "--session-key=a secret of entry VMs",
];

#[test]
fn only_names_addresses_and_keys_have_no_default() {
    let config = Config::try_from(&parse(&VALID)).unwrap();
    assert_eq!(config.node.as_str(), "entry-1");
    assert_eq!(config.rater_address, None);
    assert!(!format!("{config:?}").contains("secret"));
}

#[test]
fn all_findings_are_reported_together() {
    let raw = parse(&[
        "--node=",
        "--zone=kig remera",
        "--log-address=here",
        "--vms-address=127.0.0.1:2",
        "--peer-key=short",
        "--session-key=a secret of entry VMs",
        "--max-body=0",
        "--grace=soon",
        "--peers=127.0.0.1:1,there",
    ]);
    let findings = Config::try_from(&raw).unwrap_err();
    let flags: Vec<_> = findings.0.iter().map(|finding| finding.flag).collect();
    let expected = [
        "node",
        "zone",
        "peers",
        "log-address",
        "peer-key",
        "grace",
        "max-body",
    ];
    assert_eq!(flags, expected);
    assert!(findings.to_string().contains("PIMENTO_LOG_ADDRESS"));
}

#[test]
fn printed_settings_hide_secrets() {
    let text = config::print(&parse(&VALID));
    assert!(text.contains("zone = kig-remera"), "{text}");
    assert!(text.contains("peer-key = (set)"), "{text}");
    assert!(!text.contains("secret that"), "{text}");
}

#[test]
fn every_flag_has_an_environment_variable() {
    for arg in cli::command().get_arguments() {
        let env = arg.get_env().and_then(|env| env.to_str());
        assert!(env.is_some_and(|env| env.starts_with("PIMENTO_")), "{arg}");
    }
}
