//! The records in which entry VMs announce themselves on the topic that they share. Each VM has one record,
//! which replaces its last one.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

use crate::rollouts::announcement::NodeAnnouncement;
use crate::topic::Log;
use crate::topic::Record;
use crate::topic::Topic;

/// Timeout of a call of the log.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// What a VM announces of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Its zone.
    pub zone: id::Zone,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Prefill time of models in seconds per token, by the models' hashes. It is for VMs that start later.
    /// Without it VMs that all start at once would place prompts by guesses, just when all callers come
    /// back.
    pub seconds_per_token: Vec<(u64, f64)>,
    /// What it and the VMs for which it reads the log observed of roll-outs.
    pub rollouts: Vec<NodeAnnouncement>,
}

impl VmRecord {
    /// Writes the record to a topic of the log. Returns whether that is known to have succeeded.
    pub async fn publish(&self, node: &id::Node, topic: Topic, log: &impl Log) -> bool {
        let value = match postcard::to_stdvec(self) {
            Ok(value) => value,
            Err(error) => {
                log::error!("fleet: This VM's record can't be encoded: {error}.");
                return false;
            }
        };
        let append = log.append(topic, node.as_str(), value.into(), None);
        match tokio::time::timeout(CALL_TIMEOUT, append).await {
            Ok(Ok(_)) => true,
            Ok(Err(error)) => {
                log::warn!("fleet: Writing this VM's record failed: {error}.");
                false
            }
            Err(_) => {
                log::warn!(
                    "fleet: Writing this VM's record timed out, it may or may not be on the log."
                );
                false
            }
        }
    }
}

/// Decodes a VM's record; none if it can't be decoded.
#[must_use]
pub fn decode(record: &Record) -> Option<(id::Node, VmRecord)> {
    let value = record.value.as_ref()?;
    let Ok(node) = record.key.parse() else {
        log::warn!("fleet: The key {:?} is not the name of a VM.", record.key);
        return None;
    };
    match postcard::from_bytes(value) {
        Ok(announced) => Some((node, announced)),
        Err(error) => {
            log::warn!("fleet: Ignoring the record of {node}, which can't be decoded: {error}.");
            None
        }
    }
}
