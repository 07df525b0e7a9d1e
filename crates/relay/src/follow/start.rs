//! Starting with the view of another VM instead of reading the whole topic.

use std::time::Duration;

use pimento_units::Moment;

use super::Fold;
use super::Follower;
use super::exchange::Exchange;
use crate::boot;
use crate::bundle::SharedTopic;
use crate::node::millis;
use crate::snapshot;
use crate::snapshot::Snapshot;
use crate::topic::Log;
use crate::zone;

/// How long a VM that is asked for its view waits for its own first read.
const FIRST_READ: Duration = Duration::from_millis(400);

impl<F: Fold, L: Log> Follower<F, L> {
    /// Fetches and adopts the view of this VM's reader. Returns false if the log must be read
    /// instead.
    pub(super) async fn fetch_snapshot(&self) -> bool {
        let reader = self.zone.reader_address();
        let (Some(reader), Ok(topic)) = (reader, SharedTopic::try_from(self.topic)) else {
            return false;
        };
        let exchange = Exchange::new(self.topic);
        let progress = &exchange.progress;
        let answer = snapshot::fetch(reader, self.zone.deployment(), topic, progress);
        let timeout = self.timing.timeout;
        let answer = self.wait(&exchange, answer, FIRST_READ + timeout, timeout);
        let problem = match answer.await {
            Ok(Ok(snapshot)) => {
                exchange.answered();
                self.adopt(&snapshot, exchange.sent);
                return true;
            }
            Ok(Err(error)) => error.to_string(),
            Err(silent) => silent.to_string(),
        };
        let failure = exchange.failed(zone::Failure::Unanswered, problem);
        failure.log("Could not fetch a neighbour's view");
        false
    }

    /// Adopts a neighbour's view that was requested at `sent`.
    fn adopt(&self, snapshot: &Snapshot, sent: Moment) {
        let proven = snapshot::proven_at(sent, snapshot.age);
        let mut inner = self.lock();
        self.mark_connected(&mut inner, boot::now());
        inner.adopt(snapshot, proven, boot::now());
        drop(inner);
        let records = snapshot.records.len();
        let age_ms = millis(snapshot.age);
        log::info!(topic = self.topic.as_str(), records, age_ms; "follower: Adopted a neighbour's view.");
        self.change_count.send_modify(|count| *count += 1);
    }

    /// The view for a VM that asked for it at `asked`; none if nothing was read yet. The log is read once
    /// more before, unless it is unreachable.
    pub async fn snapshot(&self, asked: Moment) -> Option<Snapshot> {
        self.wait_for_first_read().await;
        let unreachable = self.zone.reachability(boot::now()) == zone::Reachability::Unreachable;
        if !unreachable && !self.confirm(asked).await {
            self.zone
                .read_failed(zone::Failure::Unanswered, boot::now());
        }
        let inner = self.lock();
        let age = asked.since(inner.proven_at?);
        let mut records = inner.newest.clone();
        let to = inner.next?;
        drop(inner);
        records.sort_by_key(|record| record.offset);
        Some(Snapshot { records, to, age })
    }

    /// Waits up to [`FIRST_READ`] until there is a view.
    async fn wait_for_first_read(&self) {
        let read = async {
            loop {
                let ended = self.read_ended.notified();
                tokio::pin!(ended);
                ended.as_mut().enable();
                if self.proven_at().is_some() {
                    return;
                }
                ended.await;
            }
        };
        if tokio::time::timeout(FIRST_READ, read).await.is_err() {
            log::debug!("follower: A VM asked for the view before the first read.");
        }
    }
}
