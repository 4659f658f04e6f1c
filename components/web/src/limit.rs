//! Connections on which a peer can't send bytes without an end in place of an answer.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The largest head of a response, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;

/// The most that is read from a connection at once, in bytes. Hyper doubles the buffer of a connection that it fills.
const MAX_READ_BYTES: usize = 4 << 10;

/// How many bytes a connection may deliver without a head or a part of a body coming out of them. Interim responses, chunk sizes
/// and the like cost time, however little memory they take. Up to two reads may be on their way to the reader of a body.
const MAX_FRUITLESS_BYTES: usize = 3 * MAX_HEAD_BYTES;

/// How many bytes may still be read from a connection, shared by its stream and the reader of its responses.
#[derive(Debug, Clone)]
pub struct ReadAllowance(Arc<AtomicUsize>);

impl Default for ReadAllowance {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(MAX_FRUITLESS_BYTES)))
    }
}

impl ReadAllowance {
    /// Renews the allowance: a head or a part of a body has arrived.
    pub fn renew(&self) {
        self.0.store(MAX_FRUITLESS_BYTES, Ordering::Relaxed);
    }
}

/// A stream that fails once its allowance is used up. Each write renews it, because a new request follows.
#[derive(Debug)]
pub struct LimitedStream<S> {
    inner: S,
    allowance: ReadAllowance,
    has_yielded: bool,
}

impl<S> LimitedStream<S> {
    /// Limits what is read from a stream.
    pub fn new(inner: S, allowance: ReadAllowance) -> Self {
        Self { inner, allowance, has_yielded: false }
    }
}

impl Connection for LimitedStream<TcpStream> {
    fn connected(&self) -> Connected {
        // The client attaches the allowance to each response on the connection.
        self.inner.connected().extra(self.allowance.clone())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.allowance.0.load(Ordering::Relaxed);
        if left == 0 {
            let cause = format!("no answer is in the last {MAX_FRUITLESS_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        // Hyper would go through all bytes that have arrived before other tasks run.
        self.has_yielded = left <= MAX_FRUITLESS_BYTES / 2 && !self.has_yielded;
        if self.has_yielded {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let size = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(size));
        ready!(Pin::new(&mut self.inner).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        buf.advance(count);
        self.allowance.0.store(left.saturating_sub(count), Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.allowance.renew();
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.allowance.renew();
        Pin::new(&mut self.inner).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
