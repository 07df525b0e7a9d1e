//! Writes blocks to the log, and removes those that have expired.

use std::time::Duration;

use bytes::Bytes;
use tokio_util::sync::CancellationToken;

use super::Change;
use super::blocklist;
use super::blocklist::Subject;
use crate::boot;
use crate::calls::Reason;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::topic::Log;
use crate::topic::Topic;

/// How often blocks are checked for expiry.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// A call of the log takes at most this long.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Starts the writer.
pub fn start<P: HeaderCodec + Codec, L: Log>(node: &Node<P, L>, log: L, token: CancellationToken) {
    let node = node.clone();
    tokio::spawn(async move { token.run_until_cancelled(run(node, log)).await });
}

async fn run<P: HeaderCodec + Codec, L: Log>(node: Node<P, L>, log: L) {
    loop {
        tokio::select! {
            () = node.poison.writes_due.notified() => {}
            () = tokio::time::sleep(EXPIRY_INTERVAL) => expire_blocks(&node),
        }
        while let Some((subject, change)) = next_write(&node) {
            if !write(&node, &log, subject, change).await {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Ends the blocks that have expired. A VM that reads the log itself also removes obsolete blocks from
/// the log, and writes those that it lacks.
fn expire_blocks<P: HeaderCodec + Codec, L: Log>(node: &Node<P, L>) {
    let now = boot::now();
    let state = &mut *node.poison.lock();
    state.evaluate_parts(now);
    for digest in state.table.expire_blocks(now) {
        log::info!(digest:%; "poison: Block expired.");
    }
    if !node.reads_log() {
        return;
    }
    let cleared = |subject| match subject {
        Subject::Request(digest) => state.table.is_cleared(digest, now),
        Subject::Part(id) => state.parts.table.is_acquitted(id),
    };
    let obsolete = node.blocklist.view(|list| list.obsolete(cleared, now));
    let parts = state.parts.table.blocked(now);
    let parts = parts.map(|(id, left)| (Subject::Part(id), left));
    let requests = state.table.blocked(now);
    let requests = requests.map(|(digest, left)| (Subject::Request(digest), left));
    let blocked = parts.chain(requests);
    let missing = blocked.filter(|(subject, _)| !node.blocklist.view(|l| l.contains(*subject)));
    let missing: Vec<(Subject, Duration)> = missing.collect();
    for subject in obsolete {
        state.schedule_write(subject, Change::Unblock);
    }
    for (subject, left) in missing {
        state.schedule_write(subject, Change::Block(left));
    }
}

/// The next change to write. Drops changes that the log holds already, and blocks that are no longer
/// in force.
fn next_write<P: HeaderCodec + Codec, L: Log>(node: &Node<P, L>) -> Option<(Subject, Change)> {
    let now = boot::now();
    let state = &mut *node.poison.lock();
    let blocked_for = |subject: &Subject| match subject {
        Subject::Request(digest) => state.table.blocked_for(*digest, now),
        Subject::Part(id) => state.parts.table.blocked_for(*id, now),
    };
    node.blocklist.view(|blocklist| {
        state
            .pending_writes
            .retain(|(subject, change)| match change {
                Change::Block(_) => !blocklist.contains(*subject) && blocked_for(subject).is_some(),
                Change::Unblock => blocklist.contains(*subject),
            });
    });
    state.pending_writes.first().copied()
}

/// Writes a change. Returns true if nothing is left to do for it, because it is known to be written or can't
/// be encoded.
async fn write<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    log: &L,
    subject: Subject,
    change: Change,
) -> bool {
    let done = || {
        let mut state = node.poison.lock();
        state
            .pending_writes
            .retain(|known| *known != (subject, change));
        true
    };
    let value = match change {
        Change::Unblock => Ok(Bytes::new()),
        Change::Block(duration) => blocklist::encode(duration),
    };
    let value = match value {
        Ok(value) => value,
        Err(error) => {
            log::error!("poison: A block can't be encoded: {error}.");
            return done();
        }
    };
    node.calls.count(Topic::Poison, Reason::Announcement);
    let key = subject.to_string();
    let append = log.append(Topic::Poison, &key, value, None);
    let problem = match tokio::time::timeout(CALL_TIMEOUT, append).await {
        Ok(Ok(_)) => return done(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer in time".into(),
    };
    log::warn!(subject:%, problem:%; "poison: The change may not be on the log.");
    false
}
