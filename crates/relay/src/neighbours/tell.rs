//! What a VM tells the others, and how often.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_units::Moment;
use pimento_units::Offset;

use super::Neighbours;
use super::limit;
use super::message;
use super::message::Message;
use super::message::Proofs;
use super::message::Read;
use super::news::News;
use crate::boot;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
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
pub fn period(others: usize) -> Duration {
    let others = u32::try_from(others).unwrap_or(u32::MAX).max(1);
    NEAR.saturating_mul(others).min(LONGEST)
}

/// Up to which offsets a zone was told of the records of each topic.
#[derive(Debug, Clone, Copy, Default)]
pub struct Ends {
    operators: Offset,
    endpoints: Offset,
    poison: Offset,
}

impl<P: HeaderCodec + Codec, L: Log> Neighbours<P, L> {
    /// Records that the zone was not told of yet, if this VM reads for it.
    fn passages(&self) -> Vec<Passage> {
        let told = self.lock().told.take();
        if !self.leads() {
            return Vec::new();
        }
        let from = told.unwrap_or_default();
        let (changed, operators) = self.node.operators.since(from.operators);
        let (registered, endpoints) = self.node.directory.since(from.endpoints);
        let (barred, poison) = self.node.blocks.since(from.poison);
        self.lock().told = Some(Ends {
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
        let mut bars = self.node.blocks.changes();
        loop {
            let peers = self.peers();
            self.settle();
            let changed = tokio::select! {
                () = tokio::time::sleep(period(peers.len())) => false,
                _ = operators.changed() => self.leads(),
                _ = endpoints.changed() => self.leads(),
                _ = bars.changed() => self.leads(),
                () = self.node.poison.told.notified() => false,
                () = self.node.limit_changed.notified() => true,
                () = self.zone.proved.notified() => self.leads(),
                () = self.zone.stopped.notified() => true,
            };
            let news = self.news();
            let now = boot::now();
            let nothing = news.is_empty() && !changed;
            if nothing && silent && now.since(told) < BEAT {
                continue;
            }
            silent = nothing;
            told = now;
            for peer in &peers {
                self.send(peer.address, Some(peer.key), &news).await;
            }
        }
    }

    /// What is to be told to the zone.
    fn news(&self) -> News {
        let mut news = News {
            rollouts: self.node.due_announcements(boot::now()),
            kept: self.node.rollouts(Rollouts::untold),
            poison: self.node.poison.near(boot::now()),
            passages: self.passages(),
            ..News::default()
        };
        let mut shared = Vec::new();
        for (_, pool) in self.node.scheduler.pools() {
            let read = pool.read();
            news.reads.extend(read.iter().map(Read::new));
            shared.extend(read.iter().filter_map(Read::shared));
            let millis = |wait: Duration| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
            let waits = pool.waits().into_iter();
            news.waits
                .extend(waits.map(|(key, wait)| (key, millis(wait))));
            news.limits.extend(pool.limits().iter().map(limit::written));
        }
        let mut inner = self.lock();
        inner.far.extend(shared);
        inner.far_kept.extend(&news.kept);
        news.reads.append(&mut inner.passed);
        news.kept.append(&mut inner.passed_kept);
        news
    }

    /// Tells one VM of each other zone.
    pub(super) async fn tell_far(&self) {
        let mut told = Moment::ZERO;
        loop {
            tokio::time::sleep(FAR).await;
            let now = boot::now();
            let (news, addresses) = {
                let mut inner = self.lock();
                let news = News {
                    reads: std::mem::take(&mut inner.far),
                    kept: std::mem::take(&mut inner.far_kept),
                    poison: self.node.poison.far(now),
                    ..News::default()
                };
                (news, inner.peers.far(&self.node.config.zone, now))
            };
            if news.is_empty() && now.since(told) < SECOND {
                continue;
            }
            told = now;
            for address in addresses {
                self.send(address, None, &news).await;
            }
        }
    }

    /// Sends one VM what there is to tell; `near` is its key if it is of this zone.
    pub(super) async fn send(&self, address: SocketAddr, near: Option<u64>, news: &News) {
        for part in news.parts() {
            // A proof that came before the records that it speaks of would make the other VM read.
            let proven = near.filter(|_| part.last);
            let (rollouts, limits) = if part.first {
                (&news.rollouts[..], &news.limits[..])
            } else {
                (&[][..], &[][..])
            };
            let message = Message {
                node: self.node.config.node.clone(),
                zone: self.node.config.zone.clone(),
                stamp: boot::now(),
                standing: self.standing(),
                passages: part.passages.to_vec(),
                proofs: proven.map(|node| self.proofs(node)).unwrap_or_default(),
                rollouts: rollouts.to_vec(),
                waits: news.waits.clone(),
                limits: limits.to_vec(),
                kept: part.kept.to_vec(),
                poison: part.poison.to_vec(),
                reads: part.reads.to_vec(),
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
        let poison = self.node.blocks.proof(node);
        Proofs {
            operators: operators.map(message::written),
            endpoints: endpoints.map(message::written),
            poison: poison.map(message::written),
        }
    }
}
