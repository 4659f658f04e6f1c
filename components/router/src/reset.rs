//! Connections that are reset instead of closed if their last request may not have reached the endpoint.
//!
//! Load pattern: callers leave because an endpoint hangs or is unreachable. After an ordinary close, the kernel goes on to deliver
//! what the endpoint has not acknowledged, so that their requests would arrive once the endpoint is back. A reset discards them.
//! It is not repeated if it is lost, so an endpoint that has the request is told by an ordinary close.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::pool::{Connection, ConnectionPool};

/// Whether a connection is to be reset when it is dropped, shared with its stream.
#[derive(Debug, Clone, Default)]
pub(crate) struct ResetOnDrop(Arc<AtomicBool>);

/// A request that was written on a connection and has no answer. Dropped before [`UnansweredRequest::finish`], it has the connection
/// reset if the endpoint has sent nothing since.
#[derive(Debug)]
pub(crate) struct UnansweredRequest {
    reset: ResetOnDrop,
    pool: Arc<ConnectionPool>,
    sent_at: Instant,
    finished: bool,
}

impl UnansweredRequest {
    pub(crate) fn new(connection: &Connection, pool: &Arc<ConnectionPool>) -> Self {
        let reset = connection.reset_on_drop.clone();
        Self { reset, pool: pool.clone(), sent_at: Instant::now(), finished: false }
    }

    /// Records that the endpoint has answered.
    pub(crate) fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for UnansweredRequest {
    fn drop(&mut self) {
        let now = Instant::now();
        if !self.finished && self.pool.liveness().quiet(now) >= now - self.sent_at {
            self.reset.0.store(true, Ordering::Relaxed);
        }
    }
}

/// A TCP stream that resets its connection on drop if it is told to.
#[derive(Debug)]
pub(crate) struct ResettableStream {
    stream: TcpStream,
    reset: ResetOnDrop,
}

impl ResettableStream {
    pub(crate) fn new(stream: TcpStream, reset: ResetOnDrop) -> Self {
        Self { stream, reset }
    }

    fn stream(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }
}

impl Drop for ResettableStream {
    fn drop(&mut self) {
        if self.reset.0.load(Ordering::Relaxed)
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::warn!("router: a connection to an endpoint is closed and not reset: {error}");
        }
    }
}

impl AsyncRead for ResettableStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream().poll_read(cx, buf)
    }
}

impl AsyncWrite for ResettableStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(cx)
    }
}
