//! Cache of answers to calls that may not be repeated, for callers that send such a call again.
//!
//! The cache is bounded in bytes and evicts the oldest answers first. A repeated call whose answer
//! was evicted is refused with the information that the call ran.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use pimento_units::Moment;
use pimento_units::id;

/// Estimated bytes of an entry beside its body and content type.
const OVERHEAD: usize = 256;

/// A cached answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Digest of the call.
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

/// The answer cache of a node. Clones share it.
#[derive(Debug, Clone)]
pub struct Cache {
    inner: Arc<Mutex<Inner>>,
}

impl Cache {
    /// A cache of at most `max_bytes` bytes. An insertion evicts answers older than `window`.
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

    /// Caches an answer, unless it alone exceeds the size limit or the request has one already.
    pub fn insert(&self, request: id::Request, answer: Answer, now: Moment) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let size = size(&answer);
        if size > inner.max_bytes {
            return;
        }
        inner.expire(now, size);
        match inner.answers.binary_search_by_key(&request, |(r, _)| *r) {
            Ok(_) => {}
            Err(index) => {
                inner.bytes += size;
                inner.answers.insert(index, (request, answer));
                inner.order.push_back((now, request));
            }
        }
    }

    /// The cached answer to a request.
    #[must_use]
    pub fn get(&self, request: id::Request) -> Option<Answer> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let index = inner.answers.binary_search_by_key(&request, |(r, _)| *r);
        index.ok().map(|index| inner.answers[index].1.clone())
    }

    /// Bytes in use.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.bytes
    }
}

impl Inner {
    /// Evicts answers past the window, and the oldest others until `size` bytes are free.
    fn expire(&mut self, now: Moment, size: usize) {
        while let Some((at, request)) = self.order.front().copied() {
            let full = self.bytes + size > self.max_bytes;
            if !full && now.since(at) <= self.window {
                return;
            }
            self.order.pop_front();
            if let Ok(index) = self.answers.binary_search_by_key(&request, |(r, _)| *r) {
                let (_, evicted) = self.answers.remove(index);
                self.bytes -= self::size(&evicted);
            }
        }
    }
}

fn size(answer: &Answer) -> usize {
    answer.body.len() + answer.content.len() + OVERHEAD
}
