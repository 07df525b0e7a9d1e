//! Validation of operators' files. Each `raw/*.toml` has its expected findings in a file of the same
//! name.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use pimento_contract::Change;
use pimento_contract::State;
use pimento_contract::Value;
use pimento_contract::contract::Key;
use pimento_contract::raw::Configuration;
use pimento_contract::raw::File;
use pimento_contract::raw::Findings;
use pimento_contract::raw::Input;
use pimento_units::Offset;
use pimento_units::Revision;
use pimento_units::Wall;
use pimento_units::id;
use proptest::collection::vec;
use proptest::proptest;
use uuid::Uuid;

fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

fn paths(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("the folder can be read");
    let mut paths: Vec<PathBuf> = entries
        .map(|entry| entry.expect("an entry can be read").path())
        .filter(|path| path.extension().is_some_and(|kind| kind == "toml"))
        .collect();
    paths.sort();
    assert!(!paths.is_empty(), "no files in {}", folder.display());
    paths
}

fn load(path: &Path) -> File {
    let name = path.file_name().expect("a file has a name");
    File {
        name: name.to_string_lossy().into(),
        text: fs::read_to_string(path).expect("the file can be read"),
    }
}

fn check(files: &[File], known: &State) -> Result<Configuration, Findings> {
    Configuration::try_from(Input { files, known })
}

fn state(values: &[Value]) -> State {
    let mut state = State::default();
    for (at, value) in (0..).zip(values) {
        let change = Change {
            id: id::Record(Uuid::from_u128(u128::from(at))),
            subject: value.subject(),
            base: Revision(0),
            value: Some(value.clone()),
            by: "test".into(),
            at: Wall::from_millis(0),
        };
        state.apply(Offset(at), &change);
    }
    state
}

fn example(name: &str) -> Vec<File> {
    let paths = paths(&folder("../../examples").join(name));
    paths.iter().map(|path| load(path)).collect()
}

#[test]
fn faulty_files_have_the_expected_findings() {
    for path in paths(&folder("tests/raw")) {
        let expected = fs::read_to_string(path.with_extension("findings"))
            .expect("each file has its findings beside it");
        let found = check(&[load(&path)], &State::default()).expect_err("the file is faulty");
        assert_eq!(found.to_string(), expected, "{}", path.display());
    }
}

proptest! {
    /// Validation of a damaged file returns values, or findings that name a line of the file. It never
    /// panics.
    #[test]
    fn a_damaged_file_has_values_or_findings(
        lines in vec((0_usize..200, 0_usize..200, ".{0,12}"), 1..6),
    ) {
        let mut file = load(&folder("../../examples/nyabarongo/contracts.toml"));
        for (line, column, text) in lines {
            file.text = damage(&file.text, line, column, &text);
        }
        let count = file.text.lines().count();
        match check(&[file], &State::default()) {
            Ok(configuration) => assert!(configuration.values.len() <= 10),
            Err(findings) => {
                let lines = findings.as_slice().iter().map(|finding| finding.place.line);
                assert!(!findings.is_empty());
                assert!(lines.into_iter().all(|line| (1..=count + 1).contains(&line)));
            }
        }
    }
}

/// Replaces the end of a line, starting at a column.
fn damage(text: &str, line: usize, column: usize, with: &str) -> String {
    let damaged = text.lines().enumerate().map(|(number, content)| {
        let kept: String = content.chars().take(column % 60).collect();
        if number == line {
            format!("{kept}{with}")
        } else {
            content.into()
        }
    });
    damaged.collect::<Vec<String>>().join("\n")
}

#[test]
fn five_faults_have_five_findings() {
    let file = load(&folder("tests/raw/five-faults.toml"));
    let found = check(&[file], &State::default()).expect_err("the file is faulty");
    assert_eq!(found.as_slice().len(), 5);
}

#[test]
fn examples_are_valid() {
    for name in ["nyabarongo", "rybnikar"] {
        let files = example(name);
        let found = check(&files, &State::default());
        let values = found.unwrap_or_else(|f| panic!("{name}:\n{f}")).values;
        let state = state(&values);
        assert_eq!(state.contracts().count(), 10, "{name}");
        assert_eq!(state.versions().count(), 5, "{name}");
        for contract in state.contracts() {
            let key = Key::of(&format!("demo-key-{}", contract.customer));
            let holder = state.contract_for_key(key).map(|holder| &holder.customer);
            assert_eq!(holder, Some(&contract.customer));
        }
    }
}

#[test]
fn a_file_may_refer_to_subjects_in_force() {
    for name in ["nyabarongo", "rybnikar"] {
        let rollout = folder("../../examples")
            .join(name)
            .join("rollouts/mini-2.toml");
        let rollout = load(&rollout);
        let alone = check(std::slice::from_ref(&rollout), &State::default());
        let alone = alone.expect_err("its versions are defined elsewhere");
        assert_eq!(alone.as_slice().len(), 2, "{alone}");
        let known = check(&example(name), &State::default()).expect("the example is valid");
        let over = check(&[rollout], &state(&known.values)).expect("its versions are in force");
        assert_eq!(over.values.len(), 1);
    }
}

/// An operator gives a new customer the API key of another customer, whose contract is not in the
/// file. If this were accepted, requests with the key would be billed to whichever contract is found
/// first.
#[test]
fn a_key_of_another_customer_in_force_is_found() {
    let known = check(&example("nyabarongo"), &State::default()).expect("the example is valid");
    let known = state(&known.values);
    let mut file = load(&folder("../../examples/nyabarongo/contracts.toml"));
    let first = file
        .text
        .split("\n[[contract]]")
        .nth(1)
        .expect("there are contracts");
    file.text = format!("[[contract]]{first}").replace("\"garage-gatenga\"", "\"garage-new\"");
    let found = check(&[file], &known).expect_err("the key is taken");
    assert_eq!(found.as_slice().len(), 1, "{found}");
    assert!(
        found
            .to_string()
            .contains("belongs to contract/garage-gatenga")
    );
}
