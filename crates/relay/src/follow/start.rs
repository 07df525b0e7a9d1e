//! Beginning with what another VM knows.

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
const FIRST: Duration = Duration::from_millis(400);

impl<F: Fold, L: Log> Follower<F, L> {
    /// Takes the view of the VM that reads for this one; false if the log must be read.
    pub(super) async fn take_snapshot(&self) -> bool {
        let (Some(reader), Ok(topic)) = (
            self.zone.leader_address(),
            SharedTopic::try_from(self.topic),
        ) else {
            return false;
        };
        let exchange = Exchange::new(self.topic);
        let progress = &exchange.progress;
        let answer = snapshot::fetch(reader, self.zone.deployment(), topic, progress);
        let timeout = self.timing.timeout;
        let answer = self.wait(&exchange, answer, FIRST + timeout, timeout);
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
        failure.log("No view taken from a neighbour");
        false
    }

    /// Takes a neighbour's view that was asked for at `sent`.
    fn adopt(&self, snapshot: &Snapshot, sent: Moment) {
        let proven = snapshot::proven_at(sent, snapshot.age);
        let mut inner = self.lock();
        self.regain(&mut inner, boot::now());
        inner.adopt(snapshot, proven, boot::now());
        drop(inner);
        let records = snapshot.records.len();
        let age_ms = millis(snapshot.age);
        log::info!(topic = self.topic.as_str(), records, age_ms; "follower: Begins with a neighbour's view.");
        self.changed.send_modify(|count| *count += 1);
    }

    /// The view for a VM that asked for it at `asked`, read once more if the log can be read; none if
    /// nothing was read yet.
    pub async fn snapshot(&self, asked: Moment) -> Option<Snapshot> {
        self.first_read().await;
        let out = self.zone.reachability(boot::now()) == zone::Reachability::Unreachable;
        if !out && !self.confirm(asked).await {
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

    /// Waits for the first read, up to a bound.
    async fn first_read(&self) {
        let read = async {
            loop {
                let ended = self.ended.notified();
                tokio::pin!(ended);
                ended.as_mut().enable();
                if self.proven_at().is_some() {
                    return;
                }
                ended.await;
            }
        };
        if tokio::time::timeout(FIRST, read).await.is_err() {
            log::debug!("follower: Asked for a view before there is one.");
        }
    }
}
