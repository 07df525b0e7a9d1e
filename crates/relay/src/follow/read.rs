//! The reads of a follower, of the log and of other VMs.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use pimento_progress::TimedOut;
use rand::seq::IndexedRandom;

use super::Fold;
use super::Follower;
use super::exchange::Exchange;
use super::exchange::Failure;
use super::timing::answer_timeout;
use crate::bundle;
use crate::calls::Reason;
use crate::position::Position;
use crate::topic::Batch;
use crate::topic::Error;
use crate::topic::Log;
use crate::zone;

impl<F: Fold, L: Log> Follower<F, L> {
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

    /// Fetches the records that the view lacks from this VM's reader or, if that fails, from another VM that
    /// serves views. Returns whether the view lacks no announced change afterwards.
    pub(super) async fn fetch_missing(&self) -> bool {
        let reader = self.zone.reader_address();
        let others = self.zone.sources.borrow().clone();
        let others: Vec<SocketAddr> = others.into_iter().filter(|o| Some(*o) != reader).collect();
        let other = others.choose(&mut rand::rng()).copied();
        for source in reader.into_iter().chain(other) {
            if self.fetch_from(source).await {
                return true;
            }
        }
        false
    }

    /// Fetches the records that the view lacks from the VM at `source`. Returns whether the view lacks no
    /// announced change afterwards.
    async fn fetch_from(&self, source: SocketAddr) -> bool {
        let Some(next) = self.next_offset() else {
            return false;
        };
        let exchange = Exchange::new(self.topic);
        let answer = bundle::fetch(source, self.topic, next, &exchange.progress);
        let timeout = self.timing.timeout;
        let problem = match self.wait(&exchange, answer, timeout, timeout).await {
            Ok(Ok(range)) => {
                exchange.answered();
                self.receive(range);
                None
            }
            // It holds fewer records than this VM lacks.
            Ok(Err(bundle::Error::Status { status })) if status == StatusCode::NOT_FOUND => {
                return self.fetch_snapshot(source).await && !self.lock().lacks_changes();
            }
            Ok(Err(error)) => Some(error.to_string()),
            Err(silent) => Some(silent.to_string()),
        };
        if let Some(problem) = problem {
            let failure = exchange.failed(zone::Failure::Unanswered, problem);
            failure.log("Could not fetch records from a neighbour");
        }
        !self.lock().lacks_changes()
    }

    /// Reads once. Returns whether the view holds everything up to the end of the topic.
    pub(super) async fn read(&self, wait: Duration, reason: Reason) -> Result<bool, Failure> {
        self.calls.count(self.topic, reason);
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
            Ok(Ok(batch)) => self.apply(batch, exchange.sent),
            _ => false,
        };
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
            Err(Error::Restored { era_start }) => {
                let era = Position::from(era_start).era;
                let topic = self.topic.as_str();
                log::warn!(topic, era:%; "follower: The log came back from an older copy, reading it anew.");
                self.lock().log_restored(era);
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
            Ok(Ok(_) | Err(Error::Gone { .. } | Error::Restored { .. })) => counts.answered += 1,
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
