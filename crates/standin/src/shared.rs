//! State shared by the calls of one stand-in.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// A value behind a mutex. The lock is held only while a closure runs, never across an await.
#[derive(Debug, Default)]
pub struct Shared<T>(Arc<Mutex<T>>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T> Shared<T> {
    /// Shares a value.
    pub fn new(value: T) -> Self {
        Self(Arc::new(Mutex::new(value)))
    }

    /// Runs `work` with the value locked.
    pub fn with<R>(&self, work: impl FnOnce(&mut T) -> R) -> R {
        // The values are plain counters and lists, which stay usable after a panic in another call.
        let mut guard = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        work(&mut guard)
    }
}
