//! Counts of the connections that an abort ends.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;

use crate::progress::Stage;

/// Connections that an abort has ended, by what they were at.
#[derive(Debug, Default)]
pub struct Cuts {
    idle: AtomicUsize,
    reading: AtomicUsize,
    serving: AtomicUsize,
}

impl Cuts {
    /// Counts a connection, unless its last answer has ended.
    pub fn count(&self, stage: Stage) {
        let count = match stage {
            Stage::New | Stage::Idle => &self.idle,
            Stage::Reading => &self.reading,
            Stage::Serving | Stage::Writing => &self.serving,
            Stage::Cut | Stage::Closed => return,
        };
        count.fetch_add(1, Relaxed);
    }

    /// Logs the counts if there are any.
    pub fn log(&self) {
        let idle = self.idle.load(Relaxed);
        let reading = self.reading.load(Relaxed);
        let serving = self.serving.load(Relaxed);
        if idle + reading + serving > 0 {
            log::warn!(idle, reading, serving; "server: Connections aborted.");
        }
    }
}
