//! Tests of traces and mixes. Each `tests/traces/*.trace` has an `*.expected` file with the trace
//! as it is formatted after parsing, or with the errors.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use pimento_standin::load::mix::Mix;
use pimento_standin::load::trace;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert_eq;
use proptest::proptest;

fn trace_files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let paths = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    let mut paths: Vec<_> = paths
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "trace")
        })
        .collect();
    paths.sort();
    paths
}

#[test]
fn files_are_parsed_as_expected() {
    let files = trace_files();
    assert!(files.len() >= 3, "trace files are missing");
    for path in files {
        let text = fs::read_to_string(&path).unwrap();
        let expected = fs::read_to_string(path.with_extension("expected")).unwrap();
        let found = match trace::parse(&text) {
            Ok(arrivals) => trace::write(&arrivals),
            Err(findings) => {
                let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
                lines.join(
                    "
",
                ) + "
"
            }
        };
        assert_eq!(found, expected, "{}", path.display());
    }
}

const MIX: &str = r#"
seconds = 30
[[flow]]
customer = "garage"
target = "stock"
rate = 4.0
output = 30
stream = 0.5
sessions = 3
[[flow]]
customer = "garage"
target = "service:order-desk"
rate = 2.0
twice = 0.5
"#;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn a_drawn_trace_round_trips(seed: u64) {
        let mix: Mix = toml::from_str(MIX).unwrap();
        let arrivals = mix.arrivals(seed).unwrap();
        prop_assert_eq!(trace::parse(&trace::write(&arrivals)), Ok(arrivals));
    }
}

#[test]
fn a_mix_draws_its_rates_and_repeated_calls() {
    let mix: Mix = toml::from_str(MIX).unwrap();
    let arrivals = mix.arrivals(1).unwrap();
    let stock = arrivals.iter().filter(|a| a.idempotency.is_none()).count();
    // The expected number is 120, and four standard deviations are 44.
    assert!((76..=164).contains(&stock), "{stock} stock calls");
    let mut labels: Vec<_> = arrivals
        .iter()
        .filter_map(|a| a.idempotency.clone())
        .collect();
    let orders = labels.len();
    labels.sort();
    labels.dedup();
    assert!(labels.len() < orders, "no order is sent twice");
}

#[test]
fn all_errors_of_a_mix_are_reported_together() {
    let text = MIX
        .replace("rate = 4.0", "rate = 0.0")
        .replace("service:order-desk", "service:");
    let mix: Mix = toml::from_str(&text).unwrap();
    let findings = mix.arrivals(1).unwrap_err();
    let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(
        findings,
        [
            "flow 1 (garage): rate: 0 is not above zero",
            "flow 2 (garage): target: a name must not be empty",
        ]
    );
}
