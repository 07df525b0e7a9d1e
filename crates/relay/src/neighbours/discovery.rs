//! How a VM discovers the others: by the topic that they share, read once at the start.
//!
//! The topic has a partition for each zone. A VM writes to that of its own zone and reads it, so that a start
//! takes two calls of the log however many VMs there are.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_progress::Progress;
use pimento_units::id;
use rand::seq::IndexedRandom;

use super::Neighbours;
use super::RETRY_DELAY;
use super::broadcast::Audience;
use super::peer::Peer;
use super::update::Update;
use super::zones::MAX_CONTACTS;
use crate::boot;
use crate::calls::Reason;
use crate::codec::Codec;
use crate::fleet;
use crate::fleet::VmRecord;
use crate::follow::ReadRole;
use crate::headers::HeaderCodec;
use crate::position::Era;
use crate::position::Position;
use crate::topic::Log;
use crate::topic::Topic;

/// How often a VM checks whether it has learnt prefill speeds worth publishing for VMs that start later.
const PREFILL_SPEEDS_INTERVAL: Duration = Duration::from_secs(5);

/// How long an answer of the log may take to begin, and how long it may stall.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a VM that starts waits for an answer to its first datagram from a VM that has read the log.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(60);

/// The longest delay between calls that fail. The other VMs send datagrams meanwhile. After an outage all VMs
/// of all zones may call at once, and the first of each group that is answered tells the others.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(6_400);

/// How long a VM that has discovered its own zone waits before it looks for the other zones. By then it knows
/// whether its zone is so large that it is divided.
const ZONES_DELAY: Duration = Duration::from_secs(1);

/// VMs of each other zone that a VM which is alone in its zone asks for their views, at most.
const MAX_REMOTE_SOURCES: usize = 2;

/// Attempts to write this VM's record before it reads those of the others all the same.
const MAX_ATTEMPTS: u32 = 3;

/// Waits up to `delay` after a call that failed, anywhere within it so that VMs which failed together do not
/// call together again. Returns the next delay.
async fn back_off(delay: Duration) -> Duration {
    tokio::time::sleep(delay.mul_f64(rand::random_range(0.1..=1.0))).await;
    (delay * 2).min(MAX_RETRY_DELAY)
}

impl<P: HeaderCodec + Codec, L: Log> Neighbours<P, L> {
    /// Discovers the other VMs of the zone by the log, and joins them by datagrams. A VM of the zone that knows
    /// this one may get in touch first.
    ///
    /// Of two VMs that start together, the one whose record comes later must find the other's record. So a
    /// VM reads the records of the others once its own is there. A VM that restarts finds the record of its
    /// last incarnation, with the prefill speeds learnt by then, and writes none if that is still true.
    pub(super) async fn discover(&self) {
        let by_log = async {
            let mut written = self.node.config.first_start && self.publish(MAX_ATTEMPTS).await;
            written |= self.read_zone().await;
            self.find_remote_sources().await;
            self.join().await;
            if !written {
                self.publish(u32::MAX).await;
                self.read_zone().await;
            }
        };
        let by_datagram = async {
            tokio::select! {
                () = self.wait_for_source() => self.finish_discovery(),
                () = self.zone.wait_for_discovery() => {}
            }
        };
        tokio::join!(by_log, by_datagram);
        tokio::join!(self.publish_prefill_speeds(), self.discover_zones());
    }

    fn finish_discovery(&self) {
        self.update_role();
        self.zone.finish_discovery();
    }

    /// Writes this VM's record to the log. Returns false if none of `attempts` is known to have succeeded.
    async fn publish(&self, attempts: u32) -> bool {
        let mut delay = RETRY_DELAY;
        for _ in 0..attempts {
            if self.node.announce(&self.log).await {
                return true;
            }
            delay = back_off(delay).await;
        }
        false
    }

    /// Waits until another VM can serve its views to this one.
    async fn wait_for_source(&self) {
        let mut datagrams = self.zone_datagram.subscribe();
        while !self.has_source() {
            if datagrams.changed().await.is_err() {
                return;
            }
        }
    }

    /// Tells the VMs of the group that this one starts, and finds out from which of them it gets what it
    /// lacks: one that has read the log already answers at once.
    async fn join(&self) {
        let peers = self.refresh_peers();
        for peer in &peers {
            let nothing = Update::default();
            self.send(peer.address, Some(peer.key), Audience::Group, &nothing)
                .await;
        }
        // The first VM by name does not wait: it becomes the reader, for which the others wait.
        let own = &self.node.config.node;
        let first = peers.first().is_none_or(|peer| *own < peer.node);
        if !first
            && tokio::time::timeout(HANDSHAKE_TIMEOUT, self.wait_for_source())
                .await
                .is_err()
        {
            log::info!("neighbours: No VM of the group is known to have read the log.");
        }
        self.finish_discovery();
    }

    /// Reads the records of the zone's VMs: their addresses, and the prefill speeds that they learnt. Returns
    /// true if this VM's own record is there and still true.
    async fn read_zone(&self) -> bool {
        let mut delay = RETRY_DELAY;
        let zone = &self.node.config.zone;
        loop {
            if let Some(records) = self.read_vms(zone).await {
                let mut known = false;
                for (node, record) in records {
                    known |= self.is_own(&node, &record);
                    self.add_record(node, record);
                }
                return known;
            }
            delay = back_off(delay).await;
        }
    }

    /// Finds VMs of other zones that know what a log which came back from an older copy may lack, if no VM of
    /// this zone does.
    async fn find_remote_sources(&self) {
        if self.log_era() == Era::default() || !self.refresh_peers().is_empty() {
            return;
        }
        let config = &self.node.config;
        let mut sources = Vec::new();
        for (zone, _) in config.zones.iter().filter(|(zone, _)| *zone != config.zone) {
            let records = self.read_vms(zone).await.unwrap_or_default();
            let chosen = records.sample(&mut rand::rng(), MAX_REMOTE_SOURCES);
            sources.extend(chosen.map(|(_, record)| record.address));
        }
        let known = sources.len();
        log::info!(known; "neighbours: The log was restored, asking VMs of other zones for their views.");
        self.zone.set_remote_sources(sources);
    }

    fn log_era(&self) -> Era {
        self.lock().log_era
    }

    /// Reads the records of a zone's VMs; none if the log gave no answer.
    async fn read_vms(&self, zone: &id::Zone) -> Option<Vec<(id::Node, VmRecord)>> {
        let topic = Topic::Vms(self.node.config.partition(zone));
        self.node.calls.count(topic, Reason::Discovery);
        let progress = Progress::default();
        let newest = self.log.newest(topic, &progress);
        let problem = match progress.wait(newest, CALL_TIMEOUT, CALL_TIMEOUT).await {
            Ok(Ok(batch)) => {
                let era = Position::from(batch.end).era;
                self.lock().log_era = era;
                let records = batch.records.iter().filter_map(fleet::decode);
                // Zones may share a partition.
                return Some(records.filter(|(_, record)| record.zone == *zone).collect());
            }
            Ok(Err(error)) => error.to_string(),
            Err(error) => error.to_string(),
        };
        log::warn!("neighbours: The records of the VMs of {zone} can't be read: {problem}.");
        None
    }

    /// Finds the VMs of the other zones.
    ///
    /// Each VM of a small zone knows all of them, so that what it sends to another zone reaches a VM there even
    /// if some have been replaced. In a divided zone only the reader calls the log for it, and names some of
    /// them to the others.
    async fn discover_zones(&self) {
        tokio::time::sleep(self.zone.settle_time().max(ZONES_DELAY)).await;
        let config = &self.node.config;
        let zones = config.zones.iter().map(|(zone, _)| zone);
        for zone in zones.filter(|zone| **zone != config.zone) {
            let mut delay = RETRY_DELAY;
            while self.must_read(zone).await {
                match self.read_vms(zone).await {
                    Some(records) => {
                        self.add_zone(zone, &records);
                        break;
                    }
                    None => delay = back_off(delay).await,
                }
            }
        }
    }

    /// Whether this VM is to read the records of another zone's VMs. In a divided zone it waits until it is the
    /// reader, and does so only if nothing is known of that zone then.
    async fn must_read(&self, zone: &id::Zone) -> bool {
        if !self.lock().peers.level().is_divided() {
            return true;
        }
        let mut roles = self.zone.read_role.subscribe();
        let reads = roles
            .wait_for(|role| *role != ReadRole::Served)
            .await
            .is_ok();
        reads && !self.lock().zones.known().iter().any(|k| k.zone == *zone)
    }

    /// Adds another zone by the records of its VMs: all of them, or some if this VM's zone is divided.
    fn add_zone(&self, zone: &id::Zone, records: &[(id::Node, VmRecord)]) {
        let mut inner = self.lock();
        let most = if inner.peers.level().is_divided() {
            MAX_CONTACTS
        } else {
            records.len()
        };
        let chosen = records.sample(&mut rand::rng(), most);
        let contacts: Vec<(id::Node, SocketAddr)> = chosen
            .map(|(node, record)| (node.clone(), record.address))
            .collect();
        let vms = u32::try_from(records.len()).unwrap_or(u32::MAX);
        inner.zones.merge(zone, vms, &contacts);
        for (node, address) in &contacts {
            inner.peers.add_contact(node, zone, *address, boot::now());
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
            if known && alone && self.node.announce(&self.log).await {
                return;
            }
        }
    }
}
