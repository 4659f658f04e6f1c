//! The connection of a caller, which can be asked whether the caller has closed it.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::{SockRef, Socket};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The connection of a caller; its reading and writing halves share the socket.
#[derive(Debug, Clone)]
pub(crate) struct CallerConnection {
    stream: Arc<TcpStream>,
    /// Counts the bytes that are written to callers.
    sent_bytes: Arc<AtomicU64>,
}

impl CallerConnection {
    pub(crate) fn new(stream: TcpStream, sent_bytes: Arc<AtomicU64>) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream: Arc::new(stream), sent_bytes }
    }

    /// Waits until the caller has sent something, which is not read, or has closed the connection; returns whether it has sent
    /// something.
    pub(crate) async fn wait_for_request(&self) -> io::Result<bool> {
        Ok(self.stream.peek(&mut [0]).await? > 0)
    }

    fn count_sent(&self, written: io::Result<usize>) -> io::Result<usize> {
        let count = written?;
        self.sent_bytes.fetch_add(count as u64, Ordering::Relaxed);
        Ok(count)
    }

    /// Has the connection reset when it is closed.
    pub(crate) fn reset_on_close(&self) {
        if let Err(error) = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO)) {
            log::warn!("router: a connection of a caller is closed and not reset: {error}");
        }
    }

    /// Whether the caller has closed the connection, as the operating system reports it. The async
    /// runtime may know it later: it is notified only once of a request and a close that arrive
    /// together.
    pub(crate) fn is_closed(&self) -> bool {
        let socket = SockRef::from(&*self.stream);
        let mut byte = [MaybeUninit::uninit()];
        match Socket::peek(&socket, &mut byte) {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

impl AsyncRead for CallerConnection {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    buf.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CallerConnection {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(self.count_sent(written)),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(bufs) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(self.count_sent(written)),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}

#[cfg(test)]
mod tests;
