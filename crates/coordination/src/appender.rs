//! Group commit: batches the records of one process into few appends.
//!
//! The log accepts a few hundred appends a second for the whole deployment. One append for each
//! record would exhaust that rate at a few hundred requests a second. Batching for some
//! milliseconds makes the number of appends independent of the number of records. Each stream has
//! one append in flight at a time, so a slow log makes batches larger instead of more numerous.

mod entry;
mod worker;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_ledger::Stream;
use pimento_units::Offset;
use snafu::Snafu;
use snafu::ensure;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use self::entry::Entry;
use self::entry::SendState;
use self::worker::Worker;
use crate::http;
use crate::log::Error;
use crate::log::Log;

/// Settings of an [`Appender`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// How long the first record of a batch waits for others.
    pub batch_delay: Duration,
    /// The most records in one append.
    pub max_records: usize,
    /// The most bytes in one append. A larger record is appended alone.
    pub max_bytes: usize,
    /// The most pending calls for each stream.
    pub queue_capacity: usize,
    /// The most bytes of pending records over all streams.
    pub max_memory: u32,
}

impl Default for Settings {
    /// The batch delay limits a node to 100 appends a second for each stream, and is short compared
    /// with the log's latency. The bounds of records and bytes keep one append far below the log's
    /// timeout. The queue holds several seconds of a node's share of the target rate. The memory
    /// bound is half of what coordination may use on a node.
    fn default() -> Self {
        Self {
            batch_delay: Duration::from_millis(10),
            max_records: 512,
            max_bytes: 1 << 20,
            queue_capacity: 4_096,
            max_memory: 16 << 20,
        }
    }
}

/// An invalid setting; `setting` describes the field.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the appender's {setting} must not be zero"))]
pub struct InvalidSetting {
    setting: &'static str,
}

/// Validated settings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Config(Settings);

impl TryFrom<Settings> for Config {
    type Error = InvalidSetting;
    fn try_from(settings: Settings) -> Result<Self, InvalidSetting> {
        let setting = "records";
        ensure!(settings.max_records > 0, InvalidSettingSnafu { setting });
        let setting = "queue";
        ensure!(settings.queue_capacity > 0, InvalidSettingSnafu { setting });
        let setting = "memory";
        ensure!(settings.max_memory > 0, InvalidSettingSnafu { setting });
        Ok(Self(settings))
    }
}

/// Appends records through group commit. Clones share the queues.
#[derive(Debug, Clone)]
pub struct Appender {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    queues: Vec<mpsc::Sender<Entry>>,
    memory: Arc<Semaphore>,
    outage: Arc<Outage>,
    token: CancellationToken,
}

/// The end of the outage that the log announced last; in the past if there is none.
#[derive(Debug)]
struct Outage(Mutex<Instant>);

impl Outage {
    fn until(&self) -> Instant {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, until: Instant) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = until;
    }
}

impl Appender {
    /// Starts one worker for each stream; they stop when `token` is cancelled.
    ///
    /// Pending appends then fail as refused, or as lost if they were sent before.
    pub fn start(log: impl Log, config: Config, token: CancellationToken) -> Self {
        let outage = Arc::new(Outage(Mutex::new(Instant::now())));
        let logs = std::iter::repeat_n(log, Stream::ALL.len());
        let queues = Stream::ALL
            .into_iter()
            .zip(logs)
            .map(|(stream, log)| {
                let (sender, queue) = mpsc::channel(config.0.queue_capacity);
                let worker = Worker {
                    log,
                    stream,
                    settings: config.0,
                    outage: Arc::clone(&outage),
                };
                tokio::spawn(worker.run(queue, token.clone()));
                sender
            })
            .collect();
        let memory = Arc::new(Semaphore::new(config.0.max_memory as usize));
        let shared = Shared {
            queues,
            memory,
            outage,
            token,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Appends one record and returns its offset.
    ///
    /// An append whose response was lost is retried until `deadline`, so the record must be safe to
    /// append twice. The offset is that of the last append.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if the record is certainly not on the log: the queue is full, the
    /// appender is shutting down, or the log refused until `deadline`. [`Error::Lost`] if it may be
    /// on the log.
    pub async fn append(
        &self,
        stream: Stream,
        record: String,
        deadline: Instant,
    ) -> Result<Offset, Error> {
        self.append_all(stream, vec![record], deadline).await
    }

    /// Appends records contiguously and atomically, and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// As [`Appender::append`].
    pub async fn append_all(
        &self,
        stream: Stream,
        records: Vec<String>,
        deadline: Instant,
    ) -> Result<Offset, Error> {
        self.admit(deadline)?;
        let size = records.iter().map(String::len).sum::<usize>();
        let permits = u32::try_from(size).unwrap_or(u32::MAX);
        let permit = Arc::clone(&self.shared.memory)
            .try_acquire_many_owned(permits)
            .map_err(|_| refused())?;
        let send_state = Arc::new(SendState::default());
        let (sender, receiver) = oneshot::channel();
        let entry = Entry {
            records,
            size,
            deadline,
            send_state: Arc::clone(&send_state),
            result: sender,
            _permit: permit,
        };
        self.shared.queues[stream as usize]
            .try_send(entry)
            .map_err(|_| refused())?;
        match tokio::time::timeout_at(deadline, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(send_state.abandon()),
        }
    }

    /// When the log will accept appends again, as it announced; in the past if it accepts them now.
    #[must_use]
    pub fn log_unavailable_until(&self) -> Instant {
        self.shared.outage.until()
    }

    /// Refuses an append at once if the log has announced that it won't accept it before
    /// `deadline`, so that a caller in an outage does not wait for its deadline.
    fn admit(&self, deadline: Instant) -> Result<(), Error> {
        if self.shared.token.is_cancelled() {
            return Err(refused());
        }
        let until = self.log_unavailable_until();
        if until < deadline {
            return Ok(());
        }
        let retry_after = until.saturating_duration_since(Instant::now());
        if retry_after.is_zero() {
            return Ok(());
        }
        Err(Error::Refused { retry_after })
    }
}

const fn refused() -> Error {
    Error::Refused {
        retry_after: http::RETRY_DELAY,
    }
}
