//! An in-memory log with persistent faults, which are set separately for appends and reads.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use pimento_coordination::Log;
use pimento_coordination::log::Error;
use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_units::Wall;
use pimento_wire::platform::Batch;

use crate::support::memory;

/// How the log handles calls until the fault is changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// Calls work.
    #[default]
    None,
    /// Calls are refused at once.
    Refuse,
    /// Appends take effect, and their responses are lost.
    LoseAnswer,
    /// Calls have no effect and get no response.
    Hang,
}

/// The time until a call without a response fails.
const HANG: Duration = Duration::from_millis(20);

/// An in-memory log. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    inner: memory::Memory,
    appends: Arc<Mutex<Fault>>,
    reads: Arc<Mutex<Fault>>,
}

impl Memory {
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the fault of appends.
    pub fn fail_appends(&self, fault: Fault) {
        *self.appends.lock().unwrap() = fault;
    }

    /// Sets the fault of reads, including those in flight.
    pub fn fail_reads(&self, fault: Fault) {
        *self.reads.lock().unwrap() = fault;
        self.inner.cut(fault != Fault::None);
    }

    /// The log's clock.
    pub fn now(&self) -> Wall {
        self.inner.now()
    }

    /// All records of a stream.
    pub fn records(&self, stream: Stream) -> Vec<String> {
        self.inner.records(stream)
    }

    /// Appends a record regardless of faults, as if from another node.
    pub fn put(&self, stream: Stream, record: String) -> Offset {
        self.inner.put(stream, [record])
    }
}

impl Log for Memory {
    async fn append(&self, stream: Stream, records: Vec<String>) -> Result<Offset, Error> {
        let fault = *self.appends.lock().unwrap();
        match fault {
            Fault::None => Ok(self.inner.put(stream, records)),
            Fault::Refuse => Err(Error::Refused { retry_after: HANG }),
            Fault::LoseAnswer => {
                self.inner.put(stream, records);
                Err(lost())
            }
            Fault::Hang => {
                tokio::time::sleep(HANG).await;
                Err(lost())
            }
        }
    }

    async fn read(
        &self,
        stream: Stream,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<Batch, Error> {
        let batch = self.inner.read(stream, from, max, wait).await;
        if *self.reads.lock().unwrap() == Fault::None {
            return batch;
        }
        tokio::time::sleep(HANG).await;
        Err(lost())
    }
}

fn lost() -> Error {
    let reason = "no response".into();
    Error::Lost { reason }
}
