//! `version roll-in|advance|halt|withdraw`.

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

/// A roll-out as the command line gives it.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The version that comes in.
    pub to: id::Version,
    /// The version that is replaced.
    pub from: id::Version,
    /// Rising weights; the last is 1.
    pub stages: Vec<Share>,
    /// Evidence needed for each stage.
    pub gate: Gate,
}

/// Begins a roll-out at its first stage.
///
/// # Errors
///
/// [`Error::Usage`] if the plan makes no sense, [`Error::Failed`] if a version does not exist or is
/// withdrawn, or what publishing gives.
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
        return Err(Error::usage("--stages must rise from above 0 to 1"));
    }
    if plan.from == plan.to {
        return Err(Error::usage("--from must be another version"));
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

/// Advances a roll-out to its next stage whatever the evidence; after the last it is done. One
/// that was halted goes on at the stage where it stood.
///
/// # Errors
///
/// [`Error::Failed`] if there is no such roll-out or it is done, or what publishing gives.
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

/// Halts a roll-out: no new session goes to the version.
///
/// # Errors
///
/// As [`advance`].
pub async fn halt(context: &Context, to: &id::Version) -> Result<Output, Error> {
    update_rollout(context, to, |rollout| {
        if rollout.status == rollout::Status::Halted {
            return Err(Error::failed(format!(
                "the roll-out of {to} is halted already"
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

/// Withdraws a version: it gets no new work. A roll-out that brings it in is halted with it.
///
/// # Errors
///
/// [`Error::Failed`] if there is no such version or it is withdrawn already, or what publishing
/// gives.
pub async fn withdraw(context: &Context, id: &id::Version) -> Result<Output, Error> {
    let mut snapshot = context.complete_snapshot().await?;
    require_serving(&snapshot, id)?;
    for class in unserved_classes(&snapshot, id) {
        eprintln!("{class}: no version is left that may serve it");
    }
    let changes = withdrawal_changes(&snapshot, id, &context.by)?;
    publish::publish_changes(context, &mut snapshot, &changes).await
}

/// Classes that no serving version is left for once `id` is withdrawn.
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
