//! Trace files: one arrival per line, in order of arrival time.
//!
//! ```text
//! # arrival_ms customer target prompt output stream session idempotency
//! 0 garage-gatenga stock 60 40 stream 3 -
//! 12.5 mine-rutongo service:order-desk 20 0 whole - drum-17
//! ```
//!
//! The target is a class, or `service:` followed by the name of a plain service. Sizes are in
//! tokens. A call with a session number carries the session token of the customer's previous answer
//! in that session. Calls with the same idempotency label carry the same `idempotency-key`. `-`
//! means none. Empty lines and lines that start with `#` are ignored.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;
use pimento_units::Tokens;
use pimento_units::id;
use snafu::OptionExt;
use snafu::Snafu;

/// A call to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// When it is sent, from the start of the run.
    pub at: Duration,
    /// The customer that sends it.
    pub customer: id::Customer,
    /// The class or service it is sent to.
    pub target: Target,
    /// Tokens in the prompt; for a service, words in the body.
    pub prompt: Tokens,
    /// Tokens requested.
    pub output: Tokens,
    /// Whether a streamed answer is requested.
    pub stream: bool,
    /// The number of the customer's session.
    pub session: Option<u32>,
    /// Calls with the same label are repeats of one call.
    pub idempotency: Option<CompactString>,
}

/// The target of a call.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A class in a contract.
    Class(id::Class),
    /// A plain service.
    Service(id::Service),
}

/// An error in one line.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The line does not have eight columns.
    #[snafu(display("expected 8 columns, found {found}"))]
    Columns {
        /// Number of columns found.
        found: usize,
    },
    /// A column can't be parsed.
    #[snafu(display("{column}: {text:?} can't be read"))]
    Column {
        /// The column's name.
        column: &'static str,
        /// The text found.
        text: CompactString,
    },
    /// The arrival is earlier than the previous one.
    #[snafu(display("arrival_ms: earlier than the previous arrival"))]
    Order,
}

/// An error with the number of its line.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("line {line}: {source}"))]
pub struct Finding {
    /// The line number, from 1.
    pub line: usize,
    /// The error.
    pub source: Error,
}

const COLUMNS: usize = 8;
const SERVICE: &str = "service:";

/// Parses a trace.
///
/// # Errors
///
/// All errors found, with their lines.
pub fn parse(text: &str) -> Result<Vec<Arrival>, Vec<Finding>> {
    let mut arrivals: Vec<Arrival> = Vec::new();
    let mut findings = Vec::new();
    let lines = (1..).zip(text.lines().map(str::trim));
    for (line, text) in lines.filter(|(_, text)| !text.is_empty() && !text.starts_with('#')) {
        let previous = arrivals.last().map_or(Duration::ZERO, |last| last.at);
        match text.parse::<Arrival>() {
            Ok(arrival) if arrival.at >= previous => arrivals.push(arrival),
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

/// Formats arrivals as a trace that [`parse`] accepts.
#[must_use]
pub fn write(arrivals: &[Arrival]) -> String {
    let header = "# arrival_ms customer target prompt output stream session idempotency\n";
    let lines = arrivals.iter().map(|arrival| format!("{arrival}\n"));
    std::iter::once(header.to_owned()).chain(lines).collect()
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

/// Parses milliseconds with at most three decimals.
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
