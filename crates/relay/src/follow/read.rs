//! The reads of a follower: those of its own task, and those that confirm the view for a caller.

use std::future::Future;
use std::time::Duration;

use pimento_progress::TimedOut;
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
    /// Reads the log now, unless the view is already proven as of `moment` or later. Concurrent callers
    /// share one read. Returns false if the log could not be read.
    pub async fn confirm(&self, moment: Moment) -> bool {
        let _confirming = self.confirming.lock().await;
        self.wait_for_running_read().await;
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
                self.apply(&batch, exchange.sent, stamps);
                self.proven_at()
                    .is_some_and(|proven| proven >= exchange.sent)
            }
            Ok(Err(error)) => {
                exchange
                    .failed_with(&error)
                    .log("Could not confirm the view");
                false
            }
            Err(failure) => {
                failure.log("Could not confirm the view");
                false
            }
        }
    }

    /// Waits for the follower's own read to end if its answer has begun to arrive. A second read would ask
    /// for the same records and share the link with the first, so that a large configuration would take
    /// twice as long just when callers ask for what it adds.
    async fn wait_for_running_read(&self) {
        let ended = self.read_ended.notified();
        tokio::pin!(ended);
        ended.as_mut().enable();
        let running = self.lock().running_read.clone();
        let Some(progress) = running.filter(|progress| progress.received().bytes > 0) else {
            return;
        };
        let timeout = self.timing.timeout;
        if progress.wait(ended, timeout, timeout).await.is_err() {
            log::debug!("follower: An answer stopped arriving, reading again.");
        }
    }

    /// The longest time without data before the next answer begins, beyond its wait, and within it.
    fn answer_timeout(&self) -> Duration {
        let inner = self.lock();
        answer_timeout(&self.timing, inner.lacks_changes(), inner.unanswered_reads)
    }

    /// Waits for the answer to a read of the follower's own task. `first` is the longest time before its
    /// first bytes, `timeout` the longest gap after them.
    pub(super) async fn wait<T>(
        &self,
        exchange: &Exchange,
        answer: impl Future<Output = T>,
        first: Duration,
        timeout: Duration,
    ) -> Result<T, TimedOut> {
        self.lock().running_read = Some(exchange.progress.clone());
        let waited = exchange.progress.wait(answer, first, timeout).await;
        self.lock().running_read = None;
        waited
    }

    /// Fetches the records that the view lacks from this VM's reader. Returns whether the
    /// view lacks no announced change afterwards.
    pub(super) async fn fetch_from_reader(&self) -> bool {
        let (Some(reader), Some(next)) = (self.zone.reader_address(), self.next_offset()) else {
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
        self.read_ended.notify_waiters();
        if let Some(problem) = problem {
            let failure = exchange.failed(zone::Failure::Unanswered, problem);
            failure.log("Could not fetch records from a neighbour");
        }
        !self.lock().lacks_changes()
    }

    /// Reads once. Returns whether the view holds everything up to the end of the topic.
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
        let complete = match &answer {
            Ok(Ok(batch)) => self.apply(batch, exchange.sent, stamps),
            _ => false,
        };
        self.read_ended.notify_waiters();
        match answer? {
            Ok(_) => Ok(complete),
            Err(Error::Gone { oldest }) => {
                log::info!(
                    topic = self.topic.as_str(),
                    oldest = oldest.0;
                    "follower: The log has dropped older records, reading the newest record of each key."
                );
                self.lock().next = None;
                Ok(false)
            }
            Err(error) => Err(exchange.failed_with(&error)),
        }
    }

    /// Counts the outcome of a read. An error is a read that timed out.
    fn count(
        &self,
        exchange: &Exchange,
        answer: Result<Result<Batch, Error>, TimedOut>,
    ) -> Result<Result<Batch, Error>, Failure> {
        let mut inner = self.lock();
        let counts = &mut inner.read_counts;
        counts.bytes += exchange.progress.received().bytes;
        match &answer {
            Ok(Ok(_) | Err(Error::Gone { .. })) => counts.answered += 1,
            Ok(Err(_)) => counts.failed += 1,
            Err(_) => counts.given_up += 1,
        }
        inner.unanswered_reads = match &answer {
            Ok(Ok(_)) => 0,
            Ok(Err(_)) => inner.unanswered_reads,
            Err(_) => inner.unanswered_reads.saturating_add(1),
        };
        drop(inner);
        if let Ok(Ok(_)) = &answer {
            exchange.answered();
        }
        answer.map_err(|silent| exchange.timed_out(silent))
    }
}
