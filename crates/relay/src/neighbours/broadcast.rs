//! What a VM tells the others, and how often.

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
use crate::border::Border;
use crate::codec::Codec;
use crate::passage::Passage;
use crate::passage::Shared;
use crate::rollouts::Rollouts;
use crate::topic::Log;

/// Time between datagrams to each VM of the zone, for each VM there: with two neighbours news is
/// 40 ms old, which is half of the shortest prompt's reading by the largest model.
const NEAR: Duration = Duration::from_millis(20);

/// The longest time between them: a VM that missed one must still count as living when the next comes.
const LONGEST: Duration = Duration::from_millis(600);

/// Time between datagrams to other zones, whose bytes cost. What they tell saves reading for tens of
/// seconds, so that this age matters little.
const FAR: Duration = Duration::from_millis(300);

/// A VM with nothing new says so this often, so that it counts as living and the VM that reads the
/// log has a young stamp of it.
const BEAT: Duration = Duration::from_millis(400);

/// A VM with nothing new for another zone says so this often.
const SECOND: Duration = Duration::from_secs(1);

/// Time between datagrams to each of so many VMs of the zone.
///
/// It grows with them, so that a VM sends no more than fifty datagrams a second, as long as they still
/// take each other for living. Past that they would all read the log, each for itself.
#[must_use]
pub fn zone_interval(others: usize) -> Duration {
    let others = u32::try_from(others).unwrap_or(u32::MAX).max(1);
    NEAR.saturating_mul(others).min(LONGEST)
}

/// Up to which offsets a zone was told of the records of each topic.
#[derive(Debug, Clone, Copy, Default)]
pub struct ForwardedOffsets {
    operators: Offset,
    endpoints: Offset,
    poison: Offset,
}

impl<P: Border + Codec, L: Log> Neighbours<P, L> {
    /// Records that the zone was not told of yet, if this VM reads for it.
    fn passages(&self) -> Vec<Passage> {
        let told = self.lock().told.take();
        if !self.leads() {
            return Vec::new();
        }
        let from = told.unwrap_or_default();
        let (changed, operators) = self.node.operators.since(from.operators);
        let (registered, endpoints) = self.node.directory.since(from.endpoints);
        let (barred, poison) = self.node.blocklist.since(from.poison);
        self.lock().told = Some(ForwardedOffsets {
            operators,
            endpoints,
            poison,
        });
        if told.is_none() {
            return Vec::new();
        }
        // Where records are missing, or too large, the others read by themselves.
        let list = |topic, from, parts: Option<_>, to| {
            Passage::list(topic, from, parts.unwrap_or_default(), to)
        };
        let mut passages = list(Shared::Operators, from.operators, changed, operators);
        passages.extend(list(
            Shared::Endpoints,
            from.endpoints,
            registered,
            endpoints,
        ));
        passages.extend(list(Shared::Poison, from.poison, barred, poison));
        passages
    }

    /// Tells the zone.
    pub(super) async fn tell_near(&self) {
        let mut told = Moment::ZERO;
        let mut silent = true;
        let mut operators = self.node.operators.changes();
        let mut endpoints = self.node.directory.changes();
        let mut bars = self.node.blocklist.changes();
        loop {
            let peers = self.peers();
            self.settle();
            let changed = tokio::select! {
                () = tokio::time::sleep(zone_interval(peers.len())) => false,
                _ = operators.changed() => self.leads(),
                _ = endpoints.changed() => self.leads(),
                _ = bars.changed() => self.leads(),
                () = self.node.poison.reports_due.notified() => false,
                () = self.node.limited.notified() => true,
                () = self.zone.proved.notified() => self.leads(),
                () = self.zone.stopped.notified() => true,
            };
            let update = self.collect_update();
            let now = boot::now();
            let nothing = update.is_empty() && !changed;
            if nothing && silent && now.since(told) < BEAT {
                continue;
            }
            silent = nothing;
            told = now;
            for peer in &peers {
                self.send(peer.address, Some(peer.key), &update).await;
            }
        }
    }

    /// What is to be told to the zone.
    fn collect_update(&self) -> Update {
        let mut update = Update {
            rollouts: self.node.due_announcements(boot::now()),
            pinned_sessions: self.node.rollouts(Rollouts::take_pending_sessions),
            poison: self.node.poison.take_zone_reports(boot::now()),
            passages: self.passages(),
            ..Update::default()
        };
        let mut shared = Vec::new();
        for (_, pool) in self.node.scheduler.pools() {
            let read = pool.read();
            update.prefills.extend(read.iter().map(Prefill::new));
            shared.extend(read.iter().filter_map(Prefill::shared_prefix));
            let millis = |wait: Duration| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
            let waits = pool.waits().into_iter();
            update
                .waits
                .extend(waits.map(|(key, wait)| (key, millis(wait))));
            update
                .limits
                .extend(pool.limits().iter().map(limit::encode));
        }
        let mut inner = self.lock();
        inner.far.extend(shared);
        inner.far_kept.extend(&update.pinned_sessions);
        update.prefills.append(&mut inner.passed);
        update.pinned_sessions.append(&mut inner.passed_kept);
        update
    }

    /// Tells one VM of each other zone.
    pub(super) async fn tell_far(&self) {
        let mut told = Moment::ZERO;
        loop {
            tokio::time::sleep(FAR).await;
            let now = boot::now();
            let (update, addresses) = {
                let mut inner = self.lock();
                let update = Update {
                    prefills: std::mem::take(&mut inner.far),
                    pinned_sessions: std::mem::take(&mut inner.far_kept),
                    poison: self.node.poison.take_remote_reports(now),
                    ..Update::default()
                };
                (
                    update,
                    inner.peers.remote_targets(&self.node.config.zone, now),
                )
            };
            if update.is_empty() && now.since(told) < SECOND {
                continue;
            }
            told = now;
            for address in addresses {
                self.send(address, None, &update).await;
            }
        }
    }

    /// Sends one VM what there is to tell; `near` is its key if it is of this zone.
    pub(super) async fn send(&self, address: SocketAddr, near: Option<u64>, update: &Update) {
        for chunk in update.chunks() {
            // A proof that came before the records that it speaks of would make the other VM read.
            let proven = near.filter(|_| chunk.last);
            let (rollouts, limits) = if chunk.first {
                (&update.rollouts[..], &update.limits[..])
            } else {
                (&[][..], &[][..])
            };
            let message = Message {
                node: self.node.config.node.clone(),
                zone: self.node.config.zone.clone(),
                stamp: boot::now(),
                reader_status: self.reader_status(),
                passages: chunk.passages.to_vec(),
                proofs: proven.map(|node| self.proofs(node)).unwrap_or_default(),
                rollouts: rollouts.to_vec(),
                waits: update.waits.clone(),
                limits: limits.to_vec(),
                pinned_sessions: chunk.pinned_sessions.to_vec(),
                poison: chunk.poison.to_vec(),
                prefills: chunk.prefills.to_vec(),
            };
            let bytes = match postcard::to_stdvec(&message) {
                Ok(bytes) => bytes,
                Err(error) => return log::error!("neighbours: Not written: {error}."),
            };
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                log::debug!("neighbours: Nothing sent to {address}: {error}.");
            }
        }
    }

    /// What this VM's last reads prove to another one. Only the VM that reads for the zone tells:
    /// while endpoints register by the dozen, every read finds something new, and VMs that told each
    /// other would make each other read without end.
    fn proofs(&self, node: u64) -> Proofs {
        if !self.leads() {
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
