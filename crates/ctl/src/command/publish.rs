//! `publish`: checks files and publishes what they change.

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
    /// Whether to apply the files' status of withdrawn versions, and stage and status of roll-outs.
    /// Otherwise those in force are preserved.
    pub reinstate: bool,
    /// Whether to list the changes instead of publishing them.
    pub dry_run: bool,
}

/// Publishes the subjects of the files that differ from the configuration in force.
///
/// # Errors
///
/// - [`Error::Usage`] with the findings in the files,
/// - [`Error::Failed`] if the snapshot is incomplete,
/// - [`Error::Conflict`] if another change came first,
/// - [`Error::Log`] if the log is unavailable; nothing is published,
/// - [`Error::Unconfirmed`] if it is unknown whether the changes are in force.
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
            eprintln!(
                "{subject}: status and stage in force are preserved (--reinstate applies those of the file)"
            );
        }
    }
    let changes = publish::changes(&snapshot, values, &context.by);
    if changes.is_empty() {
        eprintln!("no changes: the files match the configuration in force");
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

/// Publishes the given changes.
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
