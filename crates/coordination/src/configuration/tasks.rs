//! Tasks that keep the configuration current: they publish it, exchange it with peers, and write
//! checkpoints.

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
use crate::mesh::Duty;
use crate::mesh::Freshness;
use crate::mesh::Mesh;
use crate::mesh::Peer;

/// Interval between checks of ages, which change without an event.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for appending a checkpoint. The next check tries again.
const APPEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts the tasks; they run until `token` is cancelled.
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
            .run_until_cancelled(writer.write_checkpoints(appender))
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
    let publisher = Arc::clone(shared);
    tokio::spawn(async move {
        token
            .run_until_cancelled(publisher.publish_updates(gate))
            .await
    });
}

impl Shared {
    /// Publishes newer states and their freshness, and opens the gate while this node reads the log.
    async fn publish_updates(self: Arc<Self>, gate: watch::Sender<bool>) {
        let mut records = self.follower.subscribe();
        let mut peers = self.mesh.as_ref().map(Mesh::subscribe);
        loop {
            self.publish_state();
            self.publish_freshness();
            gate.send_if_modified(|open| {
                let wanted = self.reads_log();
                std::mem::replace(open, wanted) != wanted
            });
            tokio::select! {
                _ = records.changed() => {}
                () = peers_changed(peers.as_mut()) => {}
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
        }
    }

    fn publish_state(&self) {
        let offset = self.published.borrow().offset;
        let newer = self.follower.view(|fold| {
            let newer = fold.state().offset > offset;
            newer.then(|| Arc::new(fold.state().clone()))
        });
        if let Some(state) = newer {
            self.published.send_replace(state);
        }
    }

    /// Finds until when the published state is known to be current, and reports it to peers.
    fn publish_freshness(&self) {
        let offset = self.published.borrow().offset;
        let own = self.own_freshness(offset);
        let known = own.into_iter().chain(self.peer_freshness(offset));
        let freshness = known.chain(self.freshness()).reduce(Freshness::later);
        *self
            .freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = freshness;
        if let Some(mesh) = &self.mesh {
            let caught_up = self.follower.caught_up();
            mesh.update_status(|status| {
                status.offset = offset;
                status.freshness = freshness;
                status.reads_log = caught_up;
            });
        }
    }

    /// Freshness by this node's own reads. While records are missing, it reads beyond its state, and
    /// its reads do not show that the state is current.
    fn own_freshness(&self, offset: Offset) -> Option<Freshness> {
        let (at, since) = self.follower.last_complete_read()?;
        (self.follower.next_offset() <= offset).then_some(Freshness {
            at,
            local_at: since,
        })
    }

    /// Freshness that peers report of states that are not newer than this node's.
    fn peer_freshness(&self, offset: Offset) -> Vec<Freshness> {
        // A node that reads the log waits for its own first read. Otherwise a peer that was cut off
        // for an hour could make it ready with an old state just before the log answers.
        if self.reads_log() && !self.follower.attempted() {
            return Vec::new();
        }
        let not_newer = |peer: &Peer| peer.offset <= offset;
        let peers = self.mesh.as_ref().map(Mesh::peers).unwrap_or_default();
        let current = peers.into_iter().filter(not_newer);
        current.filter_map(|peer| peer.freshness).collect()
    }

    /// Whether this node reads the log now.
    fn reads_log(&self) -> bool {
        let Some(mesh) = &self.mesh else {
            return true;
        };
        if self.config.0.read_mode == ReadMode::Always
            || mesh.assigned(Duty::Reader) == *mesh.node()
        {
            return true;
        }
        let since = self
            .freshness()
            .map_or(self.started, |freshness| freshness.local_at);
        since.elapsed() >= self.config.0.max_age
    }

    /// Pulls records or a state from a peer that is ahead of this node.
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
                    self.follower.update(|fold| fold.apply_records(&records));
                }
                Ok(Answer::State { checkpoint }) => {
                    self.follower.update(|fold| fold.adopt(&checkpoint));
                }
                Ok(_) => {}
                Err(error) => log::debug!("configuration: pull from {} failed: {error}", peer.node),
            }
        }
    }

    /// Pushes new records to the nodes of the zone while this node is assigned to read the log for
    /// them.
    async fn push(self: Arc<Self>, mesh: Mesh) {
        let mut states = self.published.subscribe();
        let mut offset = states.borrow_and_update().offset;
        while states.changed().await.is_ok() {
            let before = offset;
            offset = states.borrow_and_update().offset;
            let assigned = self.config.0.read_mode == ReadMode::Assigned;
            if !assigned || mesh.assigned(Duty::Reader) != *mesh.node() {
                continue;
            }
            let missing = self.follower.view(|fold| fold.answer_pull(before));
            if let Answer::Records { records } = missing {
                self.push_to_zone(&mesh, &records).await;
            }
        }
    }

    async fn push_to_zone(&self, mesh: &Mesh, records: &[(Offset, String)]) {
        let zone = mesh.zone();
        let local = mesh.peers().into_iter().filter(|p| &p.zone == zone);
        let calls = local.map(|peer| {
            let records = records.to_vec();
            async move {
                // A peer that misses this push pulls the records after the next heartbeat.
                if let Err(error) = mesh.call(&peer, Call::Push { records }).await {
                    log::debug!("configuration: push to {} failed: {error}", peer.node);
                }
            }
        });
        futures::future::join_all(calls).await;
    }

    /// Writes checkpoints when they are due.
    async fn write_checkpoints(self: Arc<Self>, appender: Appender) {
        let mut records = self.follower.subscribe();
        loop {
            if self.checkpoint_due() {
                let wait = self
                    .config
                    .0
                    .checkpoint_jitter
                    .mul_f64(rand::rng().random_range(0.0..=1.0));
                tokio::time::sleep(wait).await;
                if self.checkpoint_due() {
                    self.write_checkpoint(&appender).await;
                }
            }
            tokio::select! {
                _ = records.changed() => {}
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
        }
    }

    fn checkpoint_due(&self) -> bool {
        let Some((now, _)) = self.follower.last_complete_read() else {
            return false;
        };
        if !self.follower.caught_up() {
            return false;
        }
        self.follower.view(|fold| {
            if fold.has_gap() || fold.state().items().is_empty() {
                return false;
            }
            let (changes, last) = fold.since_checkpoint();
            let old = last.is_none_or(|last| now.since(last) >= self.config.0.checkpoint_interval);
            changes >= self.config.0.checkpoint_changes || old
        })
    }

    async fn write_checkpoint(&self, appender: &Appender) {
        let checkpoint = self.follower.view(|fold| Checkpoint::of(fold.state()));
        let offset = checkpoint.offset;
        let Ok(record) = serde_json::to_string(&Entry::Checkpoint(checkpoint)) else {
            return;
        };
        let deadline = Instant::now() + APPEND_TIMEOUT;
        match appender
            .append(Stream::Configuration, record, deadline)
            .await
        {
            Ok(_) => log::info!("configuration: checkpoint of {offset} written"),
            Err(error) => log::warn!("configuration: checkpoint of {offset} not written: {error}"),
        }
    }
}

async fn peers_changed(peers: Option<&mut watch::Receiver<u64>>) {
    let Some(changed) = peers else {
        return std::future::pending::<()>().await;
    };
    if changed.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
