//! How a VM finds the others: by the topic that they share, read once at the start.

use std::time::Duration;

use pimento_progress::Progress;
use pimento_units::id;

use super::Neighbours;
use super::PAUSE;
use super::news::News;
use super::peers::Peer;
use crate::boot;
use crate::calls::Reason;
use crate::codec::Codec;
use crate::fleet;
use crate::fleet::Word;
use crate::follow::Lead;
use crate::headers::HeaderCodec;
use crate::topic::Log;
use crate::topic::Topic;

/// How often a VM looks whether it has learnt enough to tell those that start later.
const LEARNT: Duration = Duration::from_secs(5);

/// An answer of the log may take this long to begin, and to go on.
const CALL: Duration = Duration::from_secs(1);

/// How long a VM that starts waits for one that has read the log to answer its greeting.
const GREETING: Duration = Duration::from_millis(60);

/// The longest pause between calls that fail. The other VMs tell by datagrams meanwhile.
const LONGEST: Duration = Duration::from_millis(1_600);

/// Pauses after a call that failed; the next pause.
async fn rest(pause: Duration) -> Duration {
    tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..=1.0))).await;
    (pause * 2).min(LONGEST)
}

impl<P: HeaderCodec + Codec, L: Log> Neighbours<P, L> {
    /// Meets the other VMs on the log, and those of the zone by datagrams.
    ///
    /// Of two VMs that start together the one whose word comes later must find the other's, so that a VM
    /// reads the others' words after its own is there. A VM that started anew finds its own of before,
    /// with what it had learnt, and need say nothing if that is still true.
    pub(super) async fn meet(&self) {
        if self.node.config.first_start {
            self.say().await;
        }
        let known = self.read_words().await;
        self.introduce().await;
        if !known {
            self.say().await;
            self.read_words().await;
        }
        self.teach().await;
    }

    /// Says where this VM is.
    async fn say(&self) {
        let mut pause = PAUSE;
        while !self
            .node
            .publish(&self.node.announcement(), &self.log)
            .await
        {
            pause = rest(pause).await;
        }
    }

    /// Lets the VMs of the zone know that this one starts, and settles which of them it asks for what it
    /// lacks: one that has read the log already answers at once.
    async fn introduce(&self) {
        let peers = self.peers();
        for peer in &peers {
            let nothing = News::default();
            self.send(peer.address, Some(peer.key), &nothing).await;
        }
        // The first by name reads for the others in any case, and they wait for it.
        let own = &self.node.config.node;
        let first = peers.first().is_none_or(|peer| *own < peer.node);
        let able = async {
            while !self.is_led_by_able() {
                self.heard.notified().await;
            }
        };
        if !first && tokio::time::timeout(GREETING, able).await.is_err() {
            log::info!("neighbours: No VM of the zone has read the log yet.");
        }
        self.settle();
        self.zone.introduce();
    }

    /// Reads where the others are and what they learnt. Whether this VM's own word is there and true.
    async fn read_words(&self) -> bool {
        let mut pause = PAUSE;
        loop {
            self.node.calls.count(Topic::Fleet, Reason::Meet);
            let progress = Progress::default();
            let newest = self.log.newest(Topic::Fleet, &progress);
            match progress.wait(newest, CALL, CALL).await {
                Ok(Ok(batch)) => {
                    let mut known = false;
                    for (node, word) in batch.records.iter().filter_map(fleet::read) {
                        known |= self.is_own(&node, &word);
                        self.meet_one(node, word);
                    }
                    return known;
                }
                Ok(Err(error)) => log::warn!("neighbours: Not read: {error}."),
                Err(error) => log::warn!("neighbours: Not read: {error}."),
            }
            pause = rest(pause).await;
        }
    }

    /// Whether a word is this VM's own and still true. What a former life said of roll-outs is not.
    fn is_own(&self, node: &id::Node, word: &Word) -> bool {
        let config = &self.node.config;
        let place = word.zone == config.zone && word.address == config.peer_listen;
        *node == config.node && place && word.rollouts.is_empty()
    }

    fn meet_one(&self, node: id::Node, word: Word) {
        self.node.scheduler.seed(&word.paces);
        if node != self.node.config.node {
            let now = boot::now();
            let peer = Peer::told_of(node, word.zone, word.address, now);
            self.lock().peers.met(peer, now);
        }
    }

    /// Says once more where this VM is, with what it has learnt by then, for those that start later.
    /// One VM of a zone does.
    async fn teach(&self) {
        loop {
            tokio::time::sleep(LEARNT).await;
            let word = self.node.announcement();
            let known = !word.paces.is_empty();
            let alone = *self.zone.lead.borrow() != Lead::Led;
            if known && alone && self.node.publish(&word, &self.log).await {
                return;
            }
        }
    }
}
