//! The other entry VMs that are known, and who reads the log for whom in a zone.
//!
//! The VMs of a zone form groups ([`groups`](super::groups)), each with a leader. One of the leaders reads the
//! log for the others, and each leader passes on to its group what it got.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use pimento_policy::choice;
use pimento_scheduler::Participants;
use pimento_units::Moment;
use pimento_units::id;

use super::groups::GroupId;
use super::groups::Level;
use super::peer::LIVENESS_TIMEOUT;
use super::peer::Peer;
use super::peer::ReaderStatus;
use crate::capacity::Capacity;
use crate::follow::ReadRole;
use crate::links::helpers::Helper;
use crate::links::helpers::Standing;
use crate::zone::LogState;

/// How often a leader looks for the leader of another group, and how many VMs of that group it then asks.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(400);
const PROBES: usize = 3;

/// How long the datagrams to another zone go to the same VM there, before the next one gets them.
pub const ROTATION_INTERVAL: Duration = Duration::from_secs(2);

/// A VM that was not seen for this long is forgotten. In a zone of fifty VMs each VM of another zone is
/// seen every 100 seconds. Until then it still gets datagrams: it may only be cut off or suspended, and may
/// think the same of this VM.
const FORGET_TIMEOUT: Duration = Duration::from_mins(5);

/// If the log is unreachable for this many VMs of a zone, it may be out for all of them.
const MANY_UNREACHABLE: usize = 3;

/// A VM that may read the log for others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The VM.
    pub node: id::Node,
    /// Whether it can.
    pub status: ReaderStatus,
    /// What it can do for others.
    pub capacity: Capacity,
}

impl Candidate {
    /// The order of preference, lowest first.
    fn rank(&self) -> (ReaderStatus, Reverse<Capacity>, &id::Node) {
        (self.status, Reverse(self.capacity), &self.node)
    }
}

/// This VM's part in reading the log for its zone. By default it is alone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Assignment {
    /// This VM's role.
    pub read_role: ReadRole,
    /// The VM that reads for this one or passes on what it got; none if this one reads itself.
    pub reader: Option<SocketAddr>,
    /// The leader of this VM's group; none if it is this one.
    pub leader: Option<(id::Node, SocketAddr)>,
    /// The VMs that can serve a whole view to this one.
    pub sources: Vec<SocketAddr>,
    /// Whether the log answers the VMs of the zone.
    pub state: LogState,
}

/// VMs that forward to those with whom this VM has no contact.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RemoteTargets {
    /// One VM of each other zone.
    pub zones: Vec<SocketAddr>,
    /// One VM of each other group of this VM's zone.
    pub groups: Vec<SocketAddr>,
}

/// All other VMs, sorted by name.
#[derive(Debug, Default)]
pub struct Peers {
    peers: Vec<Peer>,
    /// How finely this VM's zone is divided.
    level: Level,
}

/// The best of `peers` if it comes before `own`.
fn best<'a>(peers: &[&'a Peer], own: &Candidate) -> Option<&'a Peer> {
    let best = peers
        .iter()
        .copied()
        .min_by(|one, other| one.rank().cmp(&other.rank()));
    best.filter(|peer| peer.rank() < own.rank())
}

impl Peers {
    /// Adds or updates a VM. Returns true if that may change who reads the log.
    pub fn update(&mut self, peer: Peer, now: Moment) -> bool {
        match self.peers.binary_search_by(|p| p.node.cmp(&peer.node)) {
            Ok(place) => {
                let known = &self.peers[place];
                if peer.last_datagram.is_none() && known.last_datagram.is_some() {
                    return false;
                }
                let part = |peer: &Peer| {
                    (
                        peer.is_alive(now),
                        peer.status,
                        peer.leads,
                        peer.has_views,
                        peer.capacity,
                    )
                };
                let changed = part(known) != part(&peer);
                self.peers[place] = peer;
                changed
            }
            Err(place) => {
                log::debug!("neighbours: Discovered {} in {}.", peer.node, peer.zone);
                let alive = peer.is_alive(now);
                self.peers.insert(place, peer);
                alive
            }
        }
    }

    /// Forgets the VMs that were not seen for long.
    pub fn remove_expired(&mut self, now: Moment) {
        self.peers
            .retain(|peer| now.since(peer.last_seen) < FORGET_TIMEOUT);
    }

    /// The number of VMs of a zone that are known.
    #[must_use]
    pub fn count_in(&self, zone: &id::Zone) -> usize {
        self.peers.iter().filter(|peer| peer.zone == *zone).count()
    }

    /// The VMs through which this one may reach endpoints, at this port: those that are not known to have
    /// lost their links or to be leaving. Of large other zones only some VMs are known, few of which are heard.
    #[must_use]
    pub fn helpers(&self, port: u16, now: Moment) -> Vec<Helper> {
        let helps = |peer: &&Peer| {
            let stays = peer.status != ReaderStatus::Leaving;
            stays && peer.links.is_none_or(|links| !links.down)
        };
        let standing = |peer: &Peer| match peer.links {
            Some(_) if peer.is_alive(now) && peer.reaches_endpoints(now) => Standing::Reaches,
            Some(_) => Standing::Reported,
            None => Standing::Unknown,
        };
        let peers = self.peers.iter().filter(helps);
        let helpers = peers.map(|peer| Helper {
            address: SocketAddr::new(peer.address.ip(), port),
            zone: peer.zone.clone(),
            standing: standing(peer),
        });
        helpers.collect()
    }

    /// Whether a VM sent a datagram not long ago.
    #[must_use]
    pub fn is_alive(&self, node: &id::Node, now: Moment) -> bool {
        let found = self.peers.binary_search_by(|peer| peer.node.cmp(node));
        found.is_ok_and(|place| self.peers[place].is_alive(now))
    }

    /// Adds a VM that another one named, unless it is known.
    pub fn add_contact(
        &mut self,
        node: &id::Node,
        zone: &id::Zone,
        address: SocketAddr,
        now: Moment,
    ) {
        if let Err(place) = self.peers.binary_search_by(|peer| peer.node.cmp(node)) {
            let peer = Peer::discovered(node.clone(), zone.clone(), address, now);
            self.peers.insert(place, peer);
        }
    }

    /// Records that `node` was named as the leader of a group by another VM. `own` is this VM.
    pub fn name_leader(
        &mut self,
        node: &id::Node,
        zone: &id::Zone,
        address: SocketAddr,
        own: &id::Node,
        now: Moment,
    ) {
        if node == own {
            return;
        }
        match self.peers.binary_search_by(|peer| peer.node.cmp(node)) {
            Ok(place) if self.peers[place].is_alive(now) => {}
            Ok(place) => self.peers[place].leads = true,
            Err(place) => {
                let peer = Peer::discovered(node.clone(), zone.clone(), address, now)
                    .with_position(Capacity::default(), true);
                self.peers.insert(place, peer);
            }
        }
    }

    /// The VMs that share the limits of endpoints. The share of a VM of this zone that sends no datagrams
    /// any more goes to the others. A VM that receives none at all, though others are known, may itself
    /// be cut off, and takes over no share. Nor does one that has just started, from VMs whose first
    /// datagrams it still expects. Datagrams from other zones are too rare to tell which VMs there are alive.
    #[must_use]
    pub fn limit_participants(&self, own: &id::Node, zone: &id::Zone, now: Moment) -> Participants {
        // VMs of other groups send no datagrams to this one either.
        let group = self.level.group_of(own);
        let local = |peer: &&Peer| peer.zone == *zone && self.level.group(peer.key) == group;
        let alone = !self
            .peers
            .iter()
            .filter(local)
            .any(|peer| peer.is_alive(now));
        let shares = |peer: &&Peer| {
            let stays = peer.status != ReaderStatus::Leaving;
            let heard_of = now.since(peer.last_seen) < LIVENESS_TIMEOUT;
            stays && (!local(peer) || alone || heard_of)
        };
        let mut zones = vec![(zone.clone(), vec![choice::hash(own.as_str())])];
        for peer in self.peers.iter().filter(shares) {
            match zones.iter_mut().find(|(known, _)| *known == peer.zone) {
                Some((_, vms)) => vms.push(peer.key),
                None => zones.push((peer.zone.clone(), vec![peer.key])),
            }
        }
        Participants::new(choice::hash(own.as_str()), zones)
    }

    /// How finely this VM's zone is divided.
    #[must_use]
    pub const fn level(&self) -> Level {
        self.level
    }

    /// Divides the zone at least as finely as another VM does. It is never divided more coarsely again: VMs that
    /// disagree would hear from fewer others.
    pub fn raise_level(&mut self, level: Level) {
        if level > self.level {
            log::info!("neighbours: The zone has {} groups of VMs.", level.groups());
            self.level = level;
        }
    }

    /// The VMs of the zone that are in the same group as `own`.
    #[must_use]
    pub fn group(&self, own: &id::Node, zone: &id::Zone) -> Vec<Peer> {
        let group = self.level.group_of(own);
        let same = |peer: &&Peer| peer.zone == *zone && self.level.group(peer.key) == group;
        self.peers.iter().filter(same).cloned().collect()
    }

    /// The leaders of the zone's other groups that are alive.
    #[must_use]
    pub fn leaders(&self, own: &id::Node, zone: &id::Zone, now: Moment) -> Vec<Peer> {
        let group = self.level.group_of(own);
        let leads = |peer: &&Peer| {
            let other = peer.zone == *zone && self.level.group(peer.key) != group;
            other && peer.leads && peer.is_alive(now)
        };
        self.peers.iter().filter(leads).cloned().collect()
    }

    /// VMs of the zone's groups whose leader is unknown, from which a leader can learn of it: the one that was
    /// named last as the leader, and some others in turn, because it may be down.
    #[must_use]
    pub fn probe_targets(&self, own: &id::Node, zone: &id::Zone, now: Moment) -> Vec<Peer> {
        let own_group = self.level.group_of(own);
        let known: Vec<GroupId> = self
            .leaders(own, zone, now)
            .iter()
            .map(|leader| self.level.group(leader.key))
            .collect();
        let turn = now.since(Moment::ZERO).as_millis() / PROBE_INTERVAL.as_millis();
        let turn = usize::try_from(turn).unwrap_or_default();
        let mut targets = Vec::new();
        for group in self.level.all() {
            if group == own_group || known.contains(&group) {
                continue;
            }
            let of_group = |peer: &&Peer| peer.zone == *zone && self.level.group(peer.key) == group;
            let peers: Vec<&Peer> = self.peers.iter().filter(of_group).collect();
            let named = peers.iter().filter(|peer| peer.leads).copied();
            let in_turn = (0..PROBES.min(peers.len())).map(|step| {
                let place = turn.wrapping_mul(PROBES).wrapping_add(step);
                peers[place % peers.len()]
            });
            targets.extend(named.take(1).chain(in_turn).cloned());
        }
        targets
    }

    /// Who reads the log for this VM, `own`: of the VMs of its group that are alive, the best one by status,
    /// capacity and name leads the group, and of the leaders the best one reads for all. If none is eligible,
    /// the one chosen goes on trying, and the others learn from it that the log is reachable again.
    #[must_use]
    pub fn assignment(&self, own: &Candidate, zone: &id::Zone, now: Moment) -> Assignment {
        let alive = |peer: &&Peer| peer.zone == *zone && peer.is_alive(now);
        let own_group = self.level.group_of(&own.node);
        let (group, others): (Vec<&Peer>, Vec<&Peer>) = self
            .peers
            .iter()
            .filter(alive)
            .partition(|peer| self.level.group(peer.key) == own_group);
        let leaders: Vec<&Peer> = others.into_iter().filter(|peer| peer.leads).collect();
        let leader = best(&group, own);
        let leads = leader.is_none();
        let reader = leader.or_else(|| best(&leaders, own));
        let heard: Vec<&Peer> = group.iter().chain(&leaders).copied().collect();
        if heard.is_empty() {
            return Assignment::default();
        }
        let status = reader.map_or(own.status, |peer| peer.status);
        let unreachable = |status: ReaderStatus| status == ReaderStatus::Unreachable;
        let refused = heard.iter().filter(|peer| unreachable(peer.status)).count();
        // A group's other VMs leave the leaders to the one that leads it.
        let serving = if leads { &heard } else { &group };
        Assignment {
            read_role: reader.map_or(ReadRole::Reader, |_| ReadRole::Served),
            reader: reader.map(|peer| peer.address),
            leader: leader.map(|peer| (peer.node.clone(), peer.address)),
            sources: serving
                .iter()
                .filter(|peer| peer.has_views)
                .map(|peer| peer.address)
                .collect(),
            state: LogState {
                no_eligible_reader: status != ReaderStatus::Eligible,
                outage_suspected: refused + usize::from(unreachable(own.status))
                    >= MANY_UNREACHABLE,
                grouped: self.level.is_divided(),
            },
        }
    }

    /// One VM of each other zone, and one of each other group of this VM's zone, rotating among the VMs there:
    /// one that is down loses only some of the datagrams, and in time each VM receives some from all others. Each
    /// has its turn for `interval`.
    #[must_use]
    pub fn remote_targets(
        &self,
        own: &id::Node,
        zone: &id::Zone,
        interval: Duration,
        now: Moment,
    ) -> RemoteTargets {
        let turn = now.since(Moment::ZERO).as_millis() / interval.as_millis().max(1);
        let turn = u64::try_from(turn).unwrap_or_default();
        let own_group = self.level.group_of(own);
        let mut places: Vec<((&id::Zone, GroupId), SocketAddr)> = Vec::new();
        for peer in &self.peers {
            let local = peer.zone == *zone;
            let group = if local {
                self.level.group(peer.key)
            } else {
                GroupId::default()
            };
            if !local || group != own_group {
                places.push(((&peer.zone, group), peer.address));
            }
        }
        places.sort_unstable();
        let mut targets = RemoteTargets::default();
        for place in places.chunk_by(|one, other| one.0 == other.0) {
            let count = u64::try_from(place.len()).unwrap_or(u64::MAX);
            let index = usize::try_from(turn % count).unwrap_or_default();
            let ((of_zone, _), address) = place[index];
            if of_zone == zone {
                targets.groups.push(address);
            } else {
                targets.zones.push(address);
            }
        }
        targets
    }
}
