//! Names on the wire.

use std::collections::HashMap;
use std::env;
use std::fs;
use std::sync::OnceLock;

static NAMES: OnceLock<HashMap<String, String>> = OnceLock::new();

fn load() -> HashMap<String, String> {
    let path = env::var("NAMES").expect("NAMES is set");
    let text = fs::read_to_string(path).expect("the names can be read");
    let entries = text.lines().filter_map(|line| line.split_once(' '));
    entries
        .map(|(key, name)| (key.to_string(), name.to_string()))
        .collect()
}

/// The name on the wire of a thing.
pub fn name(key: &str) -> &'static str {
    let names = NAMES.get_or_init(load);
    names.get(key).expect("a known name")
}
