//! `show`: the configuration in force.

use pimento_contract::Value;
use pimento_contract::fold::Item;
use serde_json::Value as Json;

use crate::command::Context;
use crate::exit::Error;
use crate::output::Output;

/// Lists all subjects in force, or shows all fields of one.
///
/// # Errors
///
/// [`Error::Failed`] if the subject does not exist, [`Error::Log`] if the log can't be read before
/// the deadline.
pub async fn show(context: &Context, subject: Option<&str>) -> Result<Output, Error> {
    let snapshot = context.snapshot().await?;
    if !snapshot.complete {
        eprintln!("the log no longer retains early changes; subjects may be missing");
    }
    let items = snapshot.state.items();
    let Some(subject) = subject else {
        let rows = items.iter().map(row).collect();
        return Ok(Output::new(
            &["subject", "revision", "summary"],
            rows,
            &items,
        ));
    };
    let item = items
        .iter()
        .find(|item| item.subject.to_string() == subject);
    let Some(item) = item else {
        let message = format!("{subject} does not exist (`pimentoctl show` lists all subjects)");
        return Err(Error::failed(message));
    };
    let mut rows = vec![vec!["revision".into(), item.revision.to_string()]];
    let json = serde_json::to_value(&item.value).unwrap_or_default();
    flatten("", &json, &mut rows);
    Ok(Output::new(&["key", "value"], rows, item))
}

fn row(item: &Item) -> Vec<String> {
    vec![
        item.subject.to_string(),
        item.revision.to_string(),
        summary(&item.value),
    ]
}

fn summary(value: &Value) -> String {
    match value {
        Value::Contract(contract) => format!(
            "{} class(es), at most {} each {}",
            contract.classes.len(),
            contract.spend.limit,
            contract.spend.period
        ),
        Value::Version(version) => format!("{:?} in {}", version.status, version.pool),
        Value::Rollout(rollout) => format!(
            "{:?}, replaces {}, stage {} of {}, weight {}",
            rollout.status,
            rollout.from,
            rollout.stage + 1,
            rollout.stages.len(),
            rollout.weight()
        ),
        Value::Service(service) => format!("in {}", service.pool),
        Value::Pool(pool) => format!("fencing {:?}", pool.fencing),
    }
}

/// Appends a row of key path and value for each leaf of `json`.
fn flatten(path: &str, json: &Json, rows: &mut Vec<Vec<String>>) {
    match json {
        Json::Object(keys) => {
            for (key, value) in keys {
                let dot = if path.is_empty() { "" } else { "." };
                flatten(&format!("{path}{dot}{key}"), value, rows);
            }
        }
        Json::Array(items) if items.iter().any(Json::is_object) => {
            for (index, item) in items.iter().enumerate() {
                flatten(&format!("{path}[{index}]"), item, rows);
            }
        }
        Json::String(text) => rows.push(vec![path.into(), text.clone()]),
        other => rows.push(vec![path.into(), other.to_string()]),
    }
}
