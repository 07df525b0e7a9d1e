//! The queue of lines that are waiting to be written.

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

/// Maximum size of the queue in bytes, about a thousand lines. The smallest VMs have 88 MB of
/// memory in total.
const MAX_QUEUED_BYTES: usize = 256 << 10;

/// How long lines are collected before they are written together. Each write costs a thread wake-up
/// and a system call, and a delay of 50 ms does not matter to readers of logs.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum size of one write in bytes. Writes of up to this size to a pipe are atomic. A larger one
/// could be interleaved with lines of another process that shares the pipe.
const MAX_WRITE_BYTES: usize = 4_096;

/// Splits `bytes` into pieces of whole lines, each to be written at once. A line that is longer than
/// [`MAX_WRITE_BYTES`] is a piece by itself.
fn pieces(mut bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let max = bytes.len().min(MAX_WRITE_BYTES);
        let last = bytes[..max].iter().rposition(|byte| *byte == b'\n');
        let end = last.or_else(|| bytes.iter().position(|byte| *byte == b'\n'))?;
        let (piece, rest) = bytes.split_at(end + 1);
        bytes = rest;
        Some(piece)
    })
}

/// Numbers of lines dropped since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Lines beyond the budget.
    pub over_budget: u64,
    /// Lines that were not written because the queue was full or the output failed.
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
    /// How many dropped lines have been reported in the output.
    reported: u64,
    /// Whether bytes have been taken from the queue and are not written yet.
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
    /// An empty queue.
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

    /// Takes a line from the budget and returns whether it may be added; counts it as dropped
    /// otherwise. Called before the line is formatted, which is most of its cost.
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

    /// Adds a line, which is given without its newline.
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

    /// Numbers of lines dropped so far.
    #[must_use]
    pub fn dropped(&self) -> Dropped {
        self.lock().dropped
    }

    /// Writes queued lines to `output` until the queue is closed and empty. `missing` formats the line
    /// that states how many lines were dropped.
    pub fn write(&self, mut output: impl Write, missing: impl Fn(u64) -> Vec<u8>) {
        while let Some((bytes, dropped)) = self.next_write() {
            let mut written = pieces(&bytes).try_for_each(|piece| output.write_all(piece));
            if dropped > 0 {
                let mut line = missing(dropped);
                line.push(b'\n');
                written = written.and_then(|()| output.write_all(&line));
            }
            let written = written.and_then(|()| output.flush());
            let mut state = self.lock();
            if written.is_err() {
                // The failure can only be reported in the count.
                let lines = bytes.split(|byte| *byte == b'\n').count() - 1;
                state.dropped.unwritten += lines as u64;
            }
            state.writing = false;
            drop(state);
            self.written.notify_all();
        }
    }

    /// Waits for lines, then for [`WRITE_INTERVAL`], and removes all lines to write them. Also returns how
    /// many dropped lines to report. Returns `None` once the queue is closed and empty.
    fn next_write(&self) -> Option<(Vec<u8>, u64)> {
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

    /// Makes [`write`](Self::write) return once all lines are written.
    pub fn close(&self) {
        self.lock().closed = true;
        self.filled.notify_one();
    }

    /// Waits until all lines are written, at most for `timeout`. Returns whether they are.
    pub fn flush(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        while !state.bytes.is_empty() || state.writing {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            let waited = self.written.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }
}
