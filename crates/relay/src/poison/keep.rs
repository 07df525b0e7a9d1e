//! Writes bars to the log, and takes off those that have run out.

use std::time::Duration;

use bytes::Bytes;
use pimento_units::Digest;
use tokio_util::sync::CancellationToken;

use super::Change;
use super::bars;
use crate::boot;
use crate::calls::Reason;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::topic::Log;
use crate::topic::Topic;

/// How often bars are looked through for those that have run out.
const LOOK: Duration = Duration::from_secs(1);

/// A call of the log takes at most this long.
const CALL: Duration = Duration::from_secs(1);

/// The pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(500);

/// Starts to write.
pub fn start<P: HeaderCodec + Codec, L: Log>(node: &Node<P, L>, log: L, token: CancellationToken) {
    let node = node.clone();
    tokio::spawn(async move { token.run_until_cancelled(run(node, log)).await });
}

async fn run<P: HeaderCodec + Codec, L: Log>(node: Node<P, L>, log: L) {
    loop {
        tokio::select! {
            () = node.poison.unsaid.notified() => {}
            () = tokio::time::sleep(LOOK) => lapse(&node),
        }
        while let Some((digest, change)) = next(&node) {
            if !write(&node, &log, digest, change).await {
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Ends the bars that have run out. The VM that reads the log for its zone takes off it what is needless.
fn lapse<P: HeaderCodec + Codec, L: Log>(node: &Node<P, L>) {
    let now = boot::now();
    let mut state = node.poison.lock();
    for digest in state.table.lapse(now) {
        log::info!(digest:%; "poison: The bar has run out.");
    }
    if node.reads_log() {
        let cleared = |digest| state.table.clears(digest, now);
        for digest in node.blocks.view(|bars| bars.needless(cleared, now)) {
            state.say(digest, Change::Drop);
        }
    }
}

/// The next change that is still to be written.
fn next<P: HeaderCodec + Codec, L: Log>(node: &Node<P, L>) -> Option<(Digest, Change)> {
    let now = boot::now();
    let state = &mut *node.poison.lock();
    let table = &state.table;
    node.blocks.view(|bars| {
        state.unsaid.retain(|(digest, change)| match change {
            Change::Bar(_) => !bars.holds(*digest) && table.barred(*digest, now).is_some(),
            Change::Drop => bars.holds(*digest),
        });
    });
    state.unsaid.first().copied()
}

/// Writes a change; whether it is known to be written.
async fn write<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    log: &L,
    digest: Digest,
    change: Change,
) -> bool {
    let done = || {
        let mut state = node.poison.lock();
        state.unsaid.retain(|known| *known != (digest, change));
        true
    };
    let value = match change {
        Change::Drop => Ok(Bytes::new()),
        Change::Bar(lasts) => bars::write(lasts),
    };
    let value = match value {
        Ok(value) => value,
        Err(error) => {
            log::error!("poison: A bar can't be written: {error}.");
            return done();
        }
    };
    node.calls.count(Topic::Poison, Reason::Word);
    let key = digest.to_string();
    let append = log.append(Topic::Poison, &key, value, None);
    let problem = match tokio::time::timeout(CALL, append).await {
        Ok(Ok(_)) => return done(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer in time".into(),
    };
    log::warn!(digest:%, problem:%; "poison: Not known to be written.");
    false
}
