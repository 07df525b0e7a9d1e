//! `publish`.

use pimento_contract::Change;
use pimento_contract::fold::Verdict;

use crate::command::Context;
use crate::exit::Error;
use crate::files;
use crate::output::Output;
use crate::progress::Progress;
use crate::publish;
use crate::publish::Outcome;
use crate::snapshot::Snapshot;

/// How files are published.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Mode {
    /// Withdrawn versions serve again and roll-outs are set back, if the files say so. Else they
    /// stay as they are in force.
    pub reinstate: bool,
    /// Nothing is published; the result lists what would be.
    pub dry_run: bool,
}

/// Publishes what differs from what is in force.
///
/// # Errors
///
/// Findings of the files, the log's failures, or [`Error::Conflict`] if another change came first.
pub async fn publish_files(
    context: &Context,
    paths: &[String],
    mode: Mode,
) -> Result<Output, Error> {
    let files = files::load(paths)?;
    let mut snapshot = context.complete_snapshot().await?;
    let mut values = files::check(&files, &snapshot.state)?;
    if !mode.reinstate {
        for subject in publish::preserve_progress(&snapshot, &mut values) {
            eprintln!("{subject}: kept as it is in force (--reinstate would set it back)");
        }
    }
    let changes = publish::changes(&snapshot, values, &context.by);
    if changes.is_empty() {
        eprintln!("nothing differs from what is in force");
    }
    if mode.dry_run {
        return Ok(preview(&changes));
    }
    publish_changes(context, &mut snapshot, &changes).await
}

fn preview(changes: &[Change]) -> Output {
    let row = |change: &Change| vec![change.subject.to_string(), change.base.to_string()];
    let rows = changes.iter().map(row).collect();
    Output::new(&["would change", "from revision"], rows, &changes)
}

/// Publishes prepared changes.
///
/// # Errors
///
/// As [`publish_files`].
pub async fn publish_changes(
    context: &Context,
    snapshot: &mut Snapshot,
    changes: &[Change],
) -> Result<Output, Error> {
    let progress = Progress::new("publishing");
    progress.set_message(format!("publishing {} change(s)", changes.len()));
    let outcomes = publish::publish(&context.log, snapshot, changes, context.deadline).await?;
    drop(progress);
    publish::require_accepted(&outcomes)?;
    let rows = outcomes.iter().map(row).collect();
    Ok(Output::new(&["subject", "revision"], rows, &outcomes))
}

fn row(outcome: &Outcome) -> Vec<String> {
    let revision = match outcome.verdict {
        Verdict::Accepted(revision) | Verdict::Conflict(revision) => revision.to_string(),
        Verdict::Mismatch => String::new(),
    };
    vec![outcome.subject.to_string(), revision]
}
