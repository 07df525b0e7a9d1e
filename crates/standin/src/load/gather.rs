//! Reads the counters of stand-ins after a trial.

use std::time::Duration;

use serde::de::DeserializeOwned;

use crate::fault::Table;
use crate::load::client::Client;
use crate::load::files::Failure;

/// Timeout for reading the counters of one stand-in.
const STATS_TIMEOUT: Duration = Duration::from_secs(5);

/// The counters of all these stand-ins.
pub(super) async fn stats<T: DeserializeOwned>(addresses: &[String]) -> Result<Vec<T>, Failure> {
    read_all("/stats", addresses).await
}

/// The number of calls affected by the fault tables of these stand-ins.
pub(super) async fn affected_calls(addresses: &[String]) -> Result<u64, Failure> {
    let tables: Vec<Table> = read_all("/faults", addresses).await?;
    Ok(tables.iter().map(|table| table.affected).sum())
}

async fn read_all<T: DeserializeOwned>(
    path: &str,
    addresses: &[String],
) -> Result<Vec<T>, Failure> {
    let client = Client::default();
    let mut found = Vec::new();
    for address in addresses {
        let response = tokio::time::timeout(STATS_TIMEOUT, client.get_json(path, address)).await;
        let one = response.map_err(|_| Failure::Io(format!("{address}: no answer in time")))?;
        found.push(one.map_err(|reason| Failure::Io(format!("{address}: {reason}")))?);
    }
    Ok(found)
}
