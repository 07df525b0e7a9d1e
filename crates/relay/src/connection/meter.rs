//! Limits what an endpoint sends without any content: heads, interim responses, the framing of chunks and
//! trailers.
//!
//! `hyper` limits a head, the extensions of chunks and trailers, but no number of interim responses, no leading
//! zeros of a chunk's length and no time. An endpoint that sends these for ever would keep its caller until the
//! deadline and the VM busy.

use std::future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use pimento_serve::traffic::Traffic;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum number of bytes received without a byte of content being taken, in bytes. `hyper` holds up to three
/// buffers of [`super::MAX_HEAD_BYTES`] while a caller does not read, which must not count as a failure.
pub const MAX_BYTES_WITHOUT_CONTENT: usize = 256 << 10;

/// Maximum time from the first byte of a head to its end. A head is sent at once; the time allows for several
/// retransmissions.
pub const MAX_HEAD_TIME: Duration = Duration::from_secs(4);

/// What was received on a connection. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    without_content: Arc<AtomicUsize>,
    /// When the first byte of the present head was received.
    head_begun: Arc<watch::Sender<Option<Instant>>>,
}

impl Meter {
    /// Records that content was taken.
    pub fn content_taken(&self) {
        self.without_content.store(0, Ordering::Relaxed);
    }

    /// Records that a head was an interim response. The next one may come much later.
    pub fn head_was_interim(&self) {
        self.head_begun.send_replace(None);
    }

    /// Waits until a head is incomplete [`MAX_HEAD_TIME`] after its first byte.
    pub async fn head_overdue(&self) {
        let mut begun = self.head_begun.subscribe();
        loop {
            let since = *begun.borrow_and_update();
            let overdue = async {
                match since {
                    Some(since) => tokio::time::sleep_until(since + MAX_HEAD_TIME).await,
                    None => future::pending().await,
                }
            };
            tokio::select! {
                () = overdue => return,
                // The sender is in `self`.
                _ = begun.changed() => {}
            }
        }
    }

    fn received(&self, bytes: usize) -> io::Result<()> {
        let begin = |begun: &mut Option<Instant>| {
            let first = begun.is_none();
            begun.get_or_insert_with(Instant::now);
            first
        };
        self.head_begun.send_if_modified(begin);
        let before = self.without_content.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes > MAX_BYTES_WITHOUT_CONTENT {
            let reason = "too many bytes without content";
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        Ok(())
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub struct Metered<S> {
    inner: S,
    meter: Meter,
    traffic: Traffic,
}

impl<S> Metered<S> {
    /// Counts what is received without content in `meter`, and all bytes in `traffic`.
    pub const fn new(inner: S, meter: Meter, traffic: Traffic) -> Self {
        Self {
            inner,
            meter,
            traffic,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buffer))?;
        let received = buffer.filled().len() - before;
        self.traffic.receive(received);
        Poll::Ready(if received == 0 {
            Ok(())
        } else {
            self.meter.received(received)
        })
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, bytes))?;
        self.traffic.send(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write_vectored(cx, slices))?;
        self.traffic.send(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
