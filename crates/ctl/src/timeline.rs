//! The timeline of one request, built from the log lines of several VMs.
//!
//! A request is served by one VM, whose log lines contain the request's id. Lines without the id
//! show the state of that VM, and what other VMs observed of the same endpoints. Wall clocks of VMs
//! differ and jump, so lines are ordered by the time since boot that each carries (`steady_ms`).
//! The clocks of two VMs are aligned by the records of the platform's log that both have read: a
//! record has one offset, and all VMs read it within a fraction of a second.

use std::fs;
use std::io;
use std::path::Path;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Milliseconds before a request's first line and after its last in which other lines are included.
/// A VM that loses contact logs it within two seconds and refuses keys after four.
const MARGIN_MS: i64 = 5_000;

/// A log line as a program wrote it.
#[derive(Debug, Clone, Deserialize)]
struct Raw {
    message: String,
    level: CompactString,
    #[serde(default)]
    kvs: Map<String, Value>,
    #[serde(default)]
    diags: Map<String, Value>,
}

/// A log line with its time.
#[derive(Debug, Clone)]
struct Line {
    raw: Raw,
    /// Milliseconds since the boot of the VM.
    at: i64,
}

impl Line {
    fn text(&self, field: &str) -> Option<&str> {
        self.raw.kvs.get(field)?.as_str()
    }

    /// Topic and offset of the platform's log record that the line mentions.
    fn record(&self) -> Option<(&str, u64)> {
        let offset = self.raw.kvs.get("offset")?.as_u64()?;
        Some((self.text("topic")?, offset))
    }
}

/// The log lines of one VM, in the order in which they were written.
#[derive(Debug, Clone)]
pub struct VmLog {
    vm: CompactString,
    lines: Vec<Line>,
    /// Number of lines that are not in this system's format or are truncated.
    pub malformed: usize,
}

impl VmLog {
    /// Parses the log lines of a VM. A `node` key in a line replaces the name `vm`.
    #[must_use]
    pub fn parse(vm: &str, text: &str) -> Self {
        let mut log = Self {
            vm: vm.into(),
            lines: Vec::new(),
            malformed: 0,
        };
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match serde_json::from_str::<Raw>(line) {
                Ok(raw) => log.push(raw),
                Err(_) => log.malformed += 1,
            }
        }
        log
    }

    fn push(&mut self, raw: Raw) {
        // The line that reports dropped lines is written out of order and carries no time; it gets
        // that of the line before it.
        let before = self.lines.last().map_or(0, |line| line.at);
        let at = raw.diags.get("steady_ms").and_then(Value::as_i64);
        let at = at.unwrap_or(before);
        if let Some(node) = raw.kvs.get("node").and_then(Value::as_str) {
            self.vm = node.into();
        }
        self.lines.push(Line { raw, at });
    }

    fn time_of_record(&self, record: (&str, u64)) -> Option<i64> {
        let found = self.lines.iter().find(|l| l.record() == Some(record));
        found.map(|line| line.at)
    }

    /// Milliseconds to add to the times of this VM to get those of `other`: the median over the
    /// records that both have read, or `None` if there are none.
    fn clock_offset(&self, other: &Self) -> Option<i64> {
        let records = other.lines.iter().filter_map(|line| {
            let own = self.time_of_record(line.record()?)?;
            Some(line.at - own)
        });
        let mut offsets: Vec<i64> = records.collect();
        offsets.sort_unstable();
        offsets.get(offsets.len() / 2).copied()
    }
}

/// Reads the log files in a folder, one for each VM. The file's name stands for the VM's until a
/// line names the VM.
///
/// # Errors
///
/// An I/O error if the folder or a file can't be read.
pub fn read_folder(path: &Path) -> io::Result<Vec<VmLog>> {
    let mut logs = Vec::new();
    let mut entries = fs::read_dir(path)?.collect::<io::Result<Vec<_>>>()?;
    entries.sort_by_key(fs::DirEntry::file_name);
    for entry in entries {
        if !entry.file_type()?.is_file() {
            continue;
        }
        let bytes = fs::read(entry.path())?;
        let name = entry.path();
        let name = name.file_stem().unwrap_or_default().to_string_lossy();
        logs.push(VmLog::parse(&name, &String::from_utf8_lossy(&bytes)));
    }
    Ok(logs)
}

/// One event of a timeline.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Event {
    /// Milliseconds since the request's first line, by the clock of the VM that served it. Negative
    /// for earlier events.
    pub at_ms: i64,
    /// The VM that logged it.
    pub vm: CompactString,
    /// Whether the line names the request.
    pub own: bool,
    /// The message of the line.
    pub what: String,
    /// The keys and values of the line.
    pub fields: Map<String, Value>,
}

/// Builds the timeline of a request; empty if no line names it.
#[must_use]
pub fn build(logs: &[VmLog], request: &str) -> Vec<Event> {
    let names = |line: &Line| line.text("request") == Some(request);
    let serving = logs.iter().find(|log| log.lines.iter().any(names));
    let Some(serving) = serving else {
        return Vec::new();
    };
    let own: Vec<&Line> = serving.lines.iter().filter(|line| names(line)).collect();
    let first = own.first().map_or(0, |line| line.at);
    let last = own.last().map_or(0, |line| line.at);
    let endpoints: Vec<&str> = own.iter().filter_map(|l| l.text("endpoint")).collect();
    let mut events = Vec::new();
    for log in logs {
        let same_vm = log.vm == serving.vm;
        let offset = if same_vm {
            Some(0)
        } else {
            log.clock_offset(serving)
        };
        // Without a common record the times of the two VMs can't be compared.
        let Some(offset) = offset else { continue };
        for line in &log.lines {
            let at = line.at + offset;
            let in_window = (first - MARGIN_MS..=last + MARGIN_MS).contains(&at);
            let own = names(line);
            if own || in_window && is_related(line, same_vm, &endpoints) {
                events.push(Event {
                    at_ms: at - first,
                    vm: log.vm.clone(),
                    own,
                    what: line.raw.message.clone(),
                    fields: line.raw.kvs.clone(),
                });
            }
        }
    }
    // The sort is stable: lines of the same millisecond stay in the order in which their VM wrote
    // them.
    events.sort_by_key(|event| event.at_ms);
    events
}

/// Whether a line that does not name the request is part of its timeline. This holds for lines of
/// any VM about the same endpoints, and for lines of the serving VM that name no endpoint or are
/// warnings. Lines that name another request are excluded.
fn is_related(line: &Line, same_vm: bool, endpoints: &[&str]) -> bool {
    if line.text("request").is_some() {
        return false;
    }
    let endpoint = line.text("endpoint");
    let named = endpoint.is_some_and(|endpoint| endpoints.contains(&endpoint));
    let about_itself = same_vm && (endpoint.is_none() || line.raw.level == "WARN");
    named || about_itself
}
