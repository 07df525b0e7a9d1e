//! Answers kept for callers that ask again for a call that may not be repeated.
//!
//! Bounded in bytes: when full, the oldest answers go first. Whoever asks for one that is gone
//! hears that the call ran, which stays true.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use pimento_units::Moment;
use pimento_units::id;

/// Bytes that an entry costs beside its body.
const OVERHEAD: usize = 256;

/// A kept answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The digest of the call.
    pub digest: u64,
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content: CompactString,
    /// Body.
    pub body: Bytes,
}

#[derive(Debug)]
struct Inner {
    max_bytes: usize,
    window: Duration,
    bytes: usize,
    /// Sorted by request.
    answers: Vec<(id::Request, Answer)>,
    /// Oldest first.
    order: VecDeque<(Moment, id::Request)>,
}

/// The kept answers of a node; clones share them.
#[derive(Debug, Clone)]
pub struct Cache {
    inner: Arc<Mutex<Inner>>,
}

impl Cache {
    /// Keeps at max_bytes `max_bytes` bytes, each answer for `window`.
    #[must_use]
    pub fn new(max_bytes: usize, window: Duration) -> Self {
        let inner = Inner {
            max_bytes,
            window,
            bytes: 0,
            answers: Vec::new(),
            order: VecDeque::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Keeps an answer. One that alone is over the bound is not kept.
    pub fn insert(&self, request: id::Request, answer: Answer, now: Moment) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let size = size(&answer);
        if size > inner.max_bytes {
            return;
        }
        inner.expire(now, size);
        match inner.answers.binary_search_by_key(&request, |(r, _)| *r) {
            Ok(_) => {}
            Err(place) => {
                inner.bytes += size;
                inner.answers.insert(place, (request, answer));
                inner.order.push_back((now, request));
            }
        }
    }

    /// A kept answer.
    #[must_use]
    pub fn get(&self, request: id::Request) -> Option<Answer> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let place = inner.answers.binary_search_by_key(&request, |(r, _)| *r);
        place.ok().map(|place| inner.answers[place].1.clone())
    }

    /// Bytes held.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.bytes
    }
}

impl Inner {
    /// Makes room for `size` bytes and drops what is past its window.
    fn expire(&mut self, now: Moment, size: usize) {
        while let Some((at, request)) = self.order.front().copied() {
            let full = self.bytes + size > self.max_bytes;
            if !full && now.since(at) <= self.window {
                return;
            }
            self.order.pop_front();
            if let Ok(place) = self.answers.binary_search_by_key(&request, |(r, _)| *r) {
                let (_, gone) = self.answers.remove(place);
                self.bytes -= self::size(&gone);
            }
        }
    }
}

fn size(answer: &Answer) -> usize {
    answer.body.len() + answer.content.len() + OVERHEAD
}
