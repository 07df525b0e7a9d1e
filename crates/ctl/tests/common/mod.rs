//! An in-memory log with the failures that the platform's log can have.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use pimento_coordination::log::Error;
use pimento_coordination::log::Log;
use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_units::Wall;
use pimento_wire::platform::Batch;
use pimento_wire::platform::Entry;

/// The fault of one append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The append is refused and has no effect.
    Refuse,
    /// The append takes effect and its response is lost.
    LoseAnswer,
    /// The append is lost before it takes effect; the caller sees the same error as for a lost
    /// response.
    LoseRequest,
}

/// The log, shared by its clones.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    records: Vec<String>,
    oldest: usize,
    faults: VecDeque<Fault>,
    unreadable: bool,
    appends: usize,
}

impl Memory {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no test panics while it holds the lock")
    }

    /// Injects faults into the next appends, one each.
    pub fn inject(&self, faults: &[Fault]) {
        self.inner().faults.extend(faults);
    }

    /// Makes all further reads fail.
    pub fn fail_reads(&self) {
        self.inner().unreadable = true;
    }

    /// Drops the records before `oldest`, as retention does.
    pub fn drop_before(&self, oldest: usize) {
        self.inner().oldest = oldest;
    }

    /// Number of appends that took effect.
    pub fn appends(&self) -> usize {
        self.inner().appends
    }

    /// Appends a record of another writer, without faults.
    pub fn push(&self, record: String) {
        self.inner().records.push(record);
    }
}

fn lost() -> Error {
    Error::Lost {
        reason: "injected by the test".into(),
    }
}

impl Log for Memory {
    async fn append(&self, _: Stream, records: Vec<String>) -> Result<Offset, Error> {
        let mut inner = self.inner();
        let fault = inner.faults.pop_front().unwrap_or(Fault::None);
        match fault {
            Fault::Refuse => {
                let after = Duration::ZERO;
                return Err(Error::Refused { retry_after: after });
            }
            Fault::LoseRequest => return Err(lost()),
            Fault::None | Fault::LoseAnswer => {}
        }
        let first = Offset(inner.records.len() as u64);
        inner.records.extend(records);
        inner.appends += 1;
        match fault {
            Fault::LoseAnswer => Err(lost()),
            _ => Ok(first),
        }
    }

    async fn read(&self, _: Stream, from: Offset, max: usize, _: Duration) -> Result<Batch, Error> {
        let inner = self.inner();
        if inner.unreadable {
            return Err(lost());
        }
        let oldest = Offset(inner.oldest as u64);
        if from < oldest {
            return Err(Error::Gone { oldest });
        }
        let now = Wall::from_millis(0);
        let entry = |(offset, record): (u64, &String)| Entry {
            offset: Offset(offset),
            at: now,
            record: record.clone(),
        };
        let all = (0..).zip(&inner.records).map(entry);
        let records: Vec<Entry> = all.filter(|e| e.offset >= from).take(max).collect();
        let next = records.last().map_or(from, |last| last.offset.next());
        let end = Offset(inner.records.len() as u64);
        Ok(Batch {
            records,
            next,
            end,
            now,
        })
    }
}
