//! `explain`: the timeline of a request, from a folder of log files.

use std::path::Path;

use serde_json::Value;

use crate::exit::Error;
use crate::output::Output;
use crate::timeline;
use crate::timeline::Event;

/// Shows the timeline of a request.
///
/// # Errors
///
/// [`Error::Failed`] if the folder can't be read or no line names the request.
pub fn explain(request: &str, folder: &Path) -> Result<Output, Error> {
    let logs = timeline::read_folder(folder)
        .map_err(|error| Error::failed(format!("{}: {error}", folder.display())))?;
    let malformed: usize = logs.iter().map(|log| log.malformed).sum();
    if malformed > 0 {
        eprintln!("skipped {malformed} malformed log lines");
    }
    let events = timeline::build(&logs, request);
    if events.is_empty() {
        return Err(Error::failed(format!(
            "none of the {} log files mentions request {request}",
            logs.len()
        )));
    }
    let rows = events.iter().map(row).collect();
    let columns = ["ms", "vm", "", "what", "inputs and outcome"];
    Ok(Output::new(&columns, rows, &events))
}

fn row(event: &Event) -> Vec<String> {
    let fields = event.fields.iter();
    let fields = fields.filter(|(name, value)| *name != "request" && !value.is_null());
    let fields: Vec<String> = fields.map(|(name, value)| field(name, value)).collect();
    vec![
        event.at_ms.to_string(),
        event.vm.to_string(),
        if event.own { "*" } else { "" }.into(),
        event.what.clone(),
        fields.join(" "),
    ]
}

fn field(name: &str, value: &Value) -> String {
    match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    }
}
