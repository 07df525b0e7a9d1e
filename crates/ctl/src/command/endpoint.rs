//! `endpoint list`: the endpoints in the platform's list of VMs.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_coordination::vms;
use pimento_coordination::vms::List;
use pimento_wire::platform::Role;
use pimento_wire::platform::Vm;

use crate::exit::Error;
use crate::output::Output;

/// Lists the endpoints of all pools or of one.
///
/// # Errors
///
/// [`Error::Failed`] if the list can't be fetched.
pub async fn list(
    address: SocketAddr,
    timeout: Duration,
    pool: Option<&str>,
) -> Result<Output, Error> {
    let remote = vms::Remote::new(address, timeout);
    let answer = remote.list().await;
    let mut vms = answer.map_err(|e| Error::failed(e.to_string()))?.vms;
    vms.retain(|vm| wanted(&vm.role, pool));
    vms.sort_by(|a, b| (&a.zone, &a.name).cmp(&(&b.zone, &b.name)));
    let rows = vms.iter().map(row).collect();
    let columns = ["endpoint", "zone", "address", "kind", "pool", "leaving"];
    Ok(Output::new(&columns, rows, &vms))
}

fn wanted(role: &Role, pool: Option<&str>) -> bool {
    match role {
        Role::Entry => false,
        Role::Engine(found) | Role::Service(found) => {
            pool.is_none_or(|pool| pool == found.as_str())
        }
    }
}

fn row(vm: &Vm) -> Vec<String> {
    let (kind, pool) = match &vm.role {
        Role::Entry => ("entry", String::new()),
        Role::Engine(pool) => ("engine", pool.to_string()),
        Role::Service(pool) => ("service", pool.to_string()),
    };
    vec![
        vm.name.to_string(),
        vm.zone.to_string(),
        vm.address.to_string(),
        kind.into(),
        pool,
        if vm.leaving { "yes" } else { "no" }.into(),
    ]
}
