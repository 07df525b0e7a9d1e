//! Callers' sockets, which are closed without destroying what was written to them.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::progress::Progress;
use crate::traffic::Traffic;

/// Maximum time for which a socket is read on after the last answer.
const LINGER_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of bytes that are read on after the last answer.
const LINGER_BYTES: usize = 16 << 20;

/// Silence of a caller after which no more bytes are expected.
const SILENCE: Duration = Duration::from_millis(250);

/// The same where nothing is known to be unread. A timer fires after the runtime has polled the kernel,
/// and by then it is known whether bytes have arrived.
const GLANCE: Duration = Duration::from_millis(1);

/// Bytes that are discarded at once.
const DISCARD_BYTES: usize = 16 << 10;

/// A caller's socket that notes its progress.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    progress: Arc<Progress>,
    traffic: Traffic,
    /// Whether the caller has closed its end.
    ended: bool,
    /// Whether our end is shut down.
    shut: bool,
    /// Bytes read since then.
    discarded: usize,
    linger: Option<Linger>,
    /// Maximum time in which the caller takes no byte.
    unread_timeout: Duration,
    /// When the bytes that wait for the caller have been unread for that long.
    unread_end: Option<Pin<Box<Sleep>>>,
}

/// A wait for bytes after the last answer.
#[derive(Debug)]
struct Linger {
    begun: Instant,
    end: Pin<Box<Sleep>>,
}

impl Socket {
    /// Wraps `stream`.
    pub const fn new(
        stream: TcpStream,
        progress: Arc<Progress>,
        traffic: Traffic,
        unread_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            progress,
            traffic,
            ended: false,
            shut: false,
            discarded: 0,
            linger: None,
            unread_timeout,
            unread_end: None,
        }
    }

    /// Gives up a caller that has taken nothing for too long. The reset frees what the kernel holds for it,
    /// and can't be mistaken for the end of the answer.
    fn poll_unread(
        &mut self,
        wrote: Poll<io::Result<usize>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(wrote) = wrote {
            self.unread_end = None;
            return Poll::Ready(wrote.inspect(|bytes| self.traffic.send(*bytes)));
        }
        let timeout = self.unread_timeout;
        let end = self
            .unread_end
            .get_or_insert_with(|| Box::pin(sleep(timeout)));
        ready!(end.as_mut().poll(cx));
        log::info!("server: An answer stayed unread, connection reset.");
        self.progress.cut();
        self.stream.set_zero_linger()?;
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Discards what arrives until the caller closes its end, falls silent or a limit is reached.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut space = [0; DISCARD_BYTES];
        let before = self.discarded;
        while !self.ended && self.discarded < LINGER_BYTES {
            let mut buffer = ReadBuf::new(&mut space);
            if Pin::new(&mut self.stream)
                .poll_read(cx, &mut buffer)?
                .is_pending()
            {
                return self.poll_silence(self.discarded > before, cx);
            }
            let read = buffer.filled().len();
            self.ended = read == 0;
            self.discarded += read;
            self.traffic.receive(read);
        }
        Poll::Ready(Ok(()))
    }

    /// Waits until the caller has been silent for long enough.
    fn poll_silence(&mut self, read: bool, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let unread = self.discarded > 0 || self.progress.unread();
        let silence = if unread { SILENCE } else { GLANCE };
        let linger = self.linger.get_or_insert_with(|| Linger {
            begun: Instant::now(),
            end: Box::pin(sleep(silence)),
        });
        if read {
            let end = (Instant::now() + silence).min(linger.begun + LINGER_PERIOD);
            linger.end.as_mut().reset(end);
        }
        linger.end.as_mut().poll(cx).map(Ok)
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        // A caller of HTTP/1.0 takes the orderly end of its connection for the end of the answer. A
        // reset is no such end.
        if self.progress.looks_complete()
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::warn!("server: A broken-off answer may look complete: {error}.");
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = self.get_mut();
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut socket.stream).poll_read(cx, buffer))?;
        let read = buffer.filled().len() - filled;
        if read > 0 {
            socket.traffic.receive(read);
            socket.progress.read();
        } else {
            socket.ended = true;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let socket = self.get_mut();
        let wrote = Pin::new(&mut socket.stream).poll_write(cx, bytes);
        socket.poll_unread(wrote, cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let socket = self.get_mut();
        let wrote = Pin::new(&mut socket.stream).poll_write_vectored(cx, slices);
        socket.poll_unread(wrote, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = self.get_mut();
        ready!(Pin::new(&mut socket.stream).poll_flush(cx))?;
        socket.progress.flushed();
        Poll::Ready(Ok(()))
    }

    /// Ends the writing side, and reads on where bytes may be left unread: closing a socket with unread
    /// bytes resets the connection, which destroys the part of the last answer that is still on its way.
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = self.get_mut();
        if !socket.shut {
            ready!(Pin::new(&mut socket.stream).poll_shutdown(cx))?;
            socket.shut = true;
            socket.progress.close();
        }
        socket.poll_discard(cx)
    }
}
