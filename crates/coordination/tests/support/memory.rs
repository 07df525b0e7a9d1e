//! An in-memory log with fault injection.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use pimento_coordination::Log;
use pimento_coordination::log::Error;
use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_units::Wall;
use pimento_wire::platform::Batch;
use pimento_wire::platform::Entry;
use tokio::sync::watch;
use tokio::time::Instant;

/// A fault of one append.
#[derive(Debug, Clone)]
pub enum Fault {
    /// It is refused without effect.
    Refuse(Duration),
    /// It has no effect, and its answer is lost.
    LoseBefore,
    /// It takes effect, and its answer is lost.
    LoseAfter,
    /// It takes effect after the flag is set.
    Hold(Arc<AtomicBool>),
}

/// A link to an in-memory log. Clones share the link; [`Memory::link`] makes a new link to the same log,
/// which is cut independently.
#[derive(Debug)]
pub struct Memory {
    data: Arc<Mutex<Data>>,
    changed: watch::Sender<u64>,
    cut: Arc<AtomicBool>,
    /// The log's clock follows tokio's, so that a test can pause it.
    start: Instant,
    base: Wall,
    /// How long a read takes.
    delay: Duration,
}

#[derive(Debug, Default)]
struct Data {
    streams: [Retained; Stream::ALL.len()],
    faults: VecDeque<Fault>,
    outage: Option<Duration>,
}

#[derive(Debug, Default)]
struct Retained {
    oldest: u64,
    records: VecDeque<Entry>,
    appends: Vec<usize>,
    begun: u64,
    reads: u64,
}

impl Retained {
    fn end(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }
}

impl Clone for Memory {
    /// The same link: a cut affects all clones.
    fn clone(&self) -> Self {
        Self {
            data: Arc::clone(&self.data),
            changed: self.changed.clone(),
            cut: Arc::clone(&self.cut),
            start: self.start,
            base: self.base,
            delay: self.delay,
        }
    }
}

impl Default for Memory {
    fn default() -> Self {
        Self {
            data: Arc::default(),
            changed: watch::Sender::new(0),
            cut: Arc::default(),
            delay: Duration::ZERO,
            start: Instant::now(),
            base: base(),
        }
    }
}

impl Memory {
    /// The log's clock.
    pub fn now(&self) -> Wall {
        self.base + self.start.elapsed()
    }

    /// Another link to the same log.
    pub fn link(&self) -> Self {
        Self {
            cut: Arc::default(),
            ..self.clone()
        }
    }

    /// Another link, over which each read takes `delay`.
    pub fn slow_link(&self, delay: Duration) -> Self {
        Self {
            delay,
            ..self.link()
        }
    }

    /// Cuts or restores this link. Calls over a cut link fail as lost.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        self.wake();
    }

    /// Starts or ends an outage: the log refuses calls, to be retried after the given time.
    pub fn outage(&self, retry_after: Option<Duration>) {
        self.data.lock().unwrap().outage = retry_after;
        self.wake();
    }

    /// Queues faults for the next appends, one each.
    pub fn faults(&self, faults: impl IntoIterator<Item = Fault>) {
        self.data.lock().unwrap().faults.extend(faults);
    }

    /// Drops the records before `oldest`.
    pub fn retain(&self, stream: Stream, oldest: Offset) {
        let mut data = self.data.lock().unwrap();
        let retained = &mut data.streams[stream as usize];
        while retained.oldest < oldest.0 {
            retained.records.pop_front();
            retained.oldest += 1;
        }
    }

    /// The retained records.
    pub fn records(&self, stream: Stream) -> Vec<String> {
        let data = self.data.lock().unwrap();
        let records = data.streams[stream as usize].records.iter();
        records.map(|entry| entry.record.clone()).collect()
    }

    /// The number of records in each append that took effect.
    pub fn appends(&self, stream: Stream) -> Vec<usize> {
        let data = self.data.lock().unwrap();
        data.streams[stream as usize].appends.clone()
    }

    /// The number of appends started, with or without effect.
    pub fn begun(&self, stream: Stream) -> u64 {
        self.data.lock().unwrap().streams[stream as usize].begun
    }

    /// The number of reads started.
    pub fn reads(&self, stream: Stream) -> u64 {
        self.data.lock().unwrap().streams[stream as usize].reads
    }

    /// Appends without faults, like another writer.
    pub fn put(&self, stream: Stream, records: impl IntoIterator<Item = String>) -> Offset {
        let at = self.now();
        let mut data = self.data.lock().unwrap();
        let retained = &mut data.streams[stream as usize];
        let first = Offset(retained.end());
        let mut count = 0;
        for record in records {
            let offset = Offset(retained.end());
            retained.records.push_back(Entry { offset, at, record });
            count += 1;
        }
        retained.appends.push(count);
        drop(data);
        self.wake();
        first
    }

    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    fn batch(&self, stream: Stream, from: Offset, max: usize) -> Result<Batch, Error> {
        let data = self.data.lock().unwrap();
        if let Some(retry_after) = data.outage {
            return Err(Error::Refused { retry_after });
        }
        let retained = &data.streams[stream as usize];
        if from.0 < retained.oldest {
            let oldest = Offset(retained.oldest);
            return Err(Error::Gone { oldest });
        }
        let newer = retained.records.iter().filter(|entry| entry.offset >= from);
        let records: Vec<Entry> = newer.take(max).cloned().collect();
        let next = records.last().map_or(from, |entry| entry.offset.next());
        Ok(Batch {
            records,
            next,
            end: Offset(retained.end()),
            now: self.now(),
        })
    }
}

impl Log for Memory {
    async fn append(&self, stream: Stream, records: Vec<String>) -> Result<Offset, Error> {
        if self.is_cut() {
            return Err(lost());
        }
        let fault = {
            let mut data = self.data.lock().unwrap();
            data.streams[stream as usize].begun += 1;
            if let Some(retry_after) = data.outage {
                return Err(Error::Refused { retry_after });
            }
            data.faults.pop_front()
        };
        match fault {
            Some(Fault::Refuse(retry_after)) => return Err(Error::Refused { retry_after }),
            Some(Fault::LoseBefore) => return Err(lost()),
            Some(Fault::LoseAfter) => {
                self.put(stream, records);
                return Err(lost());
            }
            Some(Fault::Hold(free)) => {
                while !free.load(Ordering::SeqCst) {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            None => {}
        }
        Ok(self.put(stream, records))
    }

    async fn read(
        &self,
        stream: Stream,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<Batch, Error> {
        self.data.lock().unwrap().streams[stream as usize].reads += 1;
        tokio::time::sleep(self.delay).await;
        let end = Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            if self.is_cut() {
                return Err(lost());
            }
            let batch = self.batch(stream, from, max)?;
            if !batch.records.is_empty() {
                return Ok(batch);
            }
            if tokio::time::timeout_at(end, changed.changed())
                .await
                .is_err()
            {
                return self.batch(stream, from, max);
            }
        }
    }
}

fn lost() -> Error {
    let reason = "the link is cut".into();
    Error::Lost { reason }
}

fn base() -> Wall {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    Wall::from_millis(u64::try_from(since.as_millis()).unwrap())
}
