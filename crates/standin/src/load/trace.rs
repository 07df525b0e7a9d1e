//! Trace files: one arrival a line, in the order of arrival.
//!
//! ```text
//! # arrival_ms customer target prompt output stream session idempotency
//! 0 garage-gatenga stock 60 40 stream 3 -
//! 12.5 mine-rutongo service:order-desk 20 0 whole - drum-17
//! ```
//!
//! The target is a class or `service:` and a plain service. Sizes are in tokens. Calls of one
//! customer with the same session number go out with the session token of the answer before.
//! Calls with the same idempotency label go out with the same `idempotency-key`; `-` is none. Empty
//! lines and lines that begin with `#` are passed over.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;
use pimento_units::Tokens;
use pimento_units::id;
use snafu::OptionExt;
use snafu::Snafu;

/// One call that is to be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// When, from the start of the run.
    pub at: Duration,
    /// By whom.
    pub customer: id::Customer,
    /// To what.
    pub target: Target,
    /// Tokens of the prompt; for a service, words of the body.
    pub prompt: Tokens,
    /// Tokens asked for.
    pub output: Tokens,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The customer's session.
    pub session: Option<u32>,
    /// Calls with one label are the same call, sent again.
    pub idempotency: Option<CompactString>,
}

/// What a call goes to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A class of a contract.
    Class(id::Class),
    /// A plain service.
    Service(id::Service),
}

/// What is wrong with a line.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Not the eight columns.
    #[snafu(display("a line has 8 columns, this one has {found}"))]
    Columns {
        /// Columns found.
        found: usize,
    },
    /// A column that can't be read.
    #[snafu(display("{column}: {text:?} can't be read"))]
    Column {
        /// The column's name.
        column: &'static str,
        /// What was found.
        text: CompactString,
    },
    /// An arrival before the one on the line above.
    #[snafu(display("arrival_ms: arrivals must not go back"))]
    Order,
}

/// A finding with its line, from 1.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("line {line}: {source}"))]
pub struct Finding {
    /// The line's number.
    pub line: usize,
    /// What is wrong.
    pub source: Error,
}

const COLUMNS: usize = 8;
const SERVICE: &str = "service:";

/// Reads a trace.
///
/// # Errors
///
/// All findings.
pub fn parse(text: &str) -> Result<Vec<Arrival>, Vec<Finding>> {
    let mut arrivals: Vec<Arrival> = Vec::new();
    let mut findings = Vec::new();
    let lines = (1..).zip(text.lines().map(str::trim));
    for (line, text) in lines.filter(|(_, text)| !text.is_empty() && !text.starts_with('#')) {
        let before = arrivals.last().map_or(Duration::ZERO, |last| last.at);
        match text.parse::<Arrival>() {
            Ok(arrival) if arrival.at >= before => arrivals.push(arrival),
            Ok(_) => findings.push(Finding {
                line,
                source: Error::Order,
            }),
            Err(source) => findings.push(Finding { line, source }),
        }
    }
    if findings.is_empty() {
        Ok(arrivals)
    } else {
        Err(findings)
    }
}

/// Writes a trace that [`parse`] reads back.
#[must_use]
pub fn write(arrivals: &[Arrival]) -> String {
    let head = "# arrival_ms customer target prompt output stream session idempotency\n";
    let lines = arrivals.iter().map(|arrival| format!("{arrival}\n"));
    std::iter::once(head.to_owned()).chain(lines).collect()
}

impl FromStr for Arrival {
    type Err = Error;
    fn from_str(text: &str) -> Result<Self, Error> {
        let columns: Vec<&str> = text.split_whitespace().collect();
        let found = columns.len();
        let columns: [&str; COLUMNS] = columns.try_into().ok().context(ColumnsSnafu { found })?;
        let [at, customer, target, prompt, output, stream, session, label] = columns;
        Ok(Self {
            at: millis(at).context(column("arrival_ms", at))?,
            customer: customer
                .parse()
                .ok()
                .context(column("customer", customer))?,
            target: target.parse().ok().context(column("target", target))?,
            prompt: prompt.parse().ok().context(column("prompt", prompt))?,
            output: output.parse().ok().context(column("output", output))?,
            stream: match stream {
                "stream" => true,
                "whole" => false,
                _ => return column("stream", stream).fail(),
            },
            session: match session {
                "-" => None,
                number => Some(number.parse().ok().context(column("session", number))?),
            },
            idempotency: (label != "-").then(|| label.into()),
        })
    }
}

fn column(column: &'static str, text: &str) -> ColumnSnafu<&'static str, CompactString> {
    ColumnSnafu {
        column,
        text: text.into(),
    }
}

/// Milliseconds with at most three decimals.
fn millis(text: &str) -> Option<Duration> {
    let (whole, decimals) = text.split_once('.').unwrap_or((text, "0"));
    if decimals.len() > 3 || !decimals.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let whole: u64 = whole.parse().ok()?;
    let micros: u64 = format!("{decimals:0<3}").parse().ok()?;
    Some(Duration::from_millis(whole) + Duration::from_micros(micros))
}

impl fmt::Display for Arrival {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let micros = self.at.as_micros();
        let stream = if self.stream { "stream" } else { "whole" };
        write!(f, "{}.{:03}", micros / 1_000, micros % 1_000)?;
        write!(f, " {} {}", self.customer, self.target)?;
        write!(f, " {} {} {stream}", self.prompt, self.output)?;
        match self.session {
            Some(session) => write!(f, " {session}")?,
            None => write!(f, " -")?,
        }
        write!(f, " {}", self.idempotency.as_deref().unwrap_or("-"))
    }
}

impl FromStr for Target {
    type Err = id::Error;
    fn from_str(text: &str) -> Result<Self, id::Error> {
        match text.strip_prefix(SERVICE) {
            Some(service) => service.parse().map(Self::Service),
            None => text.parse().map(Self::Class),
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Class(class) => write!(f, "{class}"),
            Self::Service(service) => write!(f, "{SERVICE}{service}"),
        }
    }
}
