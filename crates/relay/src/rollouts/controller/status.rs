//! The status topic: how orders have ended, as the VMs reported it to the operators.

use std::time::Duration;

use bytes::Bytes;
use pimento_progress::Progress;
use pimento_units::Offset;

use super::super::Rollouts;
use super::super::announcement::End;
use super::Controller;
use super::ZONE_DELAY;
use crate::boot;
use crate::calls::Reason;
use crate::codec::Codec;
use crate::codec::RolloutStage;
use crate::codec::RolloutStatus;
use crate::headers::HeaderCodec;
use crate::operators::ReadOrder;
use crate::pools;
use crate::position::Position;
use crate::topic::Error;
use crate::topic::Log;
use crate::topic::Record;
use crate::topic::Topic;

/// Time between two reads of the status topic for orders of which it is not known how they went on.
const STATUS_RETRY: Duration = Duration::from_millis(1_900);

/// How long an answer of the log may take to begin, and how long it may stall. The next tick may try
/// again.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// What orders wait for of which it is not known how they went on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Pending {
    /// No order waits.
    Nothing,
    /// The service has no endpoint of the version that was ordered.
    TargetVersion,
    /// The status topic could not be read.
    Status,
}

impl<P: HeaderCodec + Codec, L: Log> Controller<P, L> {
    /// Records up to where the status topic is about orders before these, which were given just now. Without an
    /// answer, an earlier order's report for the same version counts for its next order as well.
    pub(super) async fn read_status_ends(&mut self, new: &[ReadOrder]) {
        for order in new.iter().filter(|order| !order.initial) {
            let pool = &order.rollout.pool;
            self.status_ends.retain(|(known, _)| known != pool);
            if let Some((_, end)) = self.read_statuses().await {
                self.status_ends.push((pool.clone(), end));
            }
        }
    }

    /// Reads how the orders ended that were there before this process started, unless another VM has said so.
    ///
    /// While the service has only endpoints of another version this makes no difference, and the topic is not read:
    /// VMs that start together would all call the log for nothing.
    pub(super) async fn resolve_orders(&mut self) -> Pending {
        let unresolved = self.node.rollouts(|r| r.unresolved());
        if !unresolved.is_empty() {
            // The pools may not know the versions of the endpoints yet.
            pools::refresh(&self.node);
        }
        let held = |order: &ReadOrder| self.node.rollouts(|r| r.holds_target(order));
        let waiting = unresolved.len();
        let unresolved: Vec<ReadOrder> = unresolved.into_iter().filter(held).collect();
        if unresolved.is_empty() {
            return if waiting > 0 {
                Pending::TargetVersion
            } else {
                Pending::Nothing
            };
        }
        let now = boot::now();
        if now.since(self.status_tried_at) < STATUS_RETRY {
            return Pending::Status;
        }
        self.status_tried_at = now;
        let Some((statuses, _)) = self.read_statuses().await else {
            self.node.rollouts(Rollouts::status_is_out_of_reach);
            return Pending::Status;
        };
        for order in unresolved {
            let ended = reported_end(&statuses, &order, Offset::default());
            log::info!(
                pool = order.rollout.pool.as_str(),
                version = order.rollout.target.as_str(),
                ended:?;
                "rollout: Read how the order has gone on."
            );
            self.node.rollouts(|r| r.resolve(&order, ended, now));
        }
        Pending::Nothing
    }

    /// Reports the ends of roll-outs once more if the log may have lost the reports. The operators may have
    /// acted on them, so that the same ends are written again. Returns whether nothing is left to report.
    pub(super) async fn report_again(&mut self) -> bool {
        let era = self.node.operators.era();
        if era <= self.reported_era || !self.node.reads_log() {
            return true;
        }
        let ended = self.node.rollouts(|r| r.ended_orders());
        let mut reported = true;
        for (order, end) in ended {
            tokio::time::sleep(ZONE_DELAY * self.zone_rank()).await;
            reported &= self.report_end(&order, end).await;
        }
        if reported {
            self.reported_era = era;
        }
        reported
    }

    /// Reports an end to the operators unless one was reported already. Returns true if one is known to be
    /// reported.
    pub(super) async fn report_end(&self, order: &ReadOrder, end: End) -> bool {
        let pool = &order.rollout.pool;
        let target = &order.rollout.target;
        let Some((statuses, at)) = self.read_statuses().await else {
            return false;
        };
        let since = self.status_ends.iter().find(|(known, _)| known == pool);
        let since = since.map_or(Offset::default(), |(_, since)| *since);
        let now = boot::now();
        if let Some(reported) = reported_end(&statuses, order, since) {
            self.node.rollouts(|r| r.end(pool, reported, now));
            return true;
        }
        let status = RolloutStatus {
            pool: pool.clone(),
            target: target.clone(),
            stage: match end {
                End::Done => RolloutStage::Done,
                End::RolledBack => RolloutStage::RolledBack,
            },
        };
        let (key, value) = self.node.platform.encode_status(&status);
        self.node.calls.count(Topic::Status, Reason::Status);
        let append = self
            .log
            .append(Topic::Status, &key, Bytes::from(value), Some(at));
        match tokio::time::timeout(CALL_TIMEOUT, append).await {
            Ok(Ok(_)) => {
                log::info!("rollout: {pool} to {target}: reported {end:?} to the operators.");
                self.node.rollouts(|r| r.end(pool, end, now));
                true
            }
            Ok(Err(Error::Moved { .. })) => false,
            Ok(Err(error)) => {
                log::warn!("rollout: {pool} to {target}: report to the operators failed: {error}.");
                false
            }
            Err(_) => {
                log::warn!(
                    "rollout: {pool} to {target}: no answer to the report in time; retrying."
                );
                false
            }
        }
    }

    /// The reports on the status topic, each with its offset, and the end of that topic.
    async fn read_statuses(&self) -> Option<(Vec<(Offset, RolloutStatus)>, Offset)> {
        self.node.calls.count(Topic::Status, Reason::Status);
        let progress = Progress::default();
        let newest = self.log.newest(Topic::Status, &progress);
        let batch = match progress.wait(newest, CALL_TIMEOUT, CALL_TIMEOUT).await {
            Ok(Ok(batch)) => batch,
            Ok(Err(error)) => {
                log::warn!("rollout: The status topic can't be read: {error}.");
                return None;
            }
            Err(error) => {
                log::warn!("rollout: The status topic can't be read: {error}.");
                return None;
            }
        };
        let read = |record: &Record| {
            let value = record.value.as_ref()?;
            match self.node.platform.decode_status(&record.key, value) {
                Ok(status) => status.map(|status| (record.offset, status)),
                Err(error) => {
                    let key = &record.key;
                    log::warn!("rollout: Status {key} can't be decoded and is ignored: {error}.");
                    None
                }
            }
        };
        let statuses = batch.records.iter().filter_map(read).collect();
        Some((statuses, batch.end))
    }
}

/// How an order ended by the reports from an offset on. Earlier ones may be about another order for the
/// same version.
fn reported_end(
    statuses: &[(Offset, RolloutStatus)],
    order: &ReadOrder,
    since: Offset,
) -> Option<End> {
    let found = statuses.iter().find(|(offset, status)| {
        is_after(*offset, since)
            && status.pool == order.rollout.pool
            && status.target == order.rollout.target
    });
    match found?.1.stage {
        RolloutStage::Running => None,
        RolloutStage::Done => Some(End::Done),
        RolloutStage::RolledBack => Some(End::RolledBack),
    }
}

/// Whether a report was written after the status topic ended at `since`. What the log returns anew after it
/// was restored has the offsets that it had.
fn is_after(offset: Offset, since: Offset) -> bool {
    Position::from(offset).offset >= Position::from(since).offset
}
