//! Settings of the programs, read from flags and environment, with all findings together.

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

/// A flag with its environment variable.
#[must_use]
pub fn flag(name: &'static str, variable: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(variable)
        .help(help)
        .value_name("VALUE")
}

/// What is wrong with the settings; empty if nothing is.
#[derive(Debug, Default)]
pub struct Findings(Vec<String>);

impl Findings {
    /// Notes a finding on a flag.
    pub fn note(&mut self, flag: &str, finding: impl std::fmt::Display) {
        self.0.push(format!("--{flag}: {finding}"));
    }

    /// Notes a finding in a file.
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
            .map_err(|error| self.note(name, format!("{error} (found {text:?})")))
            .ok()
    }

    /// The values of a flag with a list between commas.
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
                Err(error) => self.note(name, format!("{error} (found {text:?})")),
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
            self.note(name, error);
            T::default()
        })
    }

    /// The value of a flag that takes JSON; what it leaves out is taken from `default`.
    pub fn overlay<T: Serialize + DeserializeOwned>(
        &mut self,
        matches: &ArgMatches,
        name: &str,
        default: T,
    ) -> T {
        let Some(text) = matches.get_one::<String>(name) else {
            return default;
        };
        let merged = overlaid(text, &default).and_then(serde_json::from_value);
        merged.unwrap_or_else(|error| {
            self.note(name, error);
            default
        })
    }

    /// The findings, one a line.
    #[must_use]
    pub fn lines(&self) -> &[String] {
        &self.0
    }
}

fn overlaid(text: &str, default: &impl Serialize) -> serde_json::Result<Value> {
    let given: Map<String, Value> = serde_json::from_str(text)?;
    let mut value = serde_json::to_value(default)?;
    if let Value::Object(fields) = &mut value {
        fields.extend(given);
    }
    Ok(value)
}

/// The flag that chooses how log lines look.
#[must_use]
pub fn log_format() -> Arg {
    flag("log-format", "PIMENTO_LOG_FORMAT", "Form of log lines")
        .value_parser(["text", "json"])
        .default_value("text")
        .global(true)
}

/// Sends log lines to standard error in the form that was asked for.
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
