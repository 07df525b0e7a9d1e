//! What keeps the configuration current: publishing, pulling, pushing, checkpoints.

use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_contract::change::Checkpoint;
use pimento_contract::change::Entry;
use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_wire::peer::Answer;
use pimento_wire::peer::Call;
use rand::RngExt;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::ReadMode;
use super::Shared;
use crate::appender::Appender;
use crate::mesh::Freshness;
use crate::mesh::Mesh;
use crate::mesh::Peer;
use crate::mesh::Role;

/// Time between looks at ages, which change without an event.
const TICK: Duration = Duration::from_secs(1);
/// How long an append of a checkpoint is tried. The next look tries again.
const APPEND: Duration = Duration::from_secs(10);

/// Starts the tasks; they end with `token`.
pub(super) fn start(
    shared: &Arc<Shared>,
    appender: Appender,
    gate: watch::Sender<bool>,
    token: CancellationToken,
) {
    let writer = Arc::clone(shared);
    let ending = token.clone();
    tokio::spawn(async move {
        ending
            .run_until_cancelled(writer.checkpoints(appender))
            .await
    });
    if let Some(mesh) = &shared.mesh {
        let puller = Arc::clone(shared);
        let ending = token.clone();
        let from = mesh.clone();
        tokio::spawn(async move { ending.run_until_cancelled(puller.pull(from)).await });
        let pusher = Arc::clone(shared);
        let ending = token.clone();
        let to = mesh.clone();
        tokio::spawn(async move { ending.run_until_cancelled(pusher.push(to)).await });
    }
    let keeper = Arc::clone(shared);
    tokio::spawn(async move { token.run_until_cancelled(keeper.keep(gate)).await });
}

impl Shared {
    /// Publishes newer states, reckons their age and decides who reads the log.
    async fn keep(self: Arc<Self>, gate: watch::Sender<bool>) {
        let mut records = self.follower.subscribe();
        let mut peers = self.mesh.as_ref().map(Mesh::subscribe);
        loop {
            self.publish();
            self.reckon();
            gate.send_if_modified(|open| {
                let wanted = self.reads();
                std::mem::replace(open, wanted) != wanted
            });
            tokio::select! {
                _ = records.changed() => {}
                () = heard(peers.as_mut()) => {}
                () = tokio::time::sleep(TICK) => {}
            }
        }
    }

    fn publish(&self) {
        let offset = self.published.borrow().offset;
        let newer = self.follower.view(|fold| {
            let newer = fold.state().offset > offset;
            newer.then(|| Arc::new(fold.state().clone()))
        });
        if let Some(state) = newer {
            self.published.send_replace(state);
        }
    }

    /// Finds until when the published state is known to be current, and tells peers.
    fn reckon(&self) {
        let offset = self.published.borrow().offset;
        let own = self.own_word(offset);
        let words = own.into_iter().chain(self.words(offset));
        let freshness = words.chain(self.freshness()).reduce(Freshness::later);
        *self
            .freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = freshness;
        if let Some(mesh) = &self.mesh {
            let caught_up = self.follower.caught_up();
            mesh.update_status(|own| {
                own.offset = offset;
                own.freshness = freshness;
                own.reads_log = caught_up;
            });
        }
    }

    /// What this node read itself. While records are missing it reads on past its state, and what
    /// it reads says nothing of that.
    fn own_word(&self, offset: Offset) -> Option<Freshness> {
        let (at, since) = self.follower.last_complete_read()?;
        (self.follower.next() <= offset).then_some(Freshness { at, since })
    }

    /// What peers say of states that are not newer than ours.
    fn words(&self, offset: Offset) -> Vec<Freshness> {
        // A node that reads the log waits for its own first read: a peer that was cut off for an
        // hour would otherwise make it ready with an old state a moment before the log's answer.
        if self.reads() && !self.follower.attempted() {
            return Vec::new();
        }
        let not_newer = |peer: &Peer| peer.offset <= offset;
        let peers = self.mesh.as_ref().map(Mesh::peers).unwrap_or_default();
        let words = peers.into_iter().filter(not_newer);
        words.filter_map(|peer| peer.freshness).collect()
    }

    /// Whether this node reads the log now.
    fn reads(&self) -> bool {
        let Some(mesh) = &self.mesh else {
            return true;
        };
        if self.config.0.read_mode == ReadMode::Always || mesh.elected(Role::Reader) == *mesh.node()
        {
            return true;
        }
        let since = self
            .freshness()
            .map_or(self.started, |freshness| freshness.since);
        since.elapsed() >= self.config.0.max_age
    }

    /// Pulls what a peer has and this node lacks.
    async fn pull(self: Arc<Self>, mesh: Mesh) {
        let mut changed = mesh.subscribe();
        loop {
            if changed.changed().await.is_err() {
                return;
            }
            let offset = self.follower.view(|fold| fold.state().offset);
            let ahead = mesh.peers().into_iter().filter(|p| p.offset > offset);
            let Some(peer) = ahead.max_by_key(|p| p.offset) else {
                continue;
            };
            match mesh.call(&peer, Call::Pull { offset }).await {
                Ok(Answer::Records { records }) => {
                    self.follower.update(|fold| fold.take(&records));
                }
                Ok(Answer::State { checkpoint }) => {
                    self.follower.update(|fold| fold.adopt(&checkpoint));
                }
                Ok(_) => {}
                Err(error) => log::debug!("configuration: nothing from {}: {error}", peer.node),
            }
        }
    }

    /// Pushes new records to the zone's nodes, if this node reads the log for them.
    async fn push(self: Arc<Self>, mesh: Mesh) {
        let mut states = self.published.subscribe();
        let mut offset = states.borrow_and_update().offset;
        while states.changed().await.is_ok() {
            let before = offset;
            offset = states.borrow_and_update().offset;
            let others = self.config.0.read_mode == ReadMode::Elected;
            if !others || mesh.elected(Role::Reader) != *mesh.node() {
                continue;
            }
            let missing = self.follower.view(|fold| fold.since(before));
            if let Answer::Records { records } = missing {
                self.push_all(&mesh, &records).await;
            }
        }
    }

    async fn push_all(&self, mesh: &Mesh, records: &[(Offset, String)]) {
        let zone = mesh.zone();
        let near = mesh.peers().into_iter().filter(|p| &p.zone == zone);
        let calls = near.map(|peer| {
            let records = records.to_vec();
            async move {
                // A peer that misses this pulls it after the next heartbeat.
                if let Err(error) = mesh.call(&peer, Call::Push { records }).await {
                    log::debug!("configuration: nothing to {}: {error}", peer.node);
                }
            }
        });
        futures::future::join_all(calls).await;
    }

    /// Writes checkpoints when they are due.
    async fn checkpoints(self: Arc<Self>, appender: Appender) {
        let mut records = self.follower.subscribe();
        loop {
            if self.due() {
                let wait = self
                    .config
                    .0
                    .checkpoint_jitter
                    .mul_f64(rand::rng().random_range(0.0..=1.0));
                tokio::time::sleep(wait).await;
                if self.due() {
                    self.write(&appender).await;
                }
            }
            tokio::select! {
                _ = records.changed() => {}
                () = tokio::time::sleep(TICK) => {}
            }
        }
    }

    fn due(&self) -> bool {
        let Some((now, _)) = self.follower.last_complete_read() else {
            return false;
        };
        if !self.follower.caught_up() {
            return false;
        }
        self.follower.view(|fold| {
            if fold.lapsed() || fold.state().items().is_empty() {
                return false;
            }
            let (changes, last) = fold.since_checkpoint();
            let old = last.is_none_or(|last| now.since(last) >= self.config.0.checkpoint_interval);
            changes >= self.config.0.checkpoint_changes || old
        })
    }

    async fn write(&self, appender: &Appender) {
        let checkpoint = self.follower.view(|fold| Checkpoint::of(fold.state()));
        let offset = checkpoint.offset;
        let Ok(record) = serde_json::to_string(&Entry::Checkpoint(checkpoint)) else {
            return;
        };
        let deadline = Instant::now() + APPEND;
        match appender
            .append(Stream::Configuration, record, deadline)
            .await
        {
            Ok(_) => log::info!("configuration: checkpoint of {offset} written"),
            Err(error) => log::warn!("configuration: checkpoint of {offset} not written: {error}"),
        }
    }
}

async fn heard(peers: Option<&mut watch::Receiver<u64>>) {
    let Some(changed) = peers else {
        return std::future::pending::<()>().await;
    };
    if changed.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
