//! An in-memory log whose appends can be made to fail in the ways that the platform's can.

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

/// What happens to one append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing: it works.
    None,
    /// It is refused before it takes effect.
    Refuse,
    /// It takes effect and the answer is lost.
    LoseAnswer,
    /// It gets lost on the way and so does the answer.
    LoseRequest,
}

/// The log.
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
        self.inner.lock().expect("no test panics in here")
    }

    /// Has the next appends meet these faults.
    pub fn inject(&self, faults: &[Fault]) {
        self.inner().faults.extend(faults);
    }

    /// Has all reads fail from now on.
    pub fn fail_reads(&self) {
        self.inner().unreadable = true;
    }

    /// Lets retention pass the records before `oldest`.
    pub fn drop_before(&self, oldest: usize) {
        self.inner().oldest = oldest;
    }

    /// Appends that took effect.
    pub fn appends(&self) -> usize {
        self.inner().appends
    }

    /// Adds a record as somebody else would.
    pub fn push(&self, record: String) {
        self.inner().records.push(record);
    }
}

fn lost() -> Error {
    Error::Lost {
        reason: "as the test asked".into(),
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
