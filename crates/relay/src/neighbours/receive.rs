//! Datagrams from other VMs, and what this VM takes from them.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_policy::choice;
use pimento_scheduler::endpoint_limit;
use pimento_units::Moment;

use super::Neighbours;
use super::RETRY_DELAY;
use super::broadcast::Audience;
use super::limit;
use super::limit::Limit;
use super::loan;
use super::message::AbsenceMessage;
use super::message::Datagram;
use super::message::Extension;
use super::message::Message;
use super::message::Proofs;
use super::message::Supplement;
use super::message::ZoneSummary;
use super::peer::Peer;
use super::peer::ReaderStatus;
use super::speeds;
use super::update::Update;
use crate::absences;
use crate::boot;
use crate::bundle::Bundle;
use crate::bundle::SharedTopic;
use crate::codec::Codec;
use crate::follow::RecordRange;
use crate::headers::HeaderCodec;
use crate::incarnation::Incarnation;
use crate::pools;
use crate::rollouts::handover::Sender;
use crate::topic::Log;
use crate::zone::Stamp;

/// The largest datagram that is received, in bytes: one with the largest record that is forwarded by
/// datagrams, and some.
const MAX_DATAGRAM: usize = 10 << 10;

impl<P: HeaderCodec + Codec, L: Log> Neighbours<P, L> {
    pub(super) async fn listen(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let (length, from) = match received {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("neighbours: A datagram can't be received: {error}.");
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            match Datagram::decode(&buffer[..length]) {
                Ok(datagram) => self.handle(&datagram, from).await,
                Err(error) => {
                    log::warn!(
                        "neighbours: Ignoring a datagram from {from}, which can't be decoded: {error}."
                    );
                }
            }
        }
    }

    /// Merges a datagram, and answers it at once if its sender waits to learn of this VM: one that starts, or
    /// the leader of another group that looks for the leader of this one.
    async fn handle(&self, datagram: &Datagram, from: SocketAddr) {
        let message = &datagram.message;
        let local = message.zone == self.node.config.zone;
        let starts = message.reader_status == ReaderStatus::Starting;
        let sender = choice::hash(message.node.as_str());
        let searches = message.position.leader.is_none();
        let (met, other_group, leads) = {
            let inner = self.lock();
            let met = inner.peers.is_alive(&message.node, boot::now());
            let level = inner.peers.level();
            let other = level.group(sender) != level.group_of(&self.node.config.node);
            (met, other, inner.leader.is_none())
        };
        self.merge(datagram, from);
        self.merge_handovers(datagram, from, local && !other_group)
            .await;
        let serves = self.serves_group() && self.reader_status() == ReaderStatus::Eligible;
        let answers = if other_group {
            searches && (!leads || !met)
        } else {
            starts && (serves || !met)
        };
        if local && answers {
            let audience = if other_group {
                Audience::Leaders
            } else {
                Audience::Group
            };
            let mut update = Update::default();
            if starts {
                update.zones = self.zone_summaries();
            }
            self.send(from, Some(sender), audience, &update).await;
        }
    }

    /// Records who sent a datagram. Returns whether the sender is of this VM's group and of its zone.
    fn merge_sender(
        &self,
        message: &Message,
        extension: &Extension,
        from: SocketAddr,
        now: Moment,
    ) -> (bool, bool) {
        let config = &self.node.config;
        let local = message.zone == config.zone;
        let position = &message.position;
        let peer = Peer::discovered(message.node.clone(), message.zone.clone(), from, now)
            .with_datagram(message.reader_status, now)
            .with_position(position.capacity, position.leader.is_none())
            .with_views(position.has_views)
            .with_links(extension.links, now);
        let mut inner = self.lock();
        if local {
            inner.peers.raise_level(position.level);
            let vms = usize::try_from(position.vms).unwrap_or_default();
            inner.named_vms = inner.named_vms.max(vms);
            if let Some((node, address)) = &position.leader {
                inner
                    .peers
                    .name_leader(node, &message.zone, *address, &config.node, now);
            }
        } else {
            let (zone, node) = (message.zone.clone(), message.node.clone());
            inner.zones.merge(&zone, position.vms, &[(node, from)]);
        }
        for ZoneSummary {
            zone,
            vms,
            contacts,
        } in &message.zones
        {
            // Of its own zone a leader names the leaders of the other groups, to which its successor will turn.
            if *zone == config.zone {
                for (node, address) in contacts {
                    let peers = &mut inner.peers;
                    peers.name_leader(node, zone, *address, &config.node, now);
                }
                continue;
            }
            inner.zones.merge(zone, *vms, contacts);
            for (node, address) in contacts {
                inner.peers.add_contact(node, zone, *address, now);
            }
        }
        let changed = inner.peers.update(peer, now);
        let level = inner.peers.level();
        let sender = choice::hash(message.node.as_str());
        let group = local && level.group(sender) == level.group_of(&config.node);
        drop(inner);
        if changed && local {
            self.update_role();
        }
        (group, local)
    }

    /// Takes in what another VM hands over of roll-outs, and answers it if it asks for what this one knows.
    async fn merge_handovers(&self, datagram: &Datagram, from: SocketAddr, group: bool) {
        let node = &datagram.message.node;
        if *node == self.node.config.node {
            return;
        }
        let sender = Sender {
            vm: choice::hash(node.as_str()),
            group,
        };
        let now = boot::now();
        let mut handovers = Vec::new();
        for message in &datagram.handovers.rollouts {
            handovers.extend(
                self.node
                    .rollouts(|r| r.merge_handover(message, sender, now)),
            );
        }
        if handovers.is_empty() {
            return;
        }
        let update = Update {
            handovers,
            ..Update::default()
        };
        self.send(from, None, Audience::Remote, &update).await;
    }

    fn merge(&self, datagram: &Datagram, from: SocketAddr) {
        let Datagram {
            message,
            extension,
            supplement,
            measurements,
            absences,
            handovers: _,
        } = datagram;
        let config = &self.node.config;
        if message.node == config.node {
            return;
        }
        let now = boot::now();
        let sender = choice::hash(message.node.as_str());
        let (group, local) = self.merge_sender(message, extension, from, now);
        if !group {
            let mut inner = self.lock();
            let prefills = message.prefills.iter().cloned();
            inner.forwarded_prefills.extend(prefills);
            inner.forwarded_sessions.extend(&message.pinned_sessions);
        }
        if local {
            self.zone_datagram.send_modify(|count| *count += 1);
        }
        for report in &message.poison {
            let writes = self.node.reads_log();
            self.node.poison.receive(*report, !group, writes, now);
        }
        if group {
            let scheduler = &self.node.scheduler;
            let Supplement { wants, loans, .. } = supplement;
            loan::merge(scheduler, sender, message.stamp, wants, loans);
            speeds::merge(scheduler, &measurements.speeds);
        }
        for report in &supplement.poison_parts {
            self.node.poison.receive_part(*report, !group, now);
        }
        for pinned in &message.pinned_sessions {
            self.node.rollouts(|r| r.pin_session(*pinned));
        }
        self.merge_departures(&extension.departures, now);
        self.merge_absences(&absences.misdirected, now);
        let limits = limit::joined(&message.limits, &extension.max_rejections);
        if local {
            let stamp = Stamp {
                node: sender,
                at: message.stamp,
            };
            self.zone.record_stamp(stamp, now);
            for bundle in &message.bundles {
                self.apply_bundle(bundle);
            }
            self.apply_proofs(message.proofs);
            self.queue_relayed(message, &limits, group);
        }
        let own = &config.node;
        for received in message.rollouts.iter().filter(|r| r.node != *own) {
            self.node.rollouts(|r| r.receive(received, now));
        }
        let waits: Vec<(u64, Duration)> = message
            .waits
            .iter()
            .map(|(engine, millis)| (*engine, Duration::from_millis(u64::from(*millis))))
            .collect();
        let reports: Vec<endpoint_limit::Report> =
            limits.iter().filter_map(Limit::decode).collect();
        for (_, pool) in self.node.scheduler.pools() {
            if group {
                pool.merge_waits(sender, &waits);
            }
            if local {
                for report in &reports {
                    pool.merge_limit(*report);
                }
            }
            for rest in &extension.rests {
                pool.merge_rest((*rest).into());
            }
            for prefill in &message.prefills {
                pool.merge_prefilled(prefill.engine, &prefill.prompt());
            }
        }
    }

    /// Records endpoints that leave, which this VM then tells others as well.
    fn merge_departures(&self, departures: &[Incarnation], now: Moment) {
        let mut any = false;
        for departure in departures {
            any |= self.node.departures.record(*departure, now);
        }
        if any {
            pools::refresh(&self.node);
        }
    }

    /// Records endpoints that are not at their addresses, which this VM then tells others as well.
    fn merge_absences(&self, absences: &[AbsenceMessage], now: Moment) {
        let mut any = false;
        for message in absences {
            let age = Duration::from_millis(u64::from(message.age_ms));
            any |= absences::record(&self.node, message.absence, now.before(age));
        }
        if any {
            pools::refresh(&self.node);
        }
    }

    /// Applies records that another VM read from the log.
    fn apply_bundle(&self, bundle: &Bundle) {
        let Bundle {
            topic, from, to, ..
        } = *bundle;
        let records = bundle.records();
        let range = RecordRange { from, to, records };
        match topic {
            SharedTopic::Operators => self.node.operators.receive(range),
            SharedTopic::Endpoints => self.node.directory.receive(range),
            SharedTopic::Poison => self.node.blocklist.receive(range),
        }
    }

    /// Queues announcements about roll-outs, and limits, for those who get them from this VM while it leads its
    /// group: what its group says for the other leaders, and what they say themselves for its group.
    fn queue_relayed(&self, message: &Message, limits: &[Limit], group: bool) {
        let inner = &mut *self.lock();
        if inner.leader.is_some() || !inner.peers.level().is_divided() {
            return;
        }
        let queue = if group {
            &mut inner.to_leaders
        } else {
            &mut inner.to_group
        };
        let by_sender = message.rollouts.iter().filter(|r| r.node == message.node);
        by_sender.for_each(|announced| queue.add_announcement(announced.clone()));
        for limit in limits {
            queue.add_limit(*limit);
        }
    }

    /// Applies what the reads of another VM prove to this one.
    fn apply_proofs(&self, proofs: Proofs) {
        if let Some(proof) = proofs.operators {
            self.node.operators.receive_proof(proof);
        }
        if let Some(proof) = proofs.endpoints {
            self.node.directory.receive_proof(proof);
        }
        if let Some(proof) = proofs.poison {
            self.node.blocklist.receive_proof(proof);
        }
    }
}
