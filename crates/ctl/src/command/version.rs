//! `version roll-in|advance|halt|withdraw`: changes to roll-outs and versions.

use pimento_contract::Change;
use pimento_contract::Rollout;
use pimento_contract::Subject;
use pimento_contract::Value;
use pimento_contract::Version;
use pimento_contract::rollout;
use pimento_contract::rollout::Gate;
use pimento_contract::version;
use pimento_units::Share;
use pimento_units::id;

use crate::command::Context;
use crate::command::publish;
use crate::exit::Error;
use crate::output::Output;
use crate::publish::change;
use crate::snapshot::Snapshot;

/// Parameters of a new roll-out.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The version to roll in.
    pub to: id::Version,
    /// The version to replace.
    pub from: id::Version,
    /// Increasing weights of the new version, the last of which is 1.
    pub stages: Vec<Share>,
    /// What each stage must meet before the next.
    pub gate: Gate,
}

/// Starts a roll-out at its first stage.
///
/// # Errors
///
/// [`Error::Usage`] if the plan is invalid, [`Error::Failed`] if a version does not exist or is
/// withdrawn, and the errors of [`publish::publish_changes`].
pub async fn roll_in(context: &Context, plan: Plan) -> Result<Output, Error> {
    check(&plan)?;
    let mut snapshot = context.complete_snapshot().await?;
    for version in [&plan.from, &plan.to] {
        require_serving(&snapshot, version)?;
    }
    let value = Value::Rollout(Rollout {
        from: plan.from,
        to: plan.to,
        stages: plan.stages,
        stage: 0,
        status: rollout::Status::Running,
        gate: plan.gate,
    });
    let change = change(&snapshot, value.subject(), Some(value), &context.by);
    publish::publish_changes(context, &mut snapshot, &[change]).await
}

fn check(plan: &Plan) -> Result<(), Error> {
    let rising = plan.stages.is_sorted_by(|a, b| a < b);
    let starts_above_zero = plan
        .stages
        .first()
        .is_some_and(|first| *first > Share::ZERO);
    let ends_at_one = plan.stages.last() == Some(&Share::ONE);
    if !(rising && starts_above_zero && ends_at_one) {
        return Err(Error::usage(
            "--stages must increase, starting above 0 and ending at 1",
        ));
    }
    if plan.from == plan.to {
        return Err(Error::usage(
            "--from must differ from the version that is rolled in",
        ));
    }
    Ok(())
}

fn require_serving(snapshot: &Snapshot, id: &id::Version) -> Result<(), Error> {
    let version = find_version(snapshot, id)?;
    if version.status == version::Status::Withdrawn {
        return Err(Error::failed(format!("{id} is withdrawn")));
    }
    Ok(())
}

fn find_version<'a>(snapshot: &'a Snapshot, id: &id::Version) -> Result<&'a Version, Error> {
    let version = snapshot.state.version(id);
    version.ok_or_else(|| Error::failed(format!("version/{id} does not exist")))
}

/// Advances a roll-out to its next stage regardless of its gate, or completes it after the last
/// stage. A halted roll-out resumes at its current stage.
///
/// # Errors
///
/// [`Error::Failed`] if the roll-out does not exist or is done, and the errors of
/// [`publish::publish_changes`].
pub async fn advance(context: &Context, to: &id::Version) -> Result<Output, Error> {
    update_rollout(context, to, |rollout| match rollout.status {
        rollout::Status::Done => Err(Error::failed(format!("the roll-out of {to} is done"))),
        rollout::Status::Halted => {
            rollout.status = rollout::Status::Running;
            Ok(())
        }
        rollout::Status::Running if rollout.stage + 1 < rollout.stages.len() => {
            rollout.stage += 1;
            Ok(())
        }
        rollout::Status::Running => {
            rollout.status = rollout::Status::Done;
            Ok(())
        }
    })
    .await
}

/// Halts a roll-out: the version gets no new sessions.
///
/// # Errors
///
/// [`Error::Failed`] if the roll-out does not exist or is halted already, and the errors of
/// [`publish::publish_changes`].
pub async fn halt(context: &Context, to: &id::Version) -> Result<Output, Error> {
    update_rollout(context, to, |rollout| {
        if rollout.status == rollout::Status::Halted {
            return Err(Error::failed(format!(
                "the roll-out of {to} is already halted"
            )));
        }
        rollout.status = rollout::Status::Halted;
        Ok(())
    })
    .await
}

async fn update_rollout(
    context: &Context,
    to: &id::Version,
    edit: impl FnOnce(&mut Rollout) -> Result<(), Error>,
) -> Result<Output, Error> {
    let mut snapshot = context.complete_snapshot().await?;
    let found = snapshot.state.rollouts().find(|rollout| rollout.to == *to);
    let Some(mut rollout) = found.cloned() else {
        return Err(Error::failed(format!("rollout/{to} does not exist")));
    };
    edit(&mut rollout)?;
    let subject = Subject::Rollout(to.clone());
    let change = change(
        &snapshot,
        subject,
        Some(Value::Rollout(rollout)),
        &context.by,
    );
    publish::publish_changes(context, &mut snapshot, &[change]).await
}

/// Withdraws a version, which then gets no new requests, and halts the roll-out to it if one runs.
/// Prints a warning for each class that is left without a version.
///
/// # Errors
///
/// [`Error::Failed`] if the version does not exist or is already withdrawn, and the errors of
/// [`publish::publish_changes`].
pub async fn withdraw(context: &Context, id: &id::Version) -> Result<Output, Error> {
    let mut snapshot = context.complete_snapshot().await?;
    require_serving(&snapshot, id)?;
    for class in unserved_classes(&snapshot, id) {
        eprintln!("{class}: no version remains that may serve it");
    }
    let changes = withdrawal_changes(&snapshot, id, &context.by)?;
    publish::publish_changes(context, &mut snapshot, &changes).await
}

/// Returns the classes that no version may serve once `id` is withdrawn.
fn unserved_classes(snapshot: &Snapshot, id: &id::Version) -> Vec<String> {
    let remains = |other: &&id::Version| *other != id && require_serving(snapshot, other).is_ok();
    let mut unserved = Vec::new();
    for contract in snapshot.state.contracts() {
        let classes = contract.classes.iter().filter(|class| class.allows(id));
        for class in classes.filter(|class| !class.versions.iter().any(|v| remains(&v))) {
            unserved.push(format!(
                "contract/{} class {}",
                contract.customer, class.name
            ));
        }
    }
    unserved
}

fn withdrawal_changes(
    snapshot: &Snapshot,
    id: &id::Version,
    by: &str,
) -> Result<Vec<Change>, Error> {
    let mut version = find_version(snapshot, id)?.clone();
    version.status = version::Status::Withdrawn;
    let subject = Subject::Version(id.clone());
    let mut changes = vec![change(snapshot, subject, Some(Value::Version(version)), by)];
    let running =
        |rollout: &&Rollout| rollout.to == *id && rollout.status == rollout::Status::Running;
    if let Some(rollout) = snapshot.state.rollouts().find(running) {
        let halted = Rollout {
            status: rollout::Status::Halted,
            ..rollout.clone()
        };
        let subject = Subject::Rollout(id.clone());
        changes.push(change(snapshot, subject, Some(Value::Rollout(halted)), by));
    }
    Ok(changes)
}
