//! Counts the bytes between the system's processes and a stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::io::InspectReader;
use tokio_util::task::AbortOnDropHandle;

/// Hands connections on to a stand-in and counts what they carry, both ways together.
pub(crate) struct Meter {
    addr: SocketAddr,
    bytes: Arc<AtomicU64>,
    _task: AbortOnDropHandle<()>,
}

impl Meter {
    /// Takes connections at `addr` and hands them on to `to`.
    pub(crate) async fn start(addr: SocketAddr, to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let bytes = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(serve(listener, to, bytes.clone()));
        Ok(Self { addr, bytes, _task: AbortOnDropHandle::new(task) })
    }

    /// Where it takes connections.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// What was carried so far.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

async fn serve(listener: TcpListener, to: SocketAddr, bytes: Arc<AtomicU64>) {
    let mut connections = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        connections.spawn(carry(near, to, bytes.clone()));
        while connections.try_join_next().is_some() {}
    }
}

async fn carry(near: TcpStream, to: SocketAddr, bytes: Arc<AtomicU64>) -> std::io::Result<()> {
    let far = TcpStream::connect(to).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = one_way(near_read, far_write, &bytes);
    let back = one_way(far_read, near_write, &bytes);
    tokio::try_join!(there, back).map(drop)
}

async fn one_way(
    from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    bytes: &AtomicU64,
) -> std::io::Result<()> {
    let count = |part: &[u8]| {
        bytes.fetch_add(part.len() as u64, Ordering::Relaxed);
    };
    let mut from = InspectReader::new(from, count);
    copy(&mut from, &mut to).await?;
    to.shutdown().await
}
