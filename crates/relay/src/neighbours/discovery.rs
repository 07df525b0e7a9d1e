//! How a VM discovers the others: by the topic that they share, read once at the start.

use std::time::Duration;

use pimento_progress::Progress;
use pimento_units::id;

use super::Neighbours;
use super::RETRY_DELAY;
use super::peers::Peer;
use super::update::Update;
use crate::boot;
use crate::calls::Reason;
use crate::codec::Codec;
use crate::fleet;
use crate::fleet::VmRecord;
use crate::follow::ReadRole;
use crate::headers::HeaderCodec;
use crate::topic::Log;
use crate::topic::Topic;

/// How often a VM checks whether it has learnt prefill speeds worth publishing for VMs that start later.
const PREFILL_SPEEDS_INTERVAL: Duration = Duration::from_secs(5);

/// How long an answer of the log may take to begin, and how long it may stall.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a VM that starts waits for an answer to its first datagram from a VM that has read the log.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(60);

/// The longest delay between calls that fail. The other VMs send datagrams meanwhile.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_600);

/// Waits after a call that failed; returns the next delay.
async fn back_off(delay: Duration) -> Duration {
    tokio::time::sleep(delay.mul_f64(rand::random_range(0.5..=1.0))).await;
    (delay * 2).min(MAX_RETRY_DELAY)
}

impl<P: HeaderCodec + Codec, L: Log> Neighbours<P, L> {
    /// Discovers the other VMs by the log, and joins those of the zone by datagrams.
    ///
    /// Of two VMs that start together, the one whose record comes later must find the other's record. So a
    /// VM reads the records of the others once its own is there. A VM that restarts finds the record of its
    /// last incarnation, with the prefill speeds learnt by then, and writes none if that is still true.
    pub(super) async fn discover(&self) {
        if self.node.config.first_start {
            self.publish().await;
        }
        let known = self.read_fleet().await;
        self.join().await;
        if !known {
            self.publish().await;
            self.read_fleet().await;
        }
        self.publish_prefill_speeds().await;
    }

    /// Writes this VM's record to the log.
    async fn publish(&self) {
        let mut delay = RETRY_DELAY;
        while !self.node.publish(&self.node.vm_record(), &self.log).await {
            delay = back_off(delay).await;
        }
    }

    /// Tells the VMs of the zone that this one starts, and finds out from which of them it gets what it
    /// lacks: one that has read the log already answers at once.
    async fn join(&self) {
        let peers = self.refresh_peers();
        for peer in &peers {
            let nothing = Update::default();
            self.send(peer.address, Some(peer.key), &nothing).await;
        }
        // The first VM by name does not wait: it becomes the reader, for which the others wait.
        let own = &self.node.config.node;
        let first = peers.first().is_none_or(|peer| *own < peer.node);
        let eligible = async {
            while !self.has_eligible_reader() {
                self.zone_datagram.notified().await;
            }
        };
        if !first
            && tokio::time::timeout(HANDSHAKE_TIMEOUT, eligible)
                .await
                .is_err()
        {
            log::info!("neighbours: No VM of the zone is known to have read the log.");
        }
        self.update_role();
        self.zone.finish_discovery();
    }

    /// Reads the other VMs' addresses and the prefill speeds that they learnt. Returns true if this VM's
    /// own record is there and still true.
    async fn read_fleet(&self) -> bool {
        let mut delay = RETRY_DELAY;
        loop {
            self.node.calls.count(Topic::Fleet, Reason::Discovery);
            let progress = Progress::default();
            let newest = self.log.newest(Topic::Fleet, &progress);
            match progress.wait(newest, CALL_TIMEOUT, CALL_TIMEOUT).await {
                Ok(Ok(batch)) => {
                    let mut known = false;
                    for (node, record) in batch.records.iter().filter_map(fleet::decode) {
                        known |= self.is_own(&node, &record);
                        self.add_record(node, record);
                    }
                    return known;
                }
                Ok(Err(error)) => log::warn!("neighbours: The VMs' topic can't be read: {error}."),
                Err(error) => log::warn!("neighbours: The VMs' topic can't be read: {error}."),
            }
            delay = back_off(delay).await;
        }
    }

    /// Whether a record is this VM's own and still true. One with announcements about roll-outs is not:
    /// they are an earlier incarnation's.
    fn is_own(&self, node: &id::Node, record: &VmRecord) -> bool {
        let config = &self.node.config;
        let same_place = record.zone == config.zone && record.address == config.peer_listen;
        *node == config.node && same_place && record.rollouts.is_empty()
    }

    fn add_record(&self, node: id::Node, record: VmRecord) {
        self.node
            .scheduler
            .merge_prefill_speeds(&record.seconds_per_token);
        if node != self.node.config.node {
            let now = boot::now();
            let peer = Peer::discovered(node, record.zone, record.address, now);
            self.lock().peers.update(peer, now);
        }
    }

    /// Writes this VM's record once more when it has learnt rates, for VMs that start later. A VM for
    /// which another one reads the log leaves this to that one.
    async fn publish_prefill_speeds(&self) {
        loop {
            tokio::time::sleep(PREFILL_SPEEDS_INTERVAL).await;
            let record = self.node.vm_record();
            let known = !record.seconds_per_token.is_empty();
            let alone = *self.zone.read_role.borrow() != ReadRole::Served;
            if known && alone && self.node.publish(&record, &self.log).await {
                return;
            }
        }
    }
}
