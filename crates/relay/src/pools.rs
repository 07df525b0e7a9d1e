//! Keeps the scheduler's pools as the endpoints registered themselves.

use std::time::Duration;

use pimento_policy::limit;
use pimento_scheduler::Member;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;
use tokio_util::sync::CancellationToken;

use crate::boot;
use crate::codec::Codec;
use crate::directory;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::topic::Log;

/// Delay to another zone beyond that within the own one: links between zones are between three and
/// six milliseconds one way.
const FAR: Duration = Duration::from_millis(10);

/// Starts to follow the endpoints and the services.
pub fn start<P: HeaderCodec + Codec, L: Log>(node: &Node<P, L>, token: CancellationToken) {
    let node = node.clone();
    tokio::spawn(async move { token.run_until_cancelled(follow(node)).await });
}

async fn follow<P: HeaderCodec + Codec, L: Log>(node: Node<P, L>) {
    let mut endpoints = node.directory.changes();
    let mut operators = node.operators.changes();
    loop {
        refresh(&node);
        let sweep = node.directory.view(directory::Directory::next_expiry);
        let now = boot::now();
        let pause = sweep.map_or(Duration::from_hours(1), |at| at.since(now));
        tokio::select! {
            _ = endpoints.changed() => {}
            _ = operators.changed() => {}
            () = tokio::time::sleep(pause) => {
                node.directory.modify(|view| view.remove_expired(boot::now()));
            }
        }
    }
}

/// Brings the scheduler's pools up to the list of endpoints and to the services.
pub(crate) fn refresh<P: HeaderCodec + Codec, L: Log>(node: &Node<P, L>) {
    let now = boot::now();
    let zone = &node.config.zone;
    let table = node.table();
    let memory = |pool: &id::Pool| {
        let service = table.as_ref()?.service(pool)?;
        service.engine.as_ref().map(|engine| engine.kv_capacity)
    };
    let mut members: Vec<(id::Pool, Member)> = node.directory.view(|view| {
        let seats = view.members().iter();
        seats
            .map(|m| {
                let pool = m.entry.pool.clone();
                let member = member(m, zone, memory(&pool), now);
                (pool, member)
            })
            .collect()
    });
    members.sort_by(|one, other| one.0.cmp(&other.0));
    let mut pools: Vec<id::Pool> = members.iter().map(|(pool, _)| pool.clone()).collect();
    pools.extend(node.scheduler.pools().into_iter().map(|(name, _)| name));
    pools.sort();
    pools.dedup();
    for pool in pools {
        let of_pool = members.iter().filter(|(name, _)| *name == pool);
        let list: Vec<Member> = of_pool.map(|(_, member)| member.clone()).collect();
        let versions = versions(&list);
        node.rollouts(|rollouts| rollouts.update_versions(&pool, versions));
        node.scheduler.pool(&pool).update(list);
    }
}

/// The versions of the endpoints that may be used, sorted, with how many there are of each.
fn versions(members: &[Member]) -> Vec<(id::Version, usize)> {
    let mut versions: Vec<(id::Version, usize)> = Vec::new();
    let usable = members.iter().filter(|member| member.usable);
    for version in usable.filter_map(|member| member.versions.as_ref()?.first()) {
        match versions.binary_search_by(|(known, _)| known.cmp(version)) {
            Ok(place) => versions[place].1 += 1,
            Err(place) => versions.insert(place, (version.clone(), 1)),
        }
    }
    versions
}

fn member(
    member: &directory::Member,
    zone: &id::Zone,
    memory: Option<Tokens>,
    now: Moment,
) -> Member {
    let entry = &member.entry;
    let near = entry.zone == *zone;
    let report = limit::Report {
        running: 0,
        waiting: 0,
        batch: entry.slots,
    };
    Member {
        endpoint: entry.id.clone(),
        zone: entry.zone.clone(),
        address: entry.address,
        usable: member.is_usable(now),
        distance: if near { Duration::ZERO } else { FAR },
        versions: Some(vec![entry.version.clone()]),
        report: Some((report, Moment::ZERO)),
        memory,
        incarnation: entry.started_unix_ms,
    }
}
