//! The memory that bodies of callers' requests take together.
//!
//! A body is held until its request is answered. A few dozen of the largest that a configuration allows are more
//! than the memory of a small VM, which ends with all requests at work. So a body that finds no memory waits
//! unread, and its caller's connection with it, until others are answered.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use pimento_units::Memory;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::refusal::Cause;
use crate::refusal::Refusal;

/// Percentage of the memory that bodies take. Each may be copied once while it is written to an endpoint, and the rest is
/// for the program, its views and the answers.
const PERCENT: u64 = 30;

/// Percentage of that for small bodies, which must not wait behind large ones.
const SMALL_PERCENT: u64 = 20;

/// Bodies up to this size are small, in bytes.
const SMALL_BYTES: usize = 64 << 10;

/// Memory is given out in pieces of this size, in bytes.
const PIECE_BYTES: usize = 1 << 10;

/// When callers whose bodies found no memory may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Memory for bodies. Clones share it.
#[derive(Debug, Clone)]
pub struct Bodies {
    small: Budget,
    large: Budget,
}

#[derive(Debug, Clone)]
struct Budget {
    left: Arc<Semaphore>,
    pieces: u32,
}

/// A body with the memory that it takes, which is free again once nobody holds the body.
struct Held {
    bytes: Bytes,
    _memory: Vec<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Budget {
    fn new(bytes: u64) -> Self {
        let pieces = u32::try_from(bytes / PIECE_BYTES as u64).unwrap_or(u32::MAX);
        Self {
            left: Arc::new(Semaphore::new(pieces as usize)),
            pieces,
        }
    }

    /// Waits for memory until `end`. A body that exceeds all of it takes all.
    async fn take(&self, bytes: usize, end: Instant) -> Result<OwnedSemaphorePermit, Refusal> {
        let pieces = u32::try_from(bytes.div_ceil(PIECE_BYTES)).unwrap_or(u32::MAX);
        let taking = Arc::clone(&self.left).acquire_many_owned(pieces.min(self.pieces));
        match tokio::time::timeout_at(end, taking).await {
            Ok(Ok(memory)) => Ok(memory),
            _ => Err(Refusal::new(Cause::Memory).with_retry_after(RETRY_AFTER)),
        }
    }

    fn held_bytes(&self) -> u64 {
        let left = u32::try_from(self.left.available_permits()).unwrap_or(u32::MAX);
        u64::from(self.pieces.saturating_sub(left)) * PIECE_BYTES as u64
    }
}

impl Bodies {
    /// Memory for the bodies of a process that may take `memory`; without a limit if that is unknown.
    #[must_use]
    pub fn new(memory: Option<Memory>) -> Self {
        let all = memory.map_or(u64::MAX, |memory| memory.bytes() / 100 * PERCENT);
        let small = all / 100 * SMALL_PERCENT;
        Self {
            small: Budget::new(small),
            large: Budget::new(all - small),
        }
    }

    /// Bytes that bodies take now.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.small.held_bytes() + self.large.held_bytes()
    }

    /// Reads a body once there is memory for it. A body whose declared length exceeds the limit is refused without
    /// reading it.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the body is too large, incomplete, slow, or finds no memory in time.
    pub async fn read(
        &self,
        mut body: Incoming,
        max_bytes: usize,
        timeout: Duration,
    ) -> Result<Bytes, Refusal> {
        let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if declared > max_bytes {
            return Err(Refusal::new(Cause::LargeBody));
        }
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let end = Instant::now() + timeout;
        let mut reserved = declared.max(PIECE_BYTES);
        let mut memory = vec![self.budget(reserved).take(reserved, end).await?];
        let mut bytes = BytesMut::with_capacity(declared);
        while let Some(frame) = next(&mut body, end).await? {
            if bytes.len() + frame.len() > max_bytes {
                return Err(Refusal::new(Cause::LargeBody));
            }
            if bytes.len() + frame.len() > reserved {
                let more = reserved.max(frame.len());
                memory.push(self.budget(reserved + more).take(more, end).await?);
                reserved += more;
            }
            bytes.extend_from_slice(&frame);
        }
        let held = Held {
            bytes: bytes.freeze(),
            _memory: memory,
        };
        Ok(Bytes::from_owner(held))
    }

    const fn budget(&self, bytes: usize) -> &Budget {
        if bytes <= SMALL_BYTES {
            &self.small
        } else {
            &self.large
        }
    }
}

/// The next part of a body; none at its end.
async fn next(body: &mut Incoming, end: Instant) -> Result<Option<Bytes>, Refusal> {
    loop {
        let frame = tokio::time::timeout_at(end, body.frame()).await;
        match frame.map_err(|_| Refusal::new(Cause::SlowBody))? {
            None => return Ok(None),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
            Some(Err(error)) => {
                log::info!(error:%; "request: Can't read the body.");
                return Err(Refusal::new(Cause::BadBody));
            }
        }
    }
}
