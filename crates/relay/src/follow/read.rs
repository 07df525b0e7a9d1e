//! The reads of a follower: its own ones, and those that confirm the view for a caller.

use std::future::Future;
use std::time::Duration;

use pimento_progress::Silent;
use pimento_units::Moment;

use super::Fold;
use super::Follower;
use super::exchange::Exchange;
use super::exchange::Failure;
use super::timing::answer_timeout;
use crate::bundle;
use crate::calls::Reason;
use crate::topic::Batch;
use crate::topic::Error;
use crate::topic::Log;
use crate::zone;

impl<F: Fold, L: Log> Follower<F, L> {
    /// Reads once more, now, unless the view is younger than `moment` already. Those who ask at the
    /// same time share one read. False if it could not be read.
    pub async fn confirm(&self, moment: Moment) -> bool {
        let _one = self.confirming.lock().await;
        self.settled().await;
        if self.proven_at().is_some_and(|proven| proven >= moment) {
            return true;
        }
        let Some(next) = self.next_offset() else {
            return false;
        };
        let stamps = self.zone.stamps();
        let exchange = Exchange::new(self.topic);
        let progress = &exchange.progress;
        let timeout = self.timing.timeout;
        self.calls.count(self.topic, Reason::Confirm);
        let answer = self.log.read(self.topic, next, Duration::ZERO, progress);
        let answer = progress.wait(answer, timeout, timeout).await;
        match self.count(&exchange, answer) {
            Ok(Ok(batch)) => {
                self.take(&batch, exchange.sent, stamps);
                self.proven_at()
                    .is_some_and(|proven| proven >= exchange.sent)
            }
            Ok(Err(error)) => {
                exchange.refused(&error).log("Not confirmed");
                false
            }
            Err(failure) => {
                failure.log("Not confirmed");
                false
            }
        }
    }

    /// Waits until an answer that is coming to this follower's own read is there. A second read would
    /// ask for the same records, and the two would share the link: a large configuration would take
    /// twice as long just when callers ask for what it adds.
    async fn settled(&self) {
        let ended = self.ended.notified();
        tokio::pin!(ended);
        ended.as_mut().enable();
        let reading = self.lock().reading.clone();
        let Some(progress) = reading.filter(|progress| progress.received().bytes > 0) else {
            return;
        };
        let timeout = self.timing.timeout;
        if progress.wait(ended, timeout, timeout).await.is_err() {
            log::debug!("follower: An answer stopped coming, asking anew.");
        }
    }

    /// How long the next answer may take to begin and to go on.
    fn answer_timeout(&self) -> Duration {
        let inner = self.lock();
        answer_timeout(&self.timing, inner.lacks(), inner.silent)
    }

    /// Waits for an answer to this follower itself, whose first bytes may take `first`.
    pub(super) async fn wait<T>(
        &self,
        exchange: &Exchange,
        answer: impl Future<Output = T>,
        first: Duration,
        timeout: Duration,
    ) -> Result<T, Silent> {
        self.lock().reading = Some(exchange.progress.clone());
        let waited = exchange.progress.wait(answer, first, timeout).await;
        self.lock().reading = None;
        waited
    }

    /// Takes what the view lacks from the VM that reads for this one; whether it lacks nothing more.
    pub(super) async fn take_over(&self) -> bool {
        let (Some(reader), Some(next)) = (self.zone.leader_address(), self.next_offset()) else {
            return false;
        };
        let exchange = Exchange::new(self.topic);
        let answer = bundle::fetch(reader, self.topic, next, &exchange.progress);
        let timeout = self.timing.timeout;
        let problem = match self.wait(&exchange, answer, timeout, timeout).await {
            Ok(Ok(range)) => {
                exchange.answered();
                self.receive(range);
                None
            }
            Ok(Err(error)) => Some(error.to_string()),
            Err(silent) => Some(silent.to_string()),
        };
        self.ended.notify_waiters();
        if let Some(problem) = problem {
            let failure = exchange.failed(zone::Failure::Unanswered, problem);
            failure.log("Not taken over from a neighbour");
        }
        !self.lock().lacks()
    }

    /// Reads once; whether the end was reached.
    pub(super) async fn read(&self, wait: Duration, reason: Reason) -> Result<bool, Failure> {
        self.calls.count(self.topic, reason);
        let stamps = self.zone.stamps();
        let exchange = Exchange::new(self.topic);
        let progress = &exchange.progress;
        let next = self.next_offset();
        let answer = async {
            match next {
                None => self.log.newest(self.topic, progress).await,
                Some(next) => self.log.read(self.topic, next, wait, progress).await,
            }
        };
        let timeout = self.answer_timeout();
        let answer = self.wait(&exchange, answer, wait + timeout, timeout);
        let answer = self.count(&exchange, answer.await);
        let whole = match &answer {
            Ok(Ok(batch)) => self.take(batch, exchange.sent, stamps),
            _ => false,
        };
        self.ended.notify_waiters();
        match answer? {
            Ok(_) => Ok(whole),
            Err(Error::Gone { oldest }) => {
                log::info!(
                    topic = self.topic.as_str(),
                    oldest = oldest.0;
                    "follower: History is gone, reading the newest of each key."
                );
                self.lock().next = None;
                Ok(false)
            }
            Err(error) => Err(exchange.refused(&error)),
        }
    }

    /// Counts how a read ended. An error is a read that was given up.
    fn count(
        &self,
        exchange: &Exchange,
        answer: Result<Result<Batch, Error>, Silent>,
    ) -> Result<Result<Batch, Error>, Failure> {
        let mut inner = self.lock();
        let read_counts = &mut inner.read_counts;
        read_counts.bytes += exchange.progress.received().bytes;
        match &answer {
            Ok(Ok(_) | Err(Error::Gone { .. })) => read_counts.answered += 1,
            Ok(Err(_)) => read_counts.failed += 1,
            Err(_) => read_counts.given_up += 1,
        }
        inner.silent = match &answer {
            Ok(Ok(_)) => 0,
            Ok(Err(_)) => inner.silent,
            Err(_) => inner.silent.saturating_add(1),
        };
        drop(inner);
        if let Ok(Ok(_)) = &answer {
            exchange.answered();
        }
        answer.map_err(|silent| exchange.given_up(silent))
    }
}
