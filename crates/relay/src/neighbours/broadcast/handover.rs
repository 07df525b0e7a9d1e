//! What VMs hand to each other of roll-outs.

use pimento_policy::choice;

use super::Audience;
use super::REMOTE_INTERVAL;
use crate::boot;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::neighbours::Neighbours;
use crate::neighbours::peer::ReaderStatus;
use crate::neighbours::update::Update;
use crate::rollouts::handover::Handover;
use crate::rollouts::room::Stop;
use crate::topic::Log;

/// Part of the time that a VM has until it stops in which callers still use their connections.
const ACCEPTING_PART: f64 = 0.4;

impl<P: HeaderCodec + Codec, L: Log> Neighbours<P, L> {
    /// Tells other zones and groups of sessions, each time through another VM there: what is told again must not go
    /// to the one that was down before.
    pub(super) async fn hand_over_remotely(&self) {
        let now = boot::now();
        let update = Update {
            handovers: self.node.rollouts(|r| r.remote_handovers(now)),
            ..Update::default()
        };
        if update.handovers.is_empty() {
            return;
        }
        let config = &self.node.config;
        let targets = {
            let peers = &self.lock().peers;
            peers.remote_targets(&config.node, &config.zone, REMOTE_INTERVAL, now)
        };
        for address in targets.zones.into_iter().chain(targets.groups) {
            self.send(address, None, Audience::Remote, &update).await;
        }
    }

    /// Adds what this VM lends to a VM of its group.
    pub(super) fn add_loans(&self, handovers: &mut [Handover], vm: u64) {
        let stop = self.node.lifetime.finish_at().map(|end| Stop {
            successor: self.successor(),
            left: end.since(self.node.now()).mul_f64(ACCEPTING_PART),
        });
        let loans = self.node.rollouts(|r| r.lend(vm, stop, boot::now()));
        for (order, loan) in loans {
            if let Some(message) = handovers.iter_mut().find(|m| m.order == order) {
                message.loan = Some(loan);
            }
        }
    }

    /// The VM of the group to which this one leaves what it doesn't need once it stops: the same one for as long as
    /// that stays.
    fn successor(&self) -> Option<u64> {
        let config = &self.node.config;
        let group = {
            let inner = self.lock();
            inner.peers.group(&config.node, &config.zone)
        };
        let stays = group
            .iter()
            .filter(|peer| peer.status != ReaderStatus::Leaving);
        let own = choice::hash(config.node.as_str());
        stays
            .map(|peer| peer.key)
            .min_by_key(|key| key.wrapping_sub(own))
    }
}
