//! `history`: the changes on the configuration stream with their verdicts.

use pimento_contract::fold::Verdict;
use pimento_units::Offset;
use pimento_units::Revision;
use pimento_units::Wall;
use pimento_units::id;
use serde::Serialize;

use crate::command::Context;
use crate::exit::Error;
use crate::output::Output;
use crate::snapshot::DecidedChange;

/// One change as it is printed.
#[derive(Debug, Serialize)]
struct Line {
    offset: Offset,
    at: Wall,
    by: String,
    id: id::Record,
    subject: String,
    removes: bool,
    base: Revision,
    verdict: Verdict,
}

impl From<&DecidedChange> for Line {
    fn from(decided: &DecidedChange) -> Self {
        Self {
            offset: decided.offset,
            at: decided.change.at,
            by: decided.change.by.to_string(),
            id: decided.change.id,
            subject: decided.change.subject.to_string(),
            removes: decided.change.value.is_none(),
            base: decided.change.base,
            verdict: decided.verdict,
        }
    }
}

impl Line {
    fn row(&self) -> Vec<String> {
        let at = std::time::UNIX_EPOCH + std::time::Duration::from_millis(self.at.millis());
        let verdict = match self.verdict {
            Verdict::Accepted(revision) if self.removes => format!("removed as {revision}"),
            Verdict::Accepted(revision) => format!("in force as {revision}"),
            Verdict::Conflict(revision) => format!("lost to {revision}"),
            Verdict::Mismatch => "value of another subject".into(),
        };
        vec![
            self.offset.to_string(),
            humantime::format_rfc3339_seconds(at).to_string(),
            self.by.clone(),
            self.subject.clone(),
            self.base.to_string(),
            verdict,
            self.id.to_string(),
        ]
    }
}

/// Lists the changes that the log still retains, of all subjects or of one.
///
/// # Errors
///
/// [`Error::Log`] if the log can't be read before the deadline.
pub async fn history(context: &Context, subject: Option<&str>) -> Result<Output, Error> {
    let snapshot = context.snapshot().await?;
    let lines: Vec<Line> = snapshot
        .history
        .iter()
        .map(Line::from)
        .filter(|line| subject.is_none_or(|subject| line.subject == subject))
        .collect();
    let rows = lines.iter().map(Line::row).collect();
    let columns = ["offset", "at", "by", "subject", "base", "verdict", "id"];
    Ok(Output::new(&columns, rows, &lines))
}
