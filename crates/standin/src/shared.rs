//! State that the calls of one stand-in share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// A value behind a lock that is held for one closure at a time and never across an await.
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

    /// Runs `work` on the value.
    pub fn with<R>(&self, work: impl FnOnce(&mut T) -> R) -> R {
        // A panic of another call leaves plain counters and lists behind, which stay usable.
        let mut guard = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        work(&mut guard)
    }
}
