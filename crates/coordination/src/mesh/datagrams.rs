//! Heartbeats over UDP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use compact_str::ToCompactString;
use pimento_units::Span;
use pimento_wire::Frame;
use pimento_wire::frame::Error;
use pimento_wire::frame::MAX_DATAGRAM;
use pimento_wire::peer::Current;
use pimento_wire::peer::Heartbeat;
use rand::seq::IndexedRandom;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use super::Shared;
use super::lock;
use super::table::Peer;
use super::table::Update;

/// Number of live peers of the same zone that each heartbeat is sent to. If one of the two groups has too
/// few peers, the heartbeat is sent to more of the other group.
const LOCAL_FANOUT: usize = 2;
/// Number of live peers of other zones that each heartbeat is sent to. Links between zones cost more.
const REMOTE_FANOUT: usize = 1;
/// Number of addresses without a live peer that each heartbeat is sent to. This lets nodes find each
/// other again after a network partition.
const SILENT_FANOUT: usize = 1;
/// Replaces [`SILENT_FANOUT`] while fewer than [`LOCAL_FANOUT`] + [`REMOTE_FANOUT`] peers are live, so
/// that a new node finds peers soon.
const JOIN_FANOUT: usize = 8;
/// The largest number of departures in one heartbeat.
const MAX_DEPARTURES: usize = 8;
/// The largest number of suspicions in one heartbeat, each about a request during which endpoints
/// crash.
const MAX_SUSPICIONS: usize = 6;
/// The largest number of other nodes whose latest heartbeat is reported in one heartbeat. A zone of the
/// target size has 50.
const MAX_LAST_SEEN: usize = 64;

/// Delay after a receive error, so that a lasting error does not occupy a whole core.
const ERROR_DELAY: Duration = Duration::from_millis(10);

/// Starts to send and receive heartbeats until `token` is cancelled.
pub(super) fn start(shared: &Arc<Shared>, token: &CancellationToken) {
    let sender = Heartbeats {
        shared: Arc::clone(shared),
        sequence: Arc::new(std::sync::atomic::AtomicU64::new(first_sequence())),
    };
    let receiver = sender.clone();
    let send = token.clone();
    tokio::spawn(async move { send.run_until_cancelled(sender.run()).await });
    let receive = token.clone();
    tokio::spawn(async move { receive.run_until_cancelled(receiver.receive()).await });
}

/// The first sequence number: the wall clock in milliseconds. The heartbeats of a node that restarts
/// under its old name are thus newer than those of its previous incarnation.
fn first_sequence() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or(Duration::ZERO).as_millis();
    u64::try_from(millis).unwrap_or(0)
}

#[derive(Clone)]
struct Heartbeats {
    shared: Arc<Shared>,
    sequence: Arc<std::sync::atomic::AtomicU64>,
}

impl Heartbeats {
    async fn run(self) {
        let mut ticks = tokio::time::interval(self.shared.settings.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let targets = self.targets();
            self.send(&targets).await;
        }
    }

    fn targets(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        let table = lock(&self.shared.table);
        let zone = &self.shared.settings.zone;
        let (local, remote): (Vec<Peer>, Vec<Peer>) =
            table.live(now).into_iter().partition(|p| &p.zone == zone);
        let silent = table.silent_addresses(now);
        let few = local.len() + remote.len() < LOCAL_FANOUT + REMOTE_FANOUT;
        let mut rng = rand::rng();
        let mut targets = Vec::new();
        let local = local.sample(
            &mut rng,
            LOCAL_FANOUT + REMOTE_FANOUT - REMOTE_FANOUT.min(remote.len()),
        );
        targets.extend(local.map(|p| p.address));
        let missing = LOCAL_FANOUT + REMOTE_FANOUT - targets.len();
        targets.extend(remote.sample(&mut rng, missing).map(|p| p.address));
        let silent = silent.sample(&mut rng, if few { JOIN_FANOUT } else { SILENT_FANOUT });
        targets.extend(silent.copied());
        targets.retain(|target| *target != self.shared.address);
        targets
    }

    async fn send(&self, targets: &[SocketAddr]) {
        if targets.is_empty() {
            return;
        }
        let beat = self.heartbeat();
        let frame = match self.seal(beat) {
            Ok(frame) => frame,
            Err(error) => return log::error!("mesh: failed to encode a heartbeat: {error}"),
        };
        for target in targets {
            // A failed send is like a datagram lost on the network; the next heartbeat follows soon.
            if let Err(error) = self.shared.socket.send_to(frame.bytes(), target).await {
                log::debug!("mesh: heartbeat to {target} not sent: {error}");
            }
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        let shared = &self.shared;
        let departures = lock(&shared.departures).select(MAX_DEPARTURES);
        let suspicions = lock(&shared.suspicions).select(MAX_SUSPICIONS);
        let last_seen =
            lock(&shared.table).last_seen(&shared.settings.zone, MAX_LAST_SEEN, Instant::now());
        let status = lock(&shared.status).clone();
        let current = status.freshness.map(|freshness| Current {
            at: freshness.at,
            age_ms: Span::from(freshness.local_at.elapsed()).millis(),
        });
        let ordering = std::sync::atomic::Ordering::Relaxed;
        Heartbeat {
            node: shared.settings.node.clone(),
            zone: shared.settings.zone.clone(),
            address: shared.address.to_compact_string(),
            sequence: self.sequence.fetch_add(1, ordering),
            offset: status.offset,
            current,
            tailing: status.reads_log,
            leaving: status.leaving,
            departures,
            quarantined: status.quarantined,
            last_seen,
            suspicions,
        }
    }

    /// Seals a heartbeat, without what does not fit into a datagram.
    fn seal(&self, mut beat: Heartbeat) -> Result<Frame, Error> {
        loop {
            let result = Frame::seal(&beat, &self.shared.settings.key, MAX_DATAGRAM);
            if !matches!(result, Err(Error::Size { .. })) || !shorten(&mut beat) {
                return result;
            }
        }
    }

    async fn receive(self) {
        // One byte more than allowed: a datagram that is too long is detected and not truncated.
        let mut buffer = vec![0; MAX_DATAGRAM + 1];
        loop {
            let received = self.shared.socket.recv_from(&mut buffer).await;
            let Ok((length, _)) = received else {
                // The error reports that an earlier datagram was sent to a closed port.
                tokio::time::sleep(ERROR_DELAY).await;
                continue;
            };
            match self.open(&buffer[..length]) {
                Ok(beat) => self.merge(beat).await,
                Err(error) => self.shared.drops.add(&error),
            }
        }
    }

    fn open(&self, bytes: &[u8]) -> Result<Heartbeat, Error> {
        Frame::receive(bytes.to_vec(), MAX_DATAGRAM)?.open(&self.shared.settings.key)
    }

    async fn merge(&self, beat: Heartbeat) {
        let now = Instant::now();
        let update = {
            let mut table = lock(&self.shared.table);
            let update = table.merge(&beat, now);
            if update != Update::Stale {
                table.merge_last_seen(&beat.last_seen, now);
            }
            update
        };
        self.shared.merge(beat.departures, beat.suspicions);
        self.shared.wake();
        // A new node gets a heartbeat back at once, so that it knows a peer before it is selected at
        // random. There are no further answers: the new node is known here by then.
        if update == Update::New
            && let Ok(address) = beat.address.parse()
        {
            self.send(&[address]).await;
        }
    }
}

/// Drops half of the least important items; false if no items are left. Departures are dropped last:
/// without them requests are sent to an endpoint that is shutting down.
fn shorten(beat: &mut Heartbeat) -> bool {
    if !beat.last_seen.is_empty() {
        beat.last_seen.truncate(beat.last_seen.len() / 2);
    } else if !beat.quarantined.is_empty() {
        beat.quarantined.truncate(beat.quarantined.len() / 2);
    } else if !beat.suspicions.is_empty() {
        beat.suspicions.truncate(beat.suspicions.len() / 2);
    } else if !beat.departures.is_empty() {
        beat.departures.truncate(beat.departures.len() / 2);
    } else {
        return false;
    }
    true
}
