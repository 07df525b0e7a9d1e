//! Updates the scheduler's pools from the registered endpoints and the configured services.

use std::time::Duration;

use pimento_policy::limit;
use pimento_policy::reach::Links;
use pimento_scheduler::Member;
use pimento_units::Moment;
use pimento_units::id;
use tokio_util::sync::CancellationToken;

use crate::boot;
use crate::codec::Codec;
use crate::directory;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::rollouts::versions::Held;
use crate::topic::Log;

/// Additional delay to another zone. Links between zones take three to six milliseconds one way.
const REMOTE_ZONE_DELAY: Duration = Duration::from_millis(10);

/// Pause after an update of the pools, for each endpoint. An update visits all endpoints; without the pause a VM
/// that learns of thousands of them in hundreds of datagrams would do nothing else. An endpoint that leaves
/// gets no work meanwhile: [`Node::usable`] is asked before each attempt.
const PAUSE_PER_ENDPOINT: Duration = Duration::from_micros(50);

/// Starts the task that keeps the pools up to date.
pub fn start<P: HeaderCodec + Codec, L: Log>(node: &Node<P, L>, token: CancellationToken) {
    let node = node.clone();
    tokio::spawn(async move { token.run_until_cancelled(run(node)).await });
}

async fn run<P: HeaderCodec + Codec, L: Log>(node: Node<P, L>) {
    let mut endpoints = node.directory.changes();
    let mut operators = node.operators.changes();
    let mut links = node.links.watch();
    loop {
        let endpoints_visited = refresh(&node);
        tokio::time::sleep(pause_after(endpoints_visited)).await;
        let expiry = node.directory.view(directory::Directory::next_expiry);
        let now = boot::now();
        let wait = expiry.map_or(Duration::from_hours(1), |at| at.since(now));
        tokio::select! {
            _ = endpoints.changed() => {}
            _ = operators.changed() => {}
            () = node.absences.changed.notified() => {}
            Ok(()) = links.changed() => {
                // What failed while the links were lost says nothing of the endpoints.
                if *links.borrow_and_update() == Links::Down {
                    node.scheduler.readmit_all();
                }
            }
            () = tokio::time::sleep(wait) => {
                node.directory.modify(|view| view.remove_expired(boot::now()));
            }
        }
    }
}

/// How long the next update waits after one that visited this many endpoints.
fn pause_after(endpoints: usize) -> Duration {
    let endpoints = u32::try_from(endpoints).unwrap_or(u32::MAX);
    PAUSE_PER_ENDPOINT.saturating_mul(endpoints)
}

/// Updates the scheduler's pools to the current endpoints and services. Returns the number of endpoints.
pub(crate) fn refresh<P: HeaderCodec + Codec, L: Log>(node: &Node<P, L>) -> usize {
    let now = boot::now();
    let zone = &node.config.zone;
    let table = node.table();
    let kv_capacity = |pool: &id::Pool| {
        let service = table.as_ref()?.service(pool)?;
        service.engine.as_ref().map(|engine| engine.kv_capacity)
    };
    let evacuations = node.operators.view(|view| view.evacuations().clone());
    let listed = node.directory.view(|view| view.members().to_vec());
    let count = listed.len();
    let known = node.scheduler.pools().into_iter();
    let mut pools: Vec<(id::Pool, Vec<Member>)> =
        known.map(|(name, _)| (name, Vec::new())).collect();
    pools.sort_by(|one, other| one.0.cmp(&other.0));
    for listed in listed {
        let pool = &listed.registration.pool;
        let mut member = member(&listed, zone);
        member.usable = node.accepts_work(&listed, now) && !evacuations.contains(&member.zone);
        member.kv_capacity = kv_capacity(pool);
        member.cold = node.cold_start(&listed, now);
        match pools.binary_search_by(|(name, _)| name.cmp(pool)) {
            Ok(place) => pools[place].1.push(member),
            Err(place) => pools.insert(place, (pool.clone(), vec![member])),
        }
    }
    for (pool, members) in pools {
        let versions = versions(&members);
        node.rollouts(|rollouts| rollouts.update_versions(&pool, versions));
        node.scheduler.pool(&pool).update(members);
    }
    count
}

/// The versions that the usable endpoints hold, sorted.
fn versions(members: &[Member]) -> Vec<Held> {
    let mut versions: Vec<Held> = Vec::new();
    for member in members.iter().filter(|member| member.usable) {
        let Some(version) = member.versions.as_ref().and_then(|held| held.first()) else {
            continue;
        };
        let started = member.incarnation;
        match versions.binary_search_by(|held| held.version.cmp(version)) {
            Ok(index) => {
                let held = &mut versions[index];
                held.endpoints += 1;
                held.started_unix_ms = held.started_unix_ms.min(started);
            }
            Err(index) => {
                let held = Held {
                    version: version.clone(),
                    endpoints: 1,
                    started_unix_ms: started,
                };
                versions.insert(index, held);
            }
        }
    }
    versions
}

/// The endpoint as a member of its pool, which is not usable yet.
fn member(member: &directory::Member, zone: &id::Zone) -> Member {
    let registration = &member.registration;
    let local = registration.zone == *zone;
    let report = limit::Report {
        running: 0,
        waiting: 0,
        batch: registration.slots,
    };
    Member {
        endpoint: registration.id.clone(),
        zone: registration.zone.clone(),
        address: registration.address,
        usable: false,
        extra_delay: if local {
            Duration::ZERO
        } else {
            REMOTE_ZONE_DELAY
        },
        versions: Some(vec![registration.version.clone()]),
        report: Some((report, Moment::ZERO)),
        kv_capacity: None,
        incarnation: registration.started_unix_ms,
        cold: None,
    }
}
