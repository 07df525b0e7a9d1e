//! Results of a run: one row for each customer and target, in a JSON file.

use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use pimento_units::Wall;
use pimento_units::id;
use pimento_wire::api::Run;
use serde::Deserialize;
use serde::Serialize;

use crate::load::check::Breach;
use crate::load::histogram::Bins;
use crate::load::histogram::Latency;
use crate::tally::Count;
use crate::tally::Tally;
use crate::text;

/// What became of one call.
#[derive(Debug, Clone)]
pub struct Sample {
    /// By whom.
    pub customer: id::Customer,
    /// To what.
    pub target: CompactString,
    /// When it was due, from the start of the run.
    pub at: Duration,
    /// How much later than intended it was sent.
    pub late: Duration,
    /// From the intended moment to the first byte of the answer's content.
    pub first: Option<Duration>,
    /// From the intended moment to the end of the answer.
    pub last: Option<Duration>,
    /// Between the pieces of a stream.
    pub gaps: Vec<Duration>,
    /// How it ended.
    pub outcome: Outcome,
    /// The request id that was sent along.
    pub key: Option<CompactString>,
    /// Whether the call went to a plain service.
    pub service: bool,
    /// The hash of its prompt, for calls to models.
    pub prompt: Option<u64>,
    /// The session's version before and now, if it was moved.
    pub moved: Option<Move>,
    /// Whether the call was served when it was sent again after `retry-after`.
    pub retried: Option<bool>,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer to the call.
    Served(Option<id::Version>),
    /// An error in the documented form.
    Refused {
        /// HTTP status; that of a stream's error event is 200.
        status: u16,
        /// The error's code.
        code: CompactString,
        /// Whether the call ran.
        run: Run,
    },
    /// No answer, or a broken connection.
    Failed(CompactString),
    /// An answer that breaks a promise.
    Broken(Breach),
}

/// A session that was moved to another version of the same model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Whose.
    pub customer: id::Customer,
    /// Which.
    pub session: u32,
    /// The version before.
    pub from: id::Version,
    /// The version now.
    pub to: id::Version,
}

/// The result of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// When the run began.
    pub began: Wall,
    /// How long it took, in milliseconds.
    pub took_ms: u64,
    /// Rows, sorted by customer and target.
    pub rows: Vec<Row>,
    /// Calls to plain services by key, sorted.
    pub keyed: Vec<Keyed>,
    /// Sessions that were moved.
    pub moves: Vec<Move>,
    /// Hashes of the prompts of calls to models that were told `not_run` and not sent again.
    pub not_run: Vec<CompactString>,
    /// The first calls that were not served, at most [`KEPT`], in the order in which they ended.
    pub unserved: Vec<Unserved>,
}

/// Calls listed in [`Report::unserved`].
pub const KEPT: usize = 200;

/// A call that was not served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unserved {
    /// When it was due, in milliseconds from the start of the run.
    pub at_ms: u64,
    /// When it ended, counted in the same way.
    pub ended_ms: u64,
    /// By whom.
    pub customer: id::Customer,
    /// To what.
    pub target: CompactString,
    /// How it ended.
    pub outcome: CompactString,
}

/// Calls of one customer to one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// By whom.
    pub customer: id::Customer,
    /// To what.
    pub target: CompactString,
    /// Calls sent.
    pub sent: u64,
    /// Calls answered in whole.
    pub served: u64,
    /// Answered calls, those on one request id counted once.
    pub requests: u64,
    /// Refusals, as `status code run`.
    pub refused: Vec<Count>,
    /// Calls without an answer, by reason.
    pub failed: Vec<Count>,
    /// Answers that break a promise.
    pub broken: Vec<Count>,
    /// Answers by version.
    pub versions: Vec<Count>,
    /// Refused calls that were sent again after `retry-after`.
    pub retried: u64,
    /// Those of them that were served.
    pub retried_served: u64,
    /// Latency to the first byte of content, in microseconds.
    pub first: Bins,
    /// Latency to the end of the answer, in microseconds.
    pub last: Bins,
    /// Time between the pieces of a stream, in microseconds.
    pub gaps: Bins,
    /// How much later than intended calls were sent, in microseconds.
    pub late: Bins,
}

/// What callers were told of one request id at a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keyed {
    /// The request id.
    pub key: CompactString,
    /// Whose.
    pub customer: id::Customer,
    /// Calls on it.
    pub calls: u32,
    /// Calls that were answered.
    pub served: u32,
    /// Calls that were told `not_run`.
    pub not_run: u32,
    /// Calls that were told `ran`.
    pub ran: u32,
    /// Calls that were told `unknown` or nothing.
    pub unknown: u32,
}

#[derive(Debug)]
struct Sums {
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

/// Adds samples up.
#[derive(Debug, Default)]
pub struct Collector {
    rows: Vec<Sums>,
    keyed: Vec<Keyed>,
    moves: Vec<Move>,
    not_run: Vec<CompactString>,
    unserved: Vec<Unserved>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Served(_) => f.write_str("served"),
            Self::Refused { status, code, run } => write!(f, "{status} {code} {run}"),
            Self::Failed(reason) => f.write_str(reason),
            Self::Broken(breach) => write!(f, "{breach}"),
        }
    }
}

impl Sample {
    /// The hash of the prompt, if the caller was told `not_run` and left it at that.
    fn not_run(&self) -> Option<CompactString> {
        let told = matches!(
            self.outcome,
            Outcome::Refused {
                run: Run::NotRun,
                ..
            }
        );
        let prompt = self.prompt.filter(|_| told && self.retried.is_none())?;
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
        if !served && self.unserved.len() < KEPT {
            self.unserved.push(Unserved::new(sample));
        }
        self.moves.extend(sample.moved.clone());
        self.not_run.extend(sample.not_run());
        if sample.service {
            self.key(sample);
        }
        self.row(sample).add(sample);
    }

    fn row(&mut self, sample: &Sample) -> &mut Sums {
        let wanted = (&sample.customer, &sample.target);
        let place = self
            .rows
            .binary_search_by(|row| (&row.customer, &row.target).cmp(&wanted));
        let place = place.unwrap_or_else(|at| {
            self.rows.insert(at, Sums::new(sample));
            at
        });
        &mut self.rows[place]
    }

    fn key(&mut self, sample: &Sample) {
        let Some(key) = &sample.key else { return };
        let place = self.keyed.binary_search_by(|known| known.key.cmp(key));
        let place = place.unwrap_or_else(|at| {
            let new = Keyed {
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
        let known = &mut self.keyed[place];
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
            rows: self.rows.into_iter().map(Sums::row).collect(),
            keyed: self.keyed,
            moves: self.moves,
            not_run: self.not_run,
            unserved: self.unserved,
        }
    }
}

impl Sums {
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
                self.served(sample);
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

    fn served(&mut self, sample: &Sample) {
        self.served += 1;
        if let Some(key) = &sample.key {
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

    fn row(self) -> Row {
        let keys = self.keys.counts();
        let again: u64 = keys.iter().map(|key| key.count - 1).sum();
        Row {
            customer: self.customer,
            target: self.target,
            sent: self.sent,
            served: self.served,
            requests: self.served - again,
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
