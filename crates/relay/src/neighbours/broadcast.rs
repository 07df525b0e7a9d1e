//! What a VM sends to the others, and how often.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_units::Moment;
use pimento_units::Offset;

use super::Neighbours;
use super::limit;
use super::message;
use super::message::Message;
use super::message::Prefill;
use super::message::Proofs;
use super::update::Update;
use crate::boot;
use crate::bundle::Bundle;
use crate::bundle::SharedTopic;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::rollouts::Rollouts;
use crate::topic::Log;

/// Time between datagrams to each VM of the zone, per VM there. With two other VMs an update is up to
/// 40 ms old, which is half the prefill time of the shortest prompt on the largest model.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(20);

/// The longest time between them. A VM that missed one datagram must still take the sender for alive
/// when the next one comes.
const MAX_ZONE_INTERVAL: Duration = Duration::from_millis(600);

/// Time between datagrams to other zones, where traffic has a price. The prefixes reported there save
/// prefill work for tens of seconds, so that this age matters little.
const REMOTE_INTERVAL: Duration = Duration::from_millis(300);

/// Time between datagrams to the zone if there is nothing to send. They keep the VM counted as alive,
/// and give the reader a young stamp of it.
const ZONE_HEARTBEAT: Duration = Duration::from_millis(400);

/// Time between datagrams to other zones if there is nothing to send.
const REMOTE_HEARTBEAT: Duration = Duration::from_secs(1);

/// Time between datagrams to each VM of the zone, if there are `others` of them.
///
/// It grows with their number, so that a VM sends no more than fifty datagrams per second, but only up to
/// a bound within which VMs still take each other for alive. Beyond that bound they would all read the
/// log, each for itself.
#[must_use]
pub fn zone_interval(others: usize) -> Duration {
    let others = u32::try_from(others).unwrap_or(u32::MAX).max(1);
    INTERVAL_PER_PEER
        .saturating_mul(others)
        .min(MAX_ZONE_INTERVAL)
}

/// The offsets up to which the records of each topic were forwarded to the zone.
#[derive(Debug, Clone, Copy, Default)]
pub struct ForwardedOffsets {
    operators: Offset,
    endpoints: Offset,
    poison: Offset,
}

impl<P: HeaderCodec + Codec, L: Log> Neighbours<P, L> {
    /// Records to forward to the zone; empty unless this VM is its reader.
    fn take_bundles(&self) -> Vec<Bundle> {
        let forwarded = self.lock().forwarded.take();
        if !self.is_zone_reader() {
            return Vec::new();
        }
        let from = forwarded.unwrap_or_default();
        let (operator_chunks, operators) = self.node.operators.chunks_from(from.operators);
        let (endpoint_chunks, endpoints) = self.node.directory.chunks_from(from.endpoints);
        let (poison_chunks, poison) = self.node.blocklist.chunks_from(from.poison);
        self.lock().forwarded = Some(ForwardedOffsets {
            operators,
            endpoints,
            poison,
        });
        if forwarded.is_none() {
            return Vec::new();
        }
        // If records are missing here or too large, the others read the log by themselves.
        let list = |topic, from, chunks: Option<_>, to| {
            Bundle::from_chunks(topic, from, chunks.unwrap_or_default(), to)
        };
        let mut bundles = list(
            SharedTopic::Operators,
            from.operators,
            operator_chunks,
            operators,
        );
        bundles.extend(list(
            SharedTopic::Endpoints,
            from.endpoints,
            endpoint_chunks,
            endpoints,
        ));
        bundles.extend(list(
            SharedTopic::Poison,
            from.poison,
            poison_chunks,
            poison,
        ));
        bundles
    }

    /// Sends updates to all VMs of the zone.
    pub(super) async fn broadcast_to_zone(&self) {
        let mut last_sent = Moment::ZERO;
        let mut idle = true;
        let mut operators = self.node.operators.changes();
        let mut endpoints = self.node.directory.changes();
        let mut blocklist = self.node.blocklist.changes();
        loop {
            let peers = self.refresh_peers();
            self.update_role();
            let changed = tokio::select! {
                () = tokio::time::sleep(zone_interval(peers.len())) => false,
                _ = operators.changed() => self.is_zone_reader(),
                _ = endpoints.changed() => self.is_zone_reader(),
                _ = blocklist.changed() => self.is_zone_reader(),
                () = self.node.poison.reports_due.notified() => false,
                () = self.node.limit_changed.notified() => true,
                () = self.zone.proved.notified() => self.is_zone_reader(),
                () = self.zone.unreachable.notified() => true,
            };
            let update = self.collect_update();
            let now = boot::now();
            let nothing = update.is_empty() && !changed;
            if nothing && idle && now.since(last_sent) < ZONE_HEARTBEAT {
                continue;
            }
            idle = nothing;
            last_sent = now;
            for peer in &peers {
                self.send(peer.address, Some(peer.key), &update).await;
            }
        }
    }

    /// Collects what is to be sent to the zone. What other zones need to know as well is queued for them.
    fn collect_update(&self) -> Update {
        let mut update = Update {
            rollouts: self.node.due_announcements(boot::now()),
            pinned_sessions: self.node.rollouts(Rollouts::take_pending_sessions),
            poison: self.node.poison.take_zone_reports(boot::now()),
            bundles: self.take_bundles(),
            ..Update::default()
        };
        let mut shared = Vec::new();
        for (_, pool) in self.node.scheduler.pools() {
            let prefilled = pool.take_prefilled();
            update.prefills.extend(prefilled.iter().map(Prefill::new));
            shared.extend(prefilled.iter().filter_map(Prefill::shared_prefix));
            let millis = |wait: Duration| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
            let waits = pool.engine_waits().into_iter();
            update
                .waits
                .extend(waits.map(|(key, wait)| (key, millis(wait))));
            update
                .limits
                .extend(pool.limit_reports().iter().map(limit::encode));
        }
        let mut inner = self.lock();
        inner.remote_prefills.extend(shared);
        inner.remote_sessions.extend(&update.pinned_sessions);
        update.prefills.append(&mut inner.forwarded_prefills);
        update.pinned_sessions.append(&mut inner.forwarded_sessions);
        update
    }

    /// Sends updates to one VM of each other zone.
    pub(super) async fn broadcast_to_remote_zones(&self) {
        let mut last_sent = Moment::ZERO;
        loop {
            tokio::time::sleep(REMOTE_INTERVAL).await;
            let now = boot::now();
            let (update, addresses) = {
                let mut inner = self.lock();
                let update = Update {
                    prefills: std::mem::take(&mut inner.remote_prefills),
                    pinned_sessions: std::mem::take(&mut inner.remote_sessions),
                    poison: self.node.poison.take_remote_reports(now),
                    ..Update::default()
                };
                let zone = &self.node.config.zone;
                (update, inner.peers.remote_targets(zone, now))
            };
            if update.is_empty() && now.since(last_sent) < REMOTE_HEARTBEAT {
                continue;
            }
            last_sent = now;
            for address in addresses {
                self.send(address, None, &update).await;
            }
        }
    }

    /// Sends an update to one VM. `zone_key` is its key if it is of this zone.
    pub(super) async fn send(&self, address: SocketAddr, zone_key: Option<u64>, update: &Update) {
        for part in update.split() {
            // A proof that came before the records that it covers would make the other VM read the log.
            let proven = zone_key.filter(|_| part.last);
            let (rollouts, limits) = if part.first {
                (&update.rollouts[..], &update.limits[..])
            } else {
                (&[][..], &[][..])
            };
            let message = Message {
                node: self.node.config.node.clone(),
                zone: self.node.config.zone.clone(),
                stamp: boot::now(),
                reader_status: self.reader_status(),
                bundles: part.bundles.to_vec(),
                proofs: proven.map(|node| self.proofs(node)).unwrap_or_default(),
                rollouts: rollouts.to_vec(),
                waits: update.waits.clone(),
                limits: limits.to_vec(),
                pinned_sessions: part.pinned_sessions.to_vec(),
                poison: part.poison.to_vec(),
                prefills: part.prefills.to_vec(),
            };
            let bytes = match postcard::to_stdvec(&message) {
                Ok(bytes) => bytes,
                Err(error) => {
                    return log::error!("neighbours: A datagram can't be encoded: {error}.");
                }
            };
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                log::debug!("neighbours: A datagram to {address} can't be sent: {error}.");
            }
        }
    }

    /// What this VM's last reads prove to another one; nothing unless this VM is the reader of the
    /// zone. While endpoints register by the dozen, every read finds something new, and VMs that all sent
    /// each other proofs would make each other read without end.
    fn proofs(&self, node: u64) -> Proofs {
        if !self.is_zone_reader() {
            return Proofs::default();
        }
        let operators = self.node.operators.proof(node);
        let endpoints = self.node.directory.proof(node);
        let poison = self.node.blocklist.proof(node);
        Proofs {
            operators: operators.map(message::encode_proof),
            endpoints: endpoints.map(message::encode_proof),
            poison: poison.map(message::encode_proof),
        }
    }
}
