//! The log in memory with faults that last until they are lifted, apart for appends and reads.

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

/// What the log does with calls until further notice.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// It works.
    #[default]
    None,
    /// It says no at once.
    Refuse,
    /// It carries appends out and never answers that it did.
    LoseAnswer,
    /// It neither carries calls out nor answers.
    Hang,
}

/// How long a call that is not answered takes to fail.
const HANG: Duration = Duration::from_millis(20);

/// A log in memory. Clones are one log.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    inner: memory::Memory,
    appends: Arc<Mutex<Fault>>,
    reads: Arc<Mutex<Fault>>,
}

impl Memory {
    /// An empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the fault of appends.
    pub fn fail_appends(&self, fault: Fault) {
        *self.appends.lock().unwrap() = fault;
    }

    /// Sets the fault of reads, also of those under way.
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

    /// Appends a record past all faults, as another node would.
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
    let reason = "no answer".into();
    Error::Lost { reason }
}
