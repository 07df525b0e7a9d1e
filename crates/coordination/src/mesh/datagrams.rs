//! Heartbeats by UDP.

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
use super::table::News;
use super::table::Peer;

/// Peers of the own zone that get each heartbeat.
const NEAR: usize = 2;
/// Peers of other zones that get each heartbeat. Links between zones cost more.
const FAR: usize = 1;
/// Addresses that are not those of live peers and get each heartbeat too; this is how cut-off
/// nodes find each other again.
const QUIET: usize = 1;
/// The same while fewer than [`NEAR`] + [`FAR`] peers are live, so that a new node finds peers soon.
const JOIN: usize = 8;
/// Departures in one heartbeat.
const DEPARTURES: usize = 8;
/// Words of requests under which endpoints end in one heartbeat.
const SUSPICIONS: usize = 6;
/// Nodes that a heartbeat passes on word of. A zone of the target size has 50.
const HEARD: usize = 64;

/// Pause after an error of receiving, so that one that stays does not take a whole core.
const PAUSE: Duration = Duration::from_millis(10);

/// Starts sender and receiver.
pub(super) fn start(shared: &Arc<Shared>, token: &CancellationToken) {
    let sender = Sender {
        shared: Arc::clone(shared),
        sequence: Arc::new(std::sync::atomic::AtomicU64::new(first())),
    };
    let receiver = sender.clone();
    let send = token.clone();
    tokio::spawn(async move { send.run_until_cancelled(sender.run()).await });
    let receive = token.clone();
    tokio::spawn(async move { receive.run_until_cancelled(receiver.receive()).await });
}

/// The first sequence number: the wall clock in milliseconds, so that a node which starts again
/// under its old name is not taken for late datagrams of its former life.
fn first() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or(Duration::ZERO).as_millis();
    u64::try_from(millis).unwrap_or(0)
}

#[derive(Clone)]
struct Sender {
    shared: Arc<Shared>,
    sequence: Arc<std::sync::atomic::AtomicU64>,
}

impl Sender {
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
        let (near, far): (Vec<Peer>, Vec<Peer>) =
            table.live(now).into_iter().partition(|p| &p.zone == zone);
        let quiet = table.quiet(now);
        let few = near.len() + far.len() < NEAR + FAR;
        let mut rng = rand::rng();
        let mut targets = Vec::new();
        let near = near.sample(&mut rng, NEAR + FAR - FAR.min(far.len()));
        targets.extend(near.map(|p| p.address));
        let missing = NEAR + FAR - targets.len();
        targets.extend(far.sample(&mut rng, missing).map(|p| p.address));
        let quiet = quiet.sample(&mut rng, if few { JOIN } else { QUIET });
        targets.extend(quiet.copied());
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
            Err(error) => return log::error!("mesh: no heartbeat: {error}"),
        };
        for target in targets {
            // A datagram may be lost on its way as well; the next one is a second off.
            if let Err(error) = self.shared.socket.send_to(frame.bytes(), target).await {
                log::debug!("mesh: heartbeat to {target} not sent: {error}");
            }
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        let shared = &self.shared;
        let departures = lock(&shared.departures).pick(DEPARTURES);
        let suspicions = lock(&shared.suspicions).pick(SUSPICIONS);
        let heard = lock(&shared.table).digest(&shared.settings.zone, HEARD, Instant::now());
        let own = lock(&shared.own).clone();
        let current = own.fresh.map(|fresh| Current {
            at: fresh.at,
            age_ms: Span::from(fresh.since.elapsed()).millis(),
        });
        let order = std::sync::atomic::Ordering::Relaxed;
        Heartbeat {
            node: shared.settings.node.clone(),
            zone: shared.settings.zone.clone(),
            address: shared.address.to_compact_string(),
            sequence: self.sequence.fetch_add(1, order),
            offset: own.offset,
            current,
            tailing: own.tailing,
            leaving: own.leaving,
            departures,
            quarantined: own.quarantined,
            last_seen: heard,
            suspicions,
        }
    }

    /// Seals a heartbeat, leaving out what does not fit into a datagram.
    fn seal(&self, mut beat: Heartbeat) -> Result<Frame, Error> {
        loop {
            let result = Frame::seal(&beat, &self.shared.settings.key, MAX_DATAGRAM);
            if !matches!(result, Err(Error::Size { .. })) || !shorten(&mut beat) {
                return result;
            }
        }
    }

    async fn receive(self) {
        // One byte more than allowed, so that a longer datagram is seen as such and not cut.
        let mut buffer = vec![0; MAX_DATAGRAM + 1];
        loop {
            let received = self.shared.socket.recv_from(&mut buffer).await;
            let Ok((length, _)) = received else {
                // The error is that of an earlier sending to a closed port; receiving goes on.
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            match self.open(&buffer[..length]) {
                Ok(beat) => self.hear(beat).await,
                Err(error) => self.shared.drops.add(&error),
            }
        }
    }

    fn open(&self, bytes: &[u8]) -> Result<Heartbeat, Error> {
        Frame::receive(bytes.to_vec(), MAX_DATAGRAM)?.open(&self.shared.settings.key)
    }

    async fn hear(&self, beat: Heartbeat) {
        let now = Instant::now();
        let news = {
            let mut table = lock(&self.shared.table);
            let news = table.hear(&beat, now);
            if news != News::Old {
                table.hear_of(&beat.last_seen, now);
            }
            news
        };
        self.shared.learn(beat.departures, beat.suspicions);
        self.shared.wake();
        // A node that was not known is answered at once, so that a new one has peers without
        // waiting to be drawn by chance. It ends there: the answer's receiver is known by then.
        if news == News::New
            && let Ok(address) = beat.address.parse()
        {
            self.send(&[address]).await;
        }
    }
}

/// Drops half of what matters least; false if nothing is left to drop. Departures go last, since a
/// missed one sends work to an endpoint that shuts down.
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
