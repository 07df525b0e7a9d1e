//! What a VM sends to the others, and how often.

mod collect;
mod handover;

use std::net::SocketAddr;
use std::time::Duration;

use pimento_units::Moment;

pub use self::collect::ForwardedOffsets;
use super::Neighbours;
use super::limit;
use super::loan;
use super::message::AbsenceMessage;
use super::message::Absences;
use super::message::Datagram;
use super::message::Extension;
use super::message::Handovers;
use super::message::Measurements;
use super::message::Message;
use super::message::Position;
use super::message::Proofs;
use super::message::RestMessage;
use super::message::Supplement;
use super::message::ZoneSummary;
use super::peers::PROBE_INTERVAL;
use super::peers::ROTATION_INTERVAL;
use super::update::Update;
use crate::boot;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::topic::Log;

/// Time between datagrams to each VM of the group, per VM there. With two other VMs an update is up to
/// 40 ms old, which is half the prefill time of the shortest prompt on the largest model.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(20);

/// The longest time between them. A VM that missed one datagram must still take the sender for alive
/// when the next one comes.
const MAX_ZONE_INTERVAL: Duration = Duration::from_millis(600);

/// Time between datagrams to other zones, where traffic has a price. The prefixes reported there save
/// prefill work for tens of seconds, so that this age matters little.
const REMOTE_INTERVAL: Duration = Duration::from_millis(300);

/// How often a VM that serves others tells them what it knows of the zones.
const ZONES_INTERVAL: Duration = Duration::from_secs(2);

/// Endpoints that rest in one datagram.
const MAX_RESTS: usize = 32;

/// The most leaders of other groups that a leader names to its group.
const MAX_NAMED_LEADERS: usize = 8;

/// Time between datagrams to the group if there is nothing to send. They keep the VM counted as alive,
/// and give the reader a young stamp of it.
const ZONE_HEARTBEAT: Duration = Duration::from_millis(400);

/// Time between datagrams to other zones if there is nothing to send.
const REMOTE_HEARTBEAT: Duration = Duration::from_secs(1);

/// Time between datagrams to each VM of the group, if there are `others` of them.
///
/// It grows with their number, but only up to a bound within which VMs still take each other for alive. Beyond
/// that bound they would all read the log, each for itself. A larger zone is divided into groups instead.
#[must_use]
pub fn zone_interval(others: usize) -> Duration {
    let others = u32::try_from(others).unwrap_or(u32::MAX).max(1);
    INTERVAL_PER_PEER
        .saturating_mul(others)
        .min(MAX_ZONE_INTERVAL)
}

/// The VMs for which a datagram is meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// A VM of the group, which is served by its leader.
    Group,
    /// The leader of another group of the zone, which is served by the zone's reader.
    Leaders,
    /// A VM of another group or zone that is not served.
    Remote,
}

impl<P: HeaderCodec + Codec, L: Log> Neighbours<P, L> {
    /// Sends updates to all VMs of the group and, while this VM leads it, to the leaders of the others.
    pub(super) async fn broadcast_to_zone(&self) {
        let mut last_sent = Moment::ZERO;
        let mut zones_sent = Moment::ZERO;
        let mut idle = true;
        let mut operators = self.node.operators.changes();
        let mut endpoints = self.node.directory.changes();
        let mut blocklist = self.node.blocklist.changes();
        loop {
            let peers = self.refresh_peers();
            self.update_role();
            let serves = self.serves_group();
            let changed = tokio::select! {
                () = tokio::time::sleep(zone_interval(peers.len())) => false,
                _ = operators.changed() => serves,
                _ = endpoints.changed() => serves,
                _ = blocklist.changed() => serves,
                () = self.node.poison.reports_due.notified() => false,
                () = self.node.announced.notified() => true,
                () = self.long_prompt_sent(last_sent) => false,
                () = self.node.links.changed.notified() => true,
                () = self.zone.proved.notified(), if serves => true,
                () = self.zone.unreachable.notified() => true,
            };
            let mut update = self.collect_update();
            let now = boot::now();
            let nothing = update.is_empty() && !changed;
            if nothing && idle && now.since(last_sent) < ZONE_HEARTBEAT {
                continue;
            }
            idle = nothing;
            last_sent = now;
            let zones_due = now.since(zones_sent) >= ZONES_INTERVAL;
            if zones_due && self.serves_group() {
                update.zones = self.zone_summaries();
                zones_sent = now;
            }
            self.send_to_leaders(&mut update).await;
            for peer in &peers {
                self.send(peer.address, Some(peer.key), Audience::Group, &update)
                    .await;
            }
            if changed {
                self.send_to_helpers().await;
            }
        }
    }

    /// Waits until this VM has sent a prompt that is reported at once, and the next report may be sent.
    async fn long_prompt_sent(&self, last_report: Moment) {
        self.node.long_prompt_sent.notified().await;
        let delay = self.node.config.reports.delay(last_report, boot::now());
        tokio::time::sleep(delay).await;
        self.node.metrics.count_urgent_report();
    }

    /// Tells the VMs through which this one reached endpoints what those announced: it reached them.
    async fn send_to_helpers(&self) {
        let helpers = self.node.links.recent_helpers();
        if helpers.is_empty() {
            return;
        }
        let rests = self.node.scheduler.pools().into_iter();
        let rests = rests.flat_map(|(_, pool)| pool.rests());
        let update = Update {
            rests: rests.map(RestMessage::from).take(MAX_RESTS).collect(),
            ..Update::default()
        };
        let port = self.node.config.peer_listen.port();
        for helper in helpers {
            let address = SocketAddr::new(helper.ip(), port);
            self.send(address, None, Audience::Remote, &update).await;
        }
    }

    /// Sends the leaders of the other groups what they need of an update for the group, and looks for leaders
    /// that are unknown. Adds to the update what the group gets from them.
    async fn send_to_leaders(&self, update: &mut Update) {
        let config = &self.node.config;
        let now = boot::now();
        let (leaders, probed, (announcements, limits)) = {
            let mut inner = self.lock();
            if inner.leader.is_some() || !inner.peers.level().is_divided() {
                return;
            }
            let leaders = inner.peers.leaders(&config.node, &config.zone, now);
            let probe = now.since(inner.probed_at) >= PROBE_INTERVAL;
            let probed = if probe {
                inner.probed_at = now;
                inner.peers.probe_targets(&config.node, &config.zone, now)
            } else {
                Vec::new()
            };
            (leaders, probed, inner.to_leaders.take())
        };
        let mut for_leaders = Update {
            rollouts: update.rollouts.clone(),
            limits: update.limits.clone(),
            zones: update.zones.clone(),
            ..Update::default()
        };
        if self.is_zone_reader() {
            for_leaders.bundles.clone_from(&update.bundles);
        }
        for_leaders.rollouts.extend(announcements);
        for_leaders.limits.extend(limits);
        for peer in &leaders {
            self.send(
                peer.address,
                Some(peer.key),
                Audience::Leaders,
                &for_leaders,
            )
            .await;
        }
        for peer in &probed {
            let nothing = Update::default();
            self.send(peer.address, Some(peer.key), Audience::Leaders, &nothing)
                .await;
        }
        let (announcements, limits) = self.lock().to_group.take();
        update.rollouts.extend(announcements);
        update.limits.extend(limits);
    }

    /// What this VM knows of the other zones, and the leaders of its own zone's other groups.
    pub(super) fn zone_summaries(&self) -> Vec<ZoneSummary> {
        let config = &self.node.config;
        let inner = self.lock();
        let mut zones = inner.zones.known().to_vec();
        let leaders = inner.peers.leaders(&config.node, &config.zone, boot::now());
        if !leaders.is_empty() {
            let contacts = leaders.iter().take(MAX_NAMED_LEADERS);
            zones.push(ZoneSummary {
                zone: config.zone.clone(),
                vms: u32::try_from(inner.zone_vms(&config.zone)).unwrap_or(u32::MAX),
                contacts: contacts
                    .map(|leader| (leader.node.clone(), leader.address))
                    .collect(),
            });
        }
        zones
    }

    /// Sends updates to one VM of each other zone and of each other group of this one.
    pub(super) async fn broadcast_to_remote_zones(&self) {
        let mut last_sent = Moment::ZERO;
        loop {
            tokio::time::sleep(REMOTE_INTERVAL).await;
            let now = boot::now();
            self.hand_over_remotely().await;
            let (update, targets, leads) = {
                let mut inner = self.lock();
                let update = Update {
                    prefills: std::mem::take(&mut inner.remote_prefills),
                    pinned_sessions: std::mem::take(&mut inner.remote_sessions),
                    poison: self.node.poison.take_remote_reports(now),
                    poison_parts: self.node.poison.take_remote_parts(now),
                    rollouts: self.own_announcements(self.node.decided_announcements(now)),
                    ..Update::default()
                };
                let config = &self.node.config;
                let targets =
                    inner
                        .peers
                        .remote_targets(&config.node, &config.zone, ROTATION_INTERVAL, now);
                (update, targets, inner.leader.is_none())
            };
            let divided = !targets.groups.is_empty();
            let heartbeat = now.since(last_sent) >= REMOTE_HEARTBEAT && (leads || !divided);
            if update.is_empty() && !heartbeat {
                continue;
            }
            last_sent = now;
            for address in targets.zones {
                self.send(address, None, Audience::Remote, &update).await;
            }
            for address in targets.groups.into_iter().filter(|_| !update.is_empty()) {
                self.send(address, None, Audience::Remote, &update).await;
            }
        }
    }

    /// Sends an update to one VM. `zone_key` is its key if it is of this zone.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        zone_key: Option<u64>,
        audience: Audience,
        update: &Update,
    ) {
        let position = self.position();
        let waits = update.reported_waits();
        for part in update.split() {
            // A proof that came before the records that it covers would make the other VM read the log.
            let proven = zone_key.filter(|_| part.last);
            let zones = if part.first { &update.zones[..] } else { &[] };
            let message = Message {
                node: self.node.config.node.clone(),
                zone: self.node.config.zone.clone(),
                stamp: boot::now(),
                reader_status: self.reader_status(),
                position: position.clone(),
                zones: zones.to_vec(),
                bundles: part.bundles.to_vec(),
                proofs: proven
                    .map(|node| self.proofs(node, audience))
                    .unwrap_or_default(),
                rollouts: part.rollouts.to_vec(),
                waits: waits.clone(),
                limits: limit::requests(part.limits),
                pinned_sessions: part.pinned_sessions.to_vec(),
                poison: part.poison.to_vec(),
                prefills: part.prefills.to_vec(),
            };
            let extension = Extension {
                links: Some(self.node.links.report()),
                max_rejections: limit::rejections(part.limits),
                departures: self.node.departures.to_tell(boot::now()),
                rests: update.rests.clone(),
            };
            let borrower = zone_key.filter(|_| part.first && audience == Audience::Group);
            let supplement = Supplement {
                poison_parts: part.poison_parts.to_vec(),
                wants: update.wants.clone(),
                loans: borrower
                    .map(|vm| loan::lend(&self.node.scheduler, vm))
                    .unwrap_or_default(),
            };
            let mut handovers = part.handovers.to_vec();
            if let Some(vm) = borrower {
                self.add_loans(&mut handovers, vm);
            }
            let absences = self.node.absences.to_tell(boot::now()).into_iter();
            let speeds = if part.first { &update.speeds[..] } else { &[] };
            let datagram = Datagram {
                message,
                extension,
                supplement,
                measurements: Measurements {
                    speeds: speeds.to_vec(),
                },
                absences: Absences {
                    misdirected: absences.map(AbsenceMessage::from).collect(),
                },
                handovers: Handovers {
                    rollouts: handovers,
                },
            };
            let bytes = match datagram.encode() {
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

    /// This VM's part in its zone.
    fn position(&self) -> Position {
        let config = &self.node.config;
        let node = &self.node;
        let proofs = [node.operators.proven_at(), node.directory.proven_at()];
        let inner = self.lock();
        Position {
            has_views: proofs.iter().all(Option::is_some),
            level: inner.peers.level(),
            capacity: config.capacity,
            leader: inner.leader.clone(),
            vms: u32::try_from(inner.zone_vms(&config.zone)).unwrap_or(u32::MAX),
        }
    }

    /// What this VM's view proves to another one: the reader's to all, and a leader's to its group. While
    /// endpoints register by the dozen, every read finds something new, and VMs that all sent each other proofs
    /// would make each other read without end.
    fn proofs(&self, node: u64, audience: Audience) -> Proofs {
        let serves = match audience {
            Audience::Group => self.serves_group(),
            Audience::Leaders => self.is_zone_reader(),
            Audience::Remote => false,
        };
        if !serves {
            return Proofs::default();
        }
        Proofs {
            operators: self.node.operators.proof(node),
            endpoints: self.node.directory.proof(node),
            poison: self.node.blocklist.proof(node),
        }
    }
}
