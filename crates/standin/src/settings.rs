//! Reads the programs' settings from flags and environment variables and collects all errors.

use std::str::FromStr;

use clap::Arg;
use clap::ArgMatches;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;
use logforth::starter_log;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;

/// Defines a flag and its environment variable.
#[must_use]
pub fn flag(name: &'static str, variable: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(variable)
        .help(help)
        .value_name("VALUE")
}

/// Errors in the settings.
#[derive(Debug, Default)]
pub struct Findings(Vec<String>);

impl Findings {
    /// Adds an error in a flag's value.
    pub fn add(&mut self, flag: &str, finding: impl std::fmt::Display) {
        self.0.push(format!("--{flag}: {finding}"));
    }

    /// Adds an error in a file.
    pub fn file(&mut self, path: &str, finding: impl std::fmt::Display) {
        self.0.push(format!("{path}: {finding}"));
    }

    /// The value of a flag that has a default.
    pub fn value<T: FromStr<Err: std::fmt::Display>>(
        &mut self,
        matches: &ArgMatches,
        name: &str,
    ) -> Option<T> {
        let text = matches.get_one::<String>(name)?;
        text.parse()
            .map_err(|error| self.add(name, format!("{error} (found {text:?})")))
            .ok()
    }

    /// The values of a flag that takes a comma-separated list.
    pub fn list<T: FromStr<Err: std::fmt::Display>>(
        &mut self,
        matches: &ArgMatches,
        name: &str,
    ) -> Vec<T> {
        let texts = matches.get_one::<String>(name);
        let texts = texts.map_or("", String::as_str).split(',');
        let mut values = Vec::new();
        for text in texts.filter(|text| !text.is_empty()) {
            match text.parse() {
                Ok(value) => values.push(value),
                Err(error) => self.add(name, format!("{error} (found {text:?})")),
            }
        }
        values
    }

    /// The value of a flag that takes JSON; the default if it is not set.
    pub fn json<T: DeserializeOwned + Default>(&mut self, matches: &ArgMatches, name: &str) -> T {
        let Some(text) = matches.get_one::<String>(name) else {
            return T::default();
        };
        serde_json::from_str(text).unwrap_or_else(|error| {
            self.add(name, error);
            T::default()
        })
    }

    /// The value of a flag that takes a JSON object; fields that are left out are taken from
    /// `default`.
    pub fn overlay<T: Serialize + DeserializeOwned>(
        &mut self,
        matches: &ArgMatches,
        name: &str,
        default: T,
    ) -> T {
        let Some(text) = matches.get_one::<String>(name) else {
            return default;
        };
        let merged = merge(text, &default).and_then(serde_json::from_value);
        merged.unwrap_or_else(|error| {
            self.add(name, error);
            default
        })
    }

    /// The errors, one per line.
    #[must_use]
    pub fn lines(&self) -> &[String] {
        &self.0
    }
}

fn merge(text: &str, default: &impl Serialize) -> serde_json::Result<Value> {
    let given: Map<String, Value> = serde_json::from_str(text)?;
    let mut value = serde_json::to_value(default)?;
    if let Value::Object(fields) = &mut value {
        fields.extend(given);
    }
    Ok(value)
}

/// The flag for the format of log lines.
#[must_use]
pub fn log_format() -> Arg {
    flag("log-format", "PIMENTO_LOG_FORMAT", "Format of log lines")
        .value_parser(["text", "json"])
        .default_value("text")
        .global(true)
}

/// Starts logging to standard error in the format chosen.
pub fn log_to_stderr(matches: &ArgMatches) {
    let format = matches.get_one::<String>("log-format");
    let json = format.is_some_and(|format| format == "json");
    let starter = starter_log::stderr();
    if json {
        starter.layout(JsonLayout::default()).apply();
    } else {
        starter.layout(TextLayout::default()).apply();
    }
}
