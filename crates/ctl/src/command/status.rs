//! `status`: the log offset of each entry VM and the age of its state.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use pimento_coordination::operators;
use pimento_coordination::operators::Operators;
use pimento_units::Span;
use pimento_wire::operators::State;
use serde::Serialize;

use crate::exit::Error;
use crate::output::Output;
use crate::progress::Progress;

/// The response of one entry VM, or the error in its place.
#[derive(Debug, Serialize)]
struct Line {
    address: SocketAddr,
    state: Option<State>,
    error: Option<String>,
}

/// Queries all entry VMs concurrently. A VM that does not respond is listed with its error.
///
/// # Errors
///
/// [`Error::Usage`] if no address is given, [`Error::Failed`] if no VM responds.
pub async fn status(addresses: &[SocketAddr], timeout: Duration) -> Result<Output, Error> {
    if addresses.is_empty() {
        return Err(Error::usage("--operators contains no address"));
    }
    let progress = Progress::new("querying entry VMs");
    let lines = join_all(addresses.iter().map(|address| query(*address, timeout))).await;
    drop(progress);
    if lines.iter().all(|line| line.state.is_none()) {
        let reasons: Vec<String> = lines.iter().filter_map(Line::reason).collect();
        return Err(Error::failed(reasons.join("\n")));
    }
    let newest = lines
        .iter()
        .filter_map(|l| l.state.as_ref())
        .map(|s| s.offset)
        .max();
    let rows = lines.iter().map(|line| row(line, newest)).collect();
    let columns = [
        "address", "node", "zone", "ready", "offset", "behind", "age",
    ];
    Ok(Output::new(&columns, rows, &lines))
}

async fn query(address: SocketAddr, timeout: Duration) -> Line {
    let answer = operators::Remote::new(address, timeout).state().await;
    let error = answer.as_ref().err().map(ToString::to_string);
    Line {
        address,
        state: answer.ok(),
        error,
    }
}

impl Line {
    fn reason(&self) -> Option<String> {
        let error = self.error.as_ref()?;
        Some(format!("{}: {error}", self.address))
    }
}

fn row(line: &Line, newest: Option<pimento_units::Offset>) -> Vec<String> {
    let address = line.address.to_string();
    let Some(state) = &line.state else {
        let error = line.error.clone().unwrap_or_default();
        return vec![address, error];
    };
    let behind = newest.map_or(0, |newest| newest.0 - state.offset.0);
    vec![
        address,
        state.node.to_string(),
        state.zone.to_string(),
        if state.ready { "yes" } else { "no" }.into(),
        state.offset.to_string(),
        behind.to_string(),
        Span::from_millis(state.age_ms).to_string(),
    ]
}
