//! What an update for the group contains.

use std::time::Duration;

use pimento_units::Offset;

use crate::boot;
use crate::bundle::Bundle;
use crate::bundle::SharedTopic;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::neighbours::Neighbours;
use crate::neighbours::limit::Limit;
use crate::neighbours::loan;
use crate::neighbours::message::Prefill;
use crate::neighbours::speeds;
use crate::neighbours::update::Update;
use crate::rollouts::Rollouts;
use crate::rollouts::announcement::Announcement;
use crate::rollouts::announcement::NodeAnnouncement;
use crate::topic::Log;

/// The most datagrams with records of one topic in an update. Thousands of endpoints that register together
/// would fill a small VM's link for as many seconds as it sends to others; packed they take a tenth.
const MAX_BUNDLES: usize = 16;

/// The offsets up to which the records of each topic were forwarded to others.
#[derive(Debug, Clone, Copy, Default)]
pub struct ForwardedOffsets {
    operators: Offset,
    endpoints: Offset,
    poison: Offset,
}

impl<P: HeaderCodec + Codec, L: Log> Neighbours<P, L> {
    /// Records to forward; empty unless this VM serves others.
    fn take_bundles(&self) -> Vec<Bundle> {
        let forwarded = self.lock().forwarded.take();
        if !self.serves_group() {
            return Vec::new();
        }
        let from = forwarded.unwrap_or_default();
        let (operator_chunks, operators) = self.node.operators.chunks_from(from.operators);
        let (endpoint_chunks, endpoints) = self.node.directory.chunks_from(from.endpoints);
        let (poison_chunks, poison) = self.node.blocklist.chunks_from(from.poison);
        self.lock().forwarded = Some(ForwardedOffsets {
            operators,
            endpoints,
            poison,
        });
        if forwarded.is_none() {
            return Vec::new();
        }
        // If records are missing here, too large or too many, the others fetch them once they get a proof.
        let list = |topic, from, chunks: Option<Vec<_>>, to| {
            let chunks = chunks.filter(|chunks| chunks.len() <= MAX_BUNDLES);
            Bundle::from_chunks(topic, from, chunks.unwrap_or_default(), to)
        };
        let mut bundles = list(
            SharedTopic::Operators,
            from.operators,
            operator_chunks,
            operators,
        );
        bundles.extend(list(
            SharedTopic::Endpoints,
            from.endpoints,
            endpoint_chunks,
            endpoints,
        ));
        bundles.extend(list(
            SharedTopic::Poison,
            from.poison,
            poison_chunks,
            poison,
        ));
        bundles
    }

    /// Collects what is to be sent to the group. What others need to know as well is queued for them.
    pub(super) fn collect_update(&self) -> Update {
        let stops = self.node.lifetime.is_leaving();
        let mut update = Update {
            rollouts: self.own_announcements(self.node.due_announcements(boot::now())),
            pinned_sessions: self.node.rollouts(Rollouts::take_pending_sessions),
            handovers: self
                .node
                .rollouts(|r| r.group_handovers(stops, boot::now())),
            poison: self.node.poison.take_zone_reports(boot::now()),
            poison_parts: self.node.poison.take_zone_parts(boot::now()),
            bundles: self.take_bundles(),
            wants: loan::wants(&self.node.scheduler),
            speeds: speeds::take(&self.node.scheduler),
            ..Update::default()
        };
        let mut shared = Vec::new();
        for (_, pool) in self.node.scheduler.pools() {
            let prefilled = pool.take_prefilled();
            update.prefills.extend(prefilled.iter().map(Prefill::new));
            shared.extend(prefilled.iter().filter_map(Prefill::shared_prefix));
            let millis = |wait: Duration| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
            let waits = pool.engine_waits().into_iter();
            update
                .waits
                .extend(waits.map(|(key, wait)| (key, millis(wait))));
            update
                .limits
                .extend(pool.limit_reports().iter().map(Limit::from));
        }
        let mut inner = self.lock();
        inner.remote_prefills.extend(shared);
        inner.remote_sessions.extend(&update.pinned_sessions);
        update.prefills.append(&mut inner.forwarded_prefills);
        update.pinned_sessions.append(&mut inner.forwarded_sessions);
        update
    }

    /// The announcements as this VM's.
    pub(super) fn own_announcements(
        &self,
        announcements: Vec<Announcement>,
    ) -> Vec<NodeAnnouncement> {
        let node = &self.node.config.node;
        let announcements = announcements.into_iter();
        announcements
            .map(|announcement| NodeAnnouncement {
                node: node.clone(),
                announcement,
            })
            .collect()
    }
}
