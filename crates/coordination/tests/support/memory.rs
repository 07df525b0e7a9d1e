//! A log in memory with faults.

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

/// What happens to one append.
#[derive(Debug, Clone)]
pub enum Fault {
    /// It is refused before it does anything.
    Refuse(Duration),
    /// It does nothing, and no answer comes.
    LoseBefore,
    /// It takes effect, and no answer comes.
    LoseAfter,
    /// It takes effect only after the flag is set.
    Hold(Arc<AtomicBool>),
}

/// A log in memory. Clones are links to one log; each can be cut for itself.
#[derive(Debug)]
pub struct Memory {
    data: Arc<Mutex<Data>>,
    changed: watch::Sender<u64>,
    cut: Arc<AtomicBool>,
    /// The log's clock runs with tokio's, so that a test may pause it.
    start: Instant,
    base: Wall,
    /// How long a read takes.
    delay: Duration,
}

#[derive(Debug, Default)]
struct Data {
    streams: [Kept; Stream::ALL.len()],
    faults: VecDeque<Fault>,
    outage: Option<Duration>,
}

#[derive(Debug, Default)]
struct Kept {
    oldest: u64,
    records: VecDeque<Entry>,
    appends: Vec<usize>,
    begun: u64,
    reads: u64,
}

impl Kept {
    fn end(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }
}

impl Clone for Memory {
    /// The same link: a cut of one is a cut of both.
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

    /// Cuts or heals this link: while cut, calls are lost after a moment.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        self.wake();
    }

    /// Starts or ends an outage that the log announces.
    pub fn outage(&self, after: Option<Duration>) {
        self.data.lock().unwrap().outage = after;
        self.wake();
    }

    /// Lines up faults for the next appends.
    pub fn faults(&self, faults: impl IntoIterator<Item = Fault>) {
        self.data.lock().unwrap().faults.extend(faults);
    }

    /// Drops records before `oldest`.
    pub fn retain(&self, stream: Stream, oldest: Offset) {
        let mut data = self.data.lock().unwrap();
        let kept = &mut data.streams[stream as usize];
        while kept.oldest < oldest.0 {
            kept.records.pop_front();
            kept.oldest += 1;
        }
    }

    /// The records kept.
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

    /// The number of appends begun, with or without effect.
    pub fn begun(&self, stream: Stream) -> u64 {
        self.data.lock().unwrap().streams[stream as usize].begun
    }

    /// The number of reads begun.
    pub fn reads(&self, stream: Stream) -> u64 {
        self.data.lock().unwrap().streams[stream as usize].reads
    }

    /// Appends without faults, as another writer would.
    pub fn put(&self, stream: Stream, records: impl IntoIterator<Item = String>) -> Offset {
        let at = self.now();
        let mut data = self.data.lock().unwrap();
        let kept = &mut data.streams[stream as usize];
        let first = Offset(kept.end());
        let mut count = 0;
        for record in records {
            let offset = Offset(kept.end());
            kept.records.push_back(Entry { offset, at, record });
            count += 1;
        }
        kept.appends.push(count);
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

    fn look(&self, stream: Stream, from: Offset, max: usize) -> Result<Batch, Error> {
        let data = self.data.lock().unwrap();
        if let Some(after) = data.outage {
            return Err(Error::Refused { retry_after: after });
        }
        let kept = &data.streams[stream as usize];
        if from.0 < kept.oldest {
            let oldest = Offset(kept.oldest);
            return Err(Error::Gone { oldest });
        }
        let newer = kept.records.iter().filter(|entry| entry.offset >= from);
        let records: Vec<Entry> = newer.take(max).cloned().collect();
        let next = records.last().map_or(from, |entry| entry.offset.next());
        Ok(Batch {
            records,
            next,
            end: Offset(kept.end()),
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
            if let Some(after) = data.outage {
                return Err(Error::Refused { retry_after: after });
            }
            data.faults.pop_front()
        };
        match fault {
            Some(Fault::Refuse(after)) => return Err(Error::Refused { retry_after: after }),
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
            let batch = self.look(stream, from, max)?;
            if !batch.records.is_empty() {
                return Ok(batch);
            }
            if tokio::time::timeout_at(end, changed.changed())
                .await
                .is_err()
            {
                return self.look(stream, from, max);
            }
        }
    }
}

fn lost() -> Error {
    let reason = "cut".into();
    Error::Lost { reason }
}

fn base() -> Wall {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    Wall::from_millis(u64::try_from(since.as_millis()).unwrap())
}
