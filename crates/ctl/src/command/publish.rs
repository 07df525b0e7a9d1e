//! `publish`.

use pimento_contract::Change;
use pimento_contract::fold::Verdict;

use crate::command::Context;
use crate::exit::Error;
use crate::files;
use crate::output::Output;
use crate::progress::Progress;
use crate::publish;
use crate::publish::Verdicted;
use crate::snapshot::Snapshot;

/// Publishes what differs from what is in force. Unless `reinstate` is set, withdrawn versions stay
/// withdrawn and roll-outs keep their progress, whatever the files say.
///
/// # Errors
///
/// Findings of the files, the log's failures, or [`Error::Conflict`] if another change came first.
pub async fn files(context: &Context, paths: &[String], reinstate: bool) -> Result<Output, Error> {
    let files = files::load(paths)?;
    let mut snapshot = context.base().await?;
    let mut values = files::check(&files, &snapshot.state)?;
    if !reinstate {
        for subject in publish::keep_progress(&snapshot, &mut values) {
            eprintln!("{subject}: kept as it is in force (--reinstate would set it back)");
        }
    }
    let changes = publish::changes(&snapshot, values, &context.by);
    if changes.is_empty() {
        eprintln!("nothing differs from what is in force");
    }
    changes_of(context, &mut snapshot, &changes).await
}

/// Publishes prepared changes.
///
/// # Errors
///
/// As [`files`].
pub async fn changes_of(
    context: &Context,
    snapshot: &mut Snapshot,
    changes: &[Change],
) -> Result<Output, Error> {
    let progress = Progress::new("publishing");
    progress.say(format!("publishing {} change(s)", changes.len()));
    let verdicts = publish::publish(&context.log, snapshot, changes, context.deadline).await?;
    drop(progress);
    publish::require(&verdicts)?;
    let rows = verdicts.iter().map(row).collect();
    Ok(Output::new(&["subject", "revision"], rows, &verdicts))
}

fn row(verdicted: &Verdicted) -> Vec<String> {
    let revision = match verdicted.verdict {
        Verdict::Accepted(revision) | Verdict::Conflict(revision) => revision.to_string(),
        Verdict::Mismatch => String::new(),
    };
    vec![verdicted.subject.to_string(), revision]
}
