//! Lines that wait to be written.

use std::io::Write;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use pimento_units::Moment;

use crate::budget::Budget;
use crate::budget::Priority;

/// Bytes that wait at most, about a thousand lines. The smallest VMs have 88 MB for all.
const MAX_QUEUED_BYTES: usize = 256 << 10;

/// How long lines are gathered before they are written together. Each write is a wake-up of a thread
/// and a system call, and a reader of logs doesn't mind a twentieth of a second.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Bytes that are written at once. A pipe takes so many as one; with more, a line of another process
/// that shares the pipe could come in between.
const MAX_WRITE_BYTES: usize = 4_096;

/// Whole lines, cut into pieces to be written at once. A longer line is a piece by itself.
fn pieces(mut bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let most = bytes.len().min(MAX_WRITE_BYTES);
        let last = bytes[..most].iter().rposition(|byte| *byte == b'\n');
        let end = last.or_else(|| bytes.iter().position(|byte| *byte == b'\n'))?;
        let (piece, rest) = bytes.split_at(end + 1);
        bytes = rest;
        Some(piece)
    })
}

/// Lines that were left out since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Since there were too many.
    pub over_budget: u64,
    /// Since nobody read them in time, or the output failed.
    pub unwritten: u64,
}

impl Dropped {
    const fn sum(self) -> u64 {
        self.over_budget + self.unwritten
    }
}

#[derive(Debug)]
struct State {
    bytes: Vec<u8>,
    budget: Budget,
    dropped: Dropped,
    /// What of it the output was reported.
    reported: u64,
    /// Bytes were taken out and are not written yet.
    writing: bool,
    closed: bool,
}

/// A bounded queue of lines.
#[derive(Debug)]
pub struct Queue {
    state: Mutex<State>,
    filled: Condvar,
    written: Condvar,
}

impl Queue {
    /// An empty one.
    #[must_use]
    pub const fn new(now: Moment) -> Self {
        let state = State {
            bytes: Vec::new(),
            budget: Budget::new(now),
            dropped: Dropped {
                over_budget: 0,
                unwritten: 0,
            },
            reported: 0,
            writing: false,
            closed: false,
        };
        Self {
            state: Mutex::new(state),
            filled: Condvar::new(),
            written: Condvar::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a line may be made now; counts one that may not. Asked before the line is formatted,
    /// which is most of its cost.
    #[must_use]
    pub fn admit(&self, priority: Priority, now: Moment) -> bool {
        let mut state = self.lock();
        if state.bytes.len() >= MAX_QUEUED_BYTES {
            state.dropped.unwritten += 1;
            return false;
        }
        let admitted = state.budget.try_acquire(priority, now);
        if !admitted {
            state.dropped.over_budget += 1;
        }
        admitted
    }

    /// Adds a line, without its end.
    pub fn push(&self, line: &[u8]) {
        let mut state = self.lock();
        if state.bytes.len() + line.len() > MAX_QUEUED_BYTES {
            state.dropped.unwritten += 1;
            return;
        }
        let first = state.bytes.is_empty();
        state.bytes.extend_from_slice(line);
        state.bytes.push(b'\n');
        drop(state);
        if first {
            self.filled.notify_one();
        }
    }

    /// Lines that were left out.
    #[must_use]
    pub fn dropped(&self) -> Dropped {
        self.lock().dropped
    }

    /// Writes lines as they come, until the queue is closed. `missing` makes the line that says how
    /// many are missing.
    pub fn write(&self, mut output: impl Write, missing: impl Fn(u64) -> Vec<u8>) {
        while let Some((bytes, dropped)) = self.take() {
            let mut written = pieces(&bytes).try_for_each(|piece| output.write_all(piece));
            if dropped > 0 {
                let mut line = missing(dropped);
                line.push(b'\n');
                written = written.and_then(|()| output.write_all(&line));
            }
            let written = written.and_then(|()| output.flush());
            let mut state = self.lock();
            if written.is_err() {
                // There is nowhere to say so but in the count.
                let lines = bytes.split(|byte| *byte == b'\n').count() - 1;
                state.dropped.unwritten += lines as u64;
            }
            state.writing = false;
            drop(state);
            self.written.notify_all();
        }
    }

    /// Waits for lines; none once the queue is closed and empty.
    fn take(&self) -> Option<(Vec<u8>, u64)> {
        let mut state = self.lock();
        while state.bytes.is_empty() && !state.closed {
            let waited = self.filled.wait(state);
            state = waited.unwrap_or_else(PoisonError::into_inner);
        }
        if state.bytes.is_empty() {
            return None;
        }
        if !state.closed {
            drop(state);
            std::thread::sleep(WRITE_INTERVAL);
            state = self.lock();
        }
        state.writing = true;
        let dropped = state.dropped.sum() - state.reported;
        state.reported += dropped;
        Some((std::mem::take(&mut state.bytes), dropped))
    }

    /// Ends [`write`](Self::write) once all is written.
    pub fn close(&self) {
        self.lock().closed = true;
        self.filled.notify_one();
    }

    /// Waits until all lines are written, or for `most`. Whether they are.
    pub fn flush(&self, most: Duration) -> bool {
        let until = Instant::now() + most;
        let mut state = self.lock();
        while !state.bytes.is_empty() || state.writing {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let waited = self.written.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }
}
