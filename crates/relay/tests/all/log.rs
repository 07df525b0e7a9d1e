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

/// Pieces of a long answer.
pub const PIECES: u32 = 10;

/// Bytes of a piece.
const PIECE: usize = 16 << 10;

/// How calls are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    Well,
    /// Every call is refused.
    Down,
    /// No call is answered.
    Silent,
    /// Answers come piece by piece, [`PIECES`] of them, each after this long.
    Long(Duration),
    /// Some pieces come, then nothing more.
    Broken,
    /// Nothing comes for this long, then the whole answer at once.
    Busy(Duration),
}

#[derive(Debug)]
struct State {
    records: Vec<Record>,
    first: u64,
    mood: Mood,
    calls: usize,
    /// Long answers of which something has come.
    coming: usize,
    /// Calls that were made meanwhile.
    overlapping: usize,
}

/// One topic. Clones share it.
#[derive(Debug, Clone)]
pub struct Memory {
    state: Arc<Mutex<State>>,
    appended: Arc<Notify>,
}

impl Memory {
    pub fn new() -> Self {
        let state = State {
            records: Vec::new(),
            first: 0,
            mood: Mood::Well,
            calls: 0,
            coming: 0,
            overlapping: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            appended: Arc::default(),
        }
    }

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

    pub fn set(&self, mood: Mood) {
        self.state.lock().unwrap().mood = mood;
    }

    /// Records before `first` are no longer kept, but for the newest of each key.
    pub fn forget(&self, first: u64) {
        self.state.lock().unwrap().first = first;
    }

    pub fn calls(&self) -> usize {
        self.state.lock().unwrap().calls
    }

    /// Calls that were made while a long answer was coming.
    pub fn overlapping(&self) -> usize {
        self.state.lock().unwrap().overlapping
    }

    async fn answer(&self, progress: &Progress) -> Result<(), Error> {
        let mood = {
            let mut state = self.state.lock().unwrap();
            state.calls += 1;
            state.overlapping += usize::from(state.coming > 0);
            state.mood
        };
        match mood {
            Mood::Well => Ok(()),
            Mood::Down => Err(Error::Refused {
                reason: "down".into(),
            }),
            Mood::Silent => std::future::pending().await,
            Mood::Long(pause) => {
                for piece in 0..PIECES {
                    tokio::time::sleep(pause).await;
                    progress.add(PIECE);
                    self.state.lock().unwrap().coming += usize::from(piece == 0);
                }
                self.state.lock().unwrap().coming -= 1;
                Ok(())
            }
            Mood::Busy(wait) => {
                tokio::time::sleep(wait).await;
                Ok(())
            }
            Mood::Broken => {
                progress.add(PIECE);
                std::future::pending().await
            }
        }
    }

    fn from(&self, from: Offset) -> Result<Batch, Error> {
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

impl Log for Memory {
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
        let batch = self.from(from)?;
        if !batch.records.is_empty() || wait.is_zero() {
            return Ok(batch);
        }
        let _ = tokio::time::timeout(wait, appended).await;
        self.from(from)
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
