//! The result of a run, written as a JSON file: one row per customer and target.

use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use pimento_units::Wall;
use pimento_units::id;
use pimento_wire::api::Run;
use serde::Deserialize;
use serde::Serialize;

use crate::load::check::Violation;
use crate::load::histogram::Bins;
use crate::load::histogram::Latency;
use crate::tally::Count;
use crate::tally::Tally;
use crate::text;

/// The result of one call.
#[derive(Debug, Clone)]
pub struct Sample {
    /// The customer.
    pub customer: id::Customer,
    /// The target, as named in results.
    pub target: CompactString,
    /// The scheduled time, from the start of the run.
    pub at: Duration,
    /// How much later than scheduled it was sent.
    pub late: Duration,
    /// From the scheduled time to the first byte of the answer's content.
    pub first: Option<Duration>,
    /// From the scheduled time to the end of the answer.
    pub last: Option<Duration>,
    /// Times between the chunks of a stream.
    pub gaps: Vec<Duration>,
    /// The outcome.
    pub outcome: Outcome,
    /// The request id sent with the call.
    pub request_id: Option<CompactString>,
    /// Whether the call went to a plain service.
    pub service: bool,
    /// The hash of the prompt; none for calls to services.
    pub prompt: Option<u64>,
    /// The change of the session's version, if there was one.
    pub version_change: Option<VersionChange>,
    /// Whether the retry after `retry-after` was served; none if the call was not retried.
    pub retried: Option<bool>,
}

/// The outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A complete and correct answer.
    Served(Option<id::Version>),
    /// An error of the documented format.
    Refused {
        /// The HTTP status; 200 for an error event in a stream.
        status: u16,
        /// The error's code.
        code: CompactString,
        /// Whether the call ran.
        run: Run,
    },
    /// No answer, or a broken connection.
    Failed(CompactString),
    /// An answer that failed its check.
    Broken(Violation),
}

/// A session that changed to another version of the same model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionChange {
    /// The customer.
    pub customer: id::Customer,
    /// The session number.
    pub session: u32,
    /// The previous version.
    pub from: id::Version,
    /// The new version.
    pub to: id::Version,
}

/// The result of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// When the run started.
    pub began: Wall,
    /// The duration of the run, in milliseconds.
    pub took_ms: u64,
    /// Rows, sorted by customer and target.
    pub rows: Vec<Row>,
    /// Calls to plain services by request id, sorted.
    pub keyed: Vec<KeyedCalls>,
    /// Sessions that changed their version.
    pub moves: Vec<VersionChange>,
    /// Hashes of the prompts of calls to models that were refused with `not_run` and not retried.
    pub not_run: Vec<CompactString>,
    /// The first calls that were not served, at most [`MAX_UNSERVED`], in the order in which they
    /// ended.
    pub unserved: Vec<Unserved>,
}

/// The maximum length of [`Report::unserved`].
pub const MAX_UNSERVED: usize = 200;

/// A call that was not served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unserved {
    /// The scheduled time, in milliseconds from the start of the run.
    pub at_ms: u64,
    /// When it ended, in milliseconds from the start of the run.
    pub ended_ms: u64,
    /// The customer.
    pub customer: id::Customer,
    /// The target, as named in results.
    pub target: CompactString,
    /// The outcome.
    pub outcome: CompactString,
}

/// The calls of one customer to one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The customer.
    pub customer: id::Customer,
    /// The target, as named in results.
    pub target: CompactString,
    /// Calls sent.
    pub sent: u64,
    /// Calls answered completely and correctly.
    pub served: u64,
    /// Served calls, with calls of the same request id counted once.
    pub requests: u64,
    /// Refusals by `status code run`.
    pub refused: Vec<Count>,
    /// Calls without an answer, by reason.
    pub failed: Vec<Count>,
    /// Answers that failed their check, by violation.
    pub broken: Vec<Count>,
    /// Answers by version.
    pub versions: Vec<Count>,
    /// Refused calls that were retried after `retry-after`.
    pub retried: u64,
    /// Retried calls that were then served.
    pub retried_served: u64,
    /// Latency to the first byte of content, in microseconds.
    pub first: Bins,
    /// Latency to the end of the answer, in microseconds.
    pub last: Bins,
    /// Times between the chunks of streams, in microseconds.
    pub gaps: Bins,
    /// How much later than scheduled calls were sent, in microseconds.
    pub late: Bins,
}

/// The answers to all calls to a plain service with one request id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedCalls {
    /// The request id.
    pub key: CompactString,
    /// The customer.
    pub customer: id::Customer,
    /// Calls with it.
    pub calls: u32,
    /// Calls that were answered.
    pub served: u32,
    /// Calls refused with `not_run`.
    pub not_run: u32,
    /// Calls refused with `ran`.
    pub ran: u32,
    /// Calls refused with `unknown`, without an answer, or with an answer that failed its check.
    pub unknown: u32,
}

#[derive(Debug)]
struct RowTotals {
    customer: id::Customer,
    target: CompactString,
    sent: u64,
    served: u64,
    keys: Tally,
    refused: Tally,
    failed: Tally,
    broken: Tally,
    versions: Tally,
    retried: u64,
    retried_served: u64,
    first: Latency,
    last: Latency,
    gaps: Latency,
    late: Latency,
}

/// Aggregates samples.
#[derive(Debug, Default)]
pub struct Collector {
    rows: Vec<RowTotals>,
    keyed: Vec<KeyedCalls>,
    moves: Vec<VersionChange>,
    not_run: Vec<CompactString>,
    unserved: Vec<Unserved>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Served(_) => f.write_str("served"),
            Self::Refused { status, code, run } => write!(f, "{status} {code} {run}"),
            Self::Failed(reason) => f.write_str(reason),
            Self::Broken(violation) => write!(f, "{violation}"),
        }
    }
}

impl Sample {
    /// The hash of the prompt, if the call was refused with `not_run` and not retried.
    fn not_run(&self) -> Option<CompactString> {
        let refused = matches!(
            self.outcome,
            Outcome::Refused {
                run: Run::NotRun,
                ..
            }
        );
        let prompt = self.prompt.filter(|_| refused && self.retried.is_none())?;
        Some(text::hex(prompt))
    }
}

impl Unserved {
    fn new(sample: &Sample) -> Self {
        let ended = sample.at + sample.last.unwrap_or_default();
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Self {
            at_ms: millis(sample.at),
            ended_ms: millis(ended),
            customer: sample.customer.clone(),
            target: sample.target.clone(),
            outcome: format_compact!("{}", sample.outcome),
        }
    }
}

impl Collector {
    /// Adds a sample.
    pub fn add(&mut self, sample: &Sample) {
        let served = matches!(sample.outcome, Outcome::Served(_));
        if !served && self.unserved.len() < MAX_UNSERVED {
            self.unserved.push(Unserved::new(sample));
        }
        self.moves.extend(sample.version_change.clone());
        self.not_run.extend(sample.not_run());
        if sample.service {
            self.add_keyed(sample);
        }
        self.row(sample).add(sample);
    }

    fn row(&mut self, sample: &Sample) -> &mut RowTotals {
        let searched = (&sample.customer, &sample.target);
        let index = self
            .rows
            .binary_search_by(|row| (&row.customer, &row.target).cmp(&searched));
        let index = index.unwrap_or_else(|at| {
            self.rows.insert(at, RowTotals::new(sample));
            at
        });
        &mut self.rows[index]
    }

    fn add_keyed(&mut self, sample: &Sample) {
        let Some(key) = &sample.request_id else {
            return;
        };
        let index = self.keyed.binary_search_by(|known| known.key.cmp(key));
        let index = index.unwrap_or_else(|at| {
            let new = KeyedCalls {
                key: key.clone(),
                customer: sample.customer.clone(),
                calls: 0,
                served: 0,
                not_run: 0,
                ran: 0,
                unknown: 0,
            };
            self.keyed.insert(at, new);
            at
        });
        let known = &mut self.keyed[index];
        known.calls += 1;
        match &sample.outcome {
            Outcome::Served(_) => known.served += 1,
            Outcome::Refused {
                run: Run::NotRun, ..
            } => known.not_run += 1,
            Outcome::Refused { run: Run::Ran, .. } => known.ran += 1,
            _ => known.unknown += 1,
        }
    }

    /// The result.
    #[must_use]
    pub fn report(self, began: Wall, took: Duration) -> Report {
        Report {
            began,
            took_ms: u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
            rows: self.rows.into_iter().map(RowTotals::into_row).collect(),
            keyed: self.keyed,
            moves: self.moves,
            not_run: self.not_run,
            unserved: self.unserved,
        }
    }
}

impl RowTotals {
    fn new(sample: &Sample) -> Self {
        Self {
            customer: sample.customer.clone(),
            target: sample.target.clone(),
            sent: 0,
            served: 0,
            keys: Tally::default(),
            refused: Tally::default(),
            failed: Tally::default(),
            broken: Tally::default(),
            versions: Tally::default(),
            retried: 0,
            retried_served: 0,
            first: Latency::default(),
            last: Latency::default(),
            gaps: Latency::default(),
            late: Latency::default(),
        }
    }

    fn add(&mut self, sample: &Sample) {
        self.sent += 1;
        self.late.record(sample.late);
        self.retried += u64::from(sample.retried.is_some());
        self.retried_served += u64::from(sample.retried == Some(true));
        match &sample.outcome {
            Outcome::Served(version) => {
                self.add_served(sample);
                if let Some(version) = version {
                    self.versions.add(version.as_str());
                }
            }
            outcome @ Outcome::Refused { .. } => {
                self.refused.add(&format_compact!("{outcome}"));
            }
            outcome @ Outcome::Failed(_) => {
                self.failed.add(&format_compact!("{outcome}"));
            }
            outcome @ Outcome::Broken(_) => {
                self.broken.add(&format_compact!("{outcome}"));
            }
        }
    }

    fn add_served(&mut self, sample: &Sample) {
        self.served += 1;
        if let Some(key) = &sample.request_id {
            self.keys.add(key);
        }
        if let Some(first) = sample.first {
            self.first.record(first);
        }
        if let Some(last) = sample.last {
            self.last.record(last);
        }
        for gap in &sample.gaps {
            self.gaps.record(*gap);
        }
    }

    fn into_row(self) -> Row {
        let keys = self.keys.counts();
        let repeats: u64 = keys.iter().map(|key| key.count - 1).sum();
        Row {
            customer: self.customer,
            target: self.target,
            sent: self.sent,
            served: self.served,
            requests: self.served - repeats,
            refused: self.refused.counts().to_vec(),
            failed: self.failed.counts().to_vec(),
            broken: self.broken.counts().to_vec(),
            versions: self.versions.counts().to_vec(),
            retried: self.retried,
            retried_served: self.retried_served,
            first: self.first.bins(),
            last: self.last.bins(),
            gaps: self.gaps.bins(),
            late: self.late.bins(),
        }
    }
}
