//! The configuration fold over an application's own log, here a vector of text lines.
//!
//! `cargo run -p pimento-contract --example own_log`

use pimento_contract::Change;
use pimento_contract::State;
use pimento_contract::Value;
use pimento_contract::change::Entry;
use pimento_contract::raw::Configuration;
use pimento_contract::raw::File;
use pimento_contract::raw::Findings;
use pimento_contract::raw::Input;
use pimento_units::Offset;
use pimento_units::Wall;
use pimento_units::id;
use uuid::Uuid;

const TEXT: &str = r#"
[[pool]]
name = "llm"

[[version]]
id = "small@1"
pool = "llm"
quality = 0.9
price = { input = "0.40", output = "1.20" }
"#;

fn main() {
    match publish() {
        Ok(log) => read(&log),
        Err(findings) => eprint!("{findings}"),
    }
}

/// A writer: validates a file and appends a change for each value. It does so for two operators with
/// the same base, as if the second had not read the first one's changes.
fn publish() -> Result<Vec<String>, Findings> {
    let file = File {
        name: "example.toml".into(),
        text: TEXT.into(),
    };
    let source = Input {
        files: &[file],
        known: &State::default(),
    };
    let configuration = Configuration::try_from(source)?;
    let changes = ["ines", "jonas"].into_iter().flat_map(|by| {
        let values = configuration.values.iter();
        values.map(move |value| change(value, by))
    });
    let lines = changes.filter_map(|change| serde_json::to_string(&Entry::Change(change)).ok());
    Ok(lines.collect())
}

fn change(value: &Value, by: &str) -> Change {
    Change {
        id: id::Record(Uuid::now_v7()),
        subject: value.subject(),
        base: State::default().revision(&value.subject()),
        value: Some(value.clone()),
        by: by.into(),
        at: Wall::from_millis(0),
    }
}

/// A reader: all readers of these lines reach the same verdicts and hash.
fn read(log: &[String]) {
    let mut state = State::default();
    for (number, line) in (0..).zip(log) {
        let offset = Offset(number);
        match serde_json::from_str(line) {
            Ok(Entry::Change(change)) => {
                let verdict = state.apply(offset, &change);
                println!("{offset} {} by {}: {verdict:?}", change.subject, change.by);
            }
            Ok(Entry::Checkpoint(_)) | Err(_) => state.skip(offset),
        }
    }
    println!("state at {}: {}", state.offset, state.hash());
}
