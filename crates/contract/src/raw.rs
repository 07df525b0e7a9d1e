//! Configuration as operators write it (TOML), and its validation.
//!
//! A file contains any number of `[[pool]]`, `[[version]]`, `[[service]]`, `[[rollout]]` and
//! `[[contract]]` tables. All files of one call are validated together and against the state in
//! force. All findings are reported together, each with its file, line and key path. All keys are
//! documented in `docs/CONTRACTS.md`.

mod contract;
mod finding;
mod links;
mod names;
mod platform;
mod table;

pub use finding::Finding;
pub use finding::Findings;
pub use finding::Place;

use std::ops::Range;

use compact_str::CompactString;
use toml::de::DeTable;

use self::finding::Report;
use self::links::Link;
use self::table::Table;
use crate::change::Subject;
use crate::change::Value;
use crate::fold::State;

/// A configuration file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct File {
    /// The name that findings use for it.
    pub name: CompactString,
    /// Its contents.
    pub text: String,
}

/// Files, with the state to which they are to be published.
#[derive(Debug, Clone, Copy)]
pub struct Input<'a> {
    /// The files, which are validated together.
    pub files: &'a [File],
    /// The state in force; names in the files may refer to it.
    pub known: &'a State,
}

/// The validated values of all files, sorted by subject, without duplicates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Configuration {
    /// The values.
    pub values: Vec<Value>,
}

/// What the parser collects besides findings, for the checks across tables and files.
#[derive(Debug, Default)]
struct Draft {
    values: Vec<Value>,
    definitions: Vec<(Subject, Place)>,
    links: Vec<Link>,
}

impl Draft {
    /// Records that a subject is defined, even if the rest of its table is faulty. Otherwise one
    /// fault would cause another finding at each reference to the subject.
    fn define(&mut self, subject: Subject, place: Place) {
        self.definitions.push((subject, place));
    }

    fn refer(&mut self, link: Link) {
        self.links.push(link);
    }
}

impl TryFrom<Input<'_>> for Configuration {
    type Error = Findings;

    /// Validates all files together.
    ///
    /// # Errors
    ///
    /// All findings, sorted by file and line. A file that is not valid TOML has only syntax
    /// findings. References are not checked then, since the names that it defines are unknown.
    fn try_from(source: Input<'_>) -> Result<Self, Findings> {
        let report = Report::default();
        let mut draft = Draft::default();
        let mut readable = true;
        for file in source.files {
            readable &= read(file, &report, &mut draft);
        }
        if readable {
            links::check(&draft, source.known, &report);
        }
        let findings = report.into_findings();
        if !findings.is_empty() {
            return Err(findings);
        }
        let mut values = draft.values;
        values.sort_by_key(Value::subject);
        Ok(Self { values })
    }
}

/// Reads one file; returns false if it is not valid TOML.
fn read(file: &File, report: &Report, draft: &mut Draft) -> bool {
    let lines = Lines::of(file);
    let (document, errors) = DeTable::parse_recoverable(&file.text);
    if !errors.is_empty() {
        for error in &errors {
            let place = lines.place(error.span().unwrap_or(0..0), "");
            report.add(&place, error.message());
        }
        return false;
    }
    let mut root = Table::root(document.get_ref(), &lines, report);
    for table in root.tables("pool") {
        platform::pool(table, draft);
    }
    for table in root.tables("version") {
        platform::version(table, draft);
    }
    for table in root.tables("service") {
        platform::service(table, draft);
    }
    for table in root.tables("rollout") {
        platform::rollout(table, draft);
    }
    for table in root.tables("contract") {
        contract::contract(table, draft);
    }
    root.finish();
    true
}

/// Converts byte offsets in a file into line numbers.
#[derive(Debug)]
struct Lines<'a> {
    file: &'a CompactString,
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    fn of(file: &'a File) -> Self {
        let after = |(at, _): (usize, &str)| at + 1;
        let starts = std::iter::once(0)
            .chain(file.text.match_indices('\n').map(after))
            .collect();
        Self {
            file: &file.name,
            starts,
        }
    }

    fn place(&self, span: Range<usize>, path: impl Into<CompactString>) -> Place {
        let line = self.starts.partition_point(|start| *start <= span.start);
        Place {
            file: self.file.clone(),
            line,
            path: path.into(),
        }
    }
}
