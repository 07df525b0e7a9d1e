//! A log in memory that can be made to fail.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use pimento_progress::Progress;
use pimento_relay::topic::Batch;
use pimento_relay::topic::Error;
use pimento_relay::topic::Log;
use pimento_relay::topic::Record;
use pimento_relay::topic::Topic;
use pimento_units::Offset;
use tokio::sync::Notify;

/// Pieces of a slow answer.
pub const PIECES: u32 = 10;

/// Bytes of a piece.
const PIECE: usize = 16 << 10;

/// How calls are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    Healthy,
    /// Every call is refused.
    Refusing,
    /// No call is answered.
    Silent,
    /// Answers arrive in [`PIECES`] pieces, with this time before each.
    Slow(Duration),
    /// One piece of an answer arrives, then nothing more.
    Stalled,
    /// Nothing arrives for this long, then the whole answer at once.
    Delayed(Duration),
}

#[derive(Debug)]
struct State {
    records: Vec<Record>,
    first: u64,
    behaviour: Behaviour,
    calls: usize,
    /// Slow answers of which a piece has arrived.
    arriving: usize,
    /// Calls that were made while such an answer was arriving.
    overlapping: usize,
}

/// A log with one topic. Clones share it.
#[derive(Debug, Clone)]
pub struct MemoryLog {
    state: Arc<Mutex<State>>,
    appended: Arc<Notify>,
}

impl MemoryLog {
    pub fn new() -> Self {
        let state = State {
            records: Vec::new(),
            first: 0,
            behaviour: Behaviour::Healthy,
            calls: 0,
            arriving: 0,
            overlapping: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            appended: Arc::default(),
        }
    }

    /// Appends a record. Returns the new end of the topic.
    pub fn put(&self, key: &str, value: Option<&str>) -> Offset {
        let mut state = self.state.lock().unwrap();
        let offset = Offset(state.records.len() as u64);
        state.records.push(Record {
            offset,
            key: key.into(),
            value: value.map(|text| Bytes::copy_from_slice(text.as_bytes())),
        });
        drop(state);
        self.appended.notify_waiters();
        offset.next()
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.lock().unwrap().behaviour = behaviour;
    }

    /// Drops the records before `first`, except for the newest of each key.
    pub fn drop_history(&self, first: u64) {
        self.state.lock().unwrap().first = first;
    }

    pub fn calls(&self) -> usize {
        self.state.lock().unwrap().calls
    }

    /// Calls that were made while a slow answer was arriving.
    pub fn overlapping(&self) -> usize {
        self.state.lock().unwrap().overlapping
    }

    async fn answer(&self, progress: &Progress) -> Result<(), Error> {
        let behaviour = {
            let mut state = self.state.lock().unwrap();
            state.calls += 1;
            state.overlapping += usize::from(state.arriving > 0);
            state.behaviour
        };
        match behaviour {
            Behaviour::Healthy => Ok(()),
            Behaviour::Refusing => Err(Error::Refused {
                reason: "down".into(),
            }),
            Behaviour::Silent => std::future::pending().await,
            Behaviour::Slow(pause) => {
                for piece in 0..PIECES {
                    tokio::time::sleep(pause).await;
                    progress.add(PIECE);
                    self.state.lock().unwrap().arriving += usize::from(piece == 0);
                }
                self.state.lock().unwrap().arriving -= 1;
                Ok(())
            }
            Behaviour::Delayed(wait) => {
                tokio::time::sleep(wait).await;
                Ok(())
            }
            Behaviour::Stalled => {
                progress.add(PIECE);
                std::future::pending().await
            }
        }
    }

    fn records_from(&self, from: Offset) -> Result<Batch, Error> {
        let state = self.state.lock().unwrap();
        if from.0 < state.first {
            return Err(Error::Gone {
                oldest: Offset(state.first),
            });
        }
        let records = state.records.iter().filter(|r| r.offset >= from);
        Ok(Batch {
            records: records.cloned().collect(),
            end: Offset(state.records.len() as u64),
        })
    }
}

impl Log for MemoryLog {
    async fn newest(&self, _: Topic, progress: &Progress) -> Result<Batch, Error> {
        self.answer(progress).await?;
        let state = self.state.lock().unwrap();
        let mut records: Vec<Record> = Vec::new();
        for record in &state.records {
            records.retain(|known| known.key != record.key);
            if record.value.is_some() {
                records.push(record.clone());
            }
        }
        Ok(Batch {
            records,
            end: Offset(state.records.len() as u64),
        })
    }

    async fn read(
        &self,
        _: Topic,
        from: Offset,
        wait: Duration,
        progress: &Progress,
    ) -> Result<Batch, Error> {
        self.answer(progress).await?;
        let appended = self.appended.notified();
        let batch = self.records_from(from)?;
        if !batch.records.is_empty() || wait.is_zero() {
            return Ok(batch);
        }
        let _ = tokio::time::timeout(wait, appended).await;
        self.records_from(from)
    }

    async fn append(
        &self,
        _: Topic,
        _: &str,
        _: Bytes,
        _: Option<Offset>,
    ) -> Result<Offset, Error> {
        self.answer(&Progress::default()).await?;
        Ok(Offset::default())
    }
}
