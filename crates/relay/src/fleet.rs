//! What each entry VM says of itself on the topic that they share: one record for each VM, which
//! replaces its last.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

use crate::rollouts::announcement::NodeAnnouncement;
use crate::topic::Log;
use crate::topic::Record;
use crate::topic::Topic;

/// A call of the log takes at most this long.
const CALL: Duration = Duration::from_secs(1);

/// What a VM says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// Its zone.
    pub zone: id::Zone,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// How fast models read: seconds for a token, by the models' hashes. A VM that starts knows them
    /// from others; after a start of all VMs at once it would place prompts by guesses, just when
    /// callers come back all together.
    pub paces: Vec<(u64, f64)>,
    /// What it and the VMs that it reads the log for saw of roll-outs.
    pub rollouts: Vec<NodeAnnouncement>,
}

impl Word {
    /// Says it on the log; whether that is known to have succeeded.
    pub async fn say(&self, node: &id::Node, log: &impl Log) -> bool {
        let value = match postcard::to_stdvec(self) {
            Ok(value) => value,
            Err(error) => {
                log::error!("fleet: The word can't be written: {error}.");
                return false;
            }
        };
        let append = log.append(Topic::Fleet, node.as_str(), value.into(), None);
        match tokio::time::timeout(CALL, append).await {
            Ok(Ok(_)) => true,
            Ok(Err(error)) => {
                log::warn!("fleet: Not said: {error}.");
                false
            }
            Err(_) => {
                log::warn!("fleet: Not known to be said: no answer in time.");
                false
            }
        }
    }
}

/// Reads a VM's word; none if it can't be read.
#[must_use]
pub fn read(record: &Record) -> Option<(id::Node, Word)> {
    let value = record.value.as_ref()?;
    let Ok(node) = record.key.parse() else {
        log::warn!("fleet: {:?} names no VM.", record.key);
        return None;
    };
    match postcard::from_bytes(value) {
        Ok(word) => Some((node, word)),
        Err(error) => {
            log::warn!("fleet: The word of {node} left out: {error}.");
            None
        }
    }
}
