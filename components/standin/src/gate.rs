//! A connection that can go silent: it still takes bytes and never delivers any.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How many bytes of a silent connection are thrown away at a time.
const SINK: usize = 4096;

/// Silences the connections of a server that exist when it is told to; cheap to clone.
#[derive(Debug, Clone, Default)]
pub(crate) struct Silence(Arc<AtomicU64>);

impl Silence {
    fn now(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Silences all connections of the server but one.
    pub(crate) fn all_but(&self, spared: &Age) {
        let now = self.0.fetch_add(1, Ordering::Relaxed) + 1;
        spared.0.store(now, Ordering::Relaxed);
    }
}

/// When a connection was made, counted in silences.
#[derive(Debug, Clone)]
pub(crate) struct Age(Arc<AtomicU64>);

/// A TCP connection under a server's silence.
#[derive(Debug)]
pub(crate) struct Gate {
    stream: TcpStream,
    age: Age,
    silence: Silence,
}

impl Gate {
    pub(crate) fn new(stream: TcpStream, silence: Silence) -> Self {
        let age = Age(Arc::new(AtomicU64::new(silence.now())));
        Self { stream, age, silence }
    }

    pub(crate) fn age(&self) -> Age {
        self.age.clone()
    }

    fn silent(&self) -> bool {
        self.silence.now() > self.age.0.load(Ordering::Relaxed)
    }

    /// Throws away what comes until the other side closes.
    fn sink(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            let mut room = [0; SINK];
            let mut buf = ReadBuf::new(&mut room);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.silent() {
            return self.sink(cx);
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if self.silent() && buf.filled().len() > before {
            buf.set_filled(before);
            return self.sink(cx);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Gate {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// A silent connection does not even say that it ends.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.silent() {
            return self.sink(cx);
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
