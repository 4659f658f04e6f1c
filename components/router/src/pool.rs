//! Kept connections to one endpoint.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use web::Body;

use crate::liveness::Liveness;
use crate::sent_requests::SentRequests;

/// A connection within a region is made in a few milliseconds; a lost opening packet is sent again after seconds.
const CONNECT: Duration = Duration::from_millis(400);
/// Connections kept to one endpoint at most; those that a burst opened are let go.
const KEPT: usize = 24;

/// A connection that one request uses; dropped before [`ConnectionPool::keep`], it is closed at once.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Body>,
    pub(crate) fresh: bool,
    task: Option<AbortHandle>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

#[derive(Debug)]
struct Kept {
    link: Connection,
    until: Instant,
}

/// Connections to one address.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    addr: SocketAddr,
    kept: Mutex<Vec<Kept>>,
    liveness: Mutex<Liveness>,
    sent_requests: Mutex<SentRequests>,
    /// Whether no connection is kept any more: the endpoint leaves.
    retired: AtomicBool,
}

impl ConnectionPool {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            kept: Mutex::default(),
            liveness: Mutex::new(Liveness::new(Instant::now())),
            sent_requests: Mutex::default(),
            retired: AtomicBool::new(false),
        }
    }

    /// The endpoint's signs of life.
    pub(crate) fn liveness(&self) -> MutexGuard<'_, Liveness> {
        self.liveness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where they lead.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The requests that this life of the endpoint has from this router.
    pub(crate) fn sent_requests(&self) -> MutexGuard<'_, SentRequests> {
        self.sent_requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection: a kept one, or else a new one, made until `until`.
    pub(crate) async fn take(&self, until: Instant) -> io::Result<Connection> {
        if let Some(link) = self.reuse() {
            return Ok(link);
        }
        self.open(until).await
    }

    /// A new connection, made until `until`.
    pub(crate) async fn open(&self, until: Instant) -> io::Result<Connection> {
        let connect = TcpStream::connect(self.addr);
        let stream =
            tokio::time::timeout_at(until.min(Instant::now() + CONNECT), connect)
                .await
                .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "no connection in time"))??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("router: a connection to an endpoint ended: {error}");
            }
        });
        Ok(Connection { sender, fresh: true, task: Some(task.abort_handle()) })
    }

    fn reuse(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.retain(|one| one.until > now && !one.link.sender.is_closed());
        let newest = kept.iter().rposition(|one| one.link.sender.is_ready())?;
        let mut link = kept.swap_remove(newest).link;
        link.fresh = false;
        Some(link)
    }

    /// Closes the connections that no request uses, and keeps none from now on.
    pub(crate) fn retire(&self) {
        self.retired.store(true, Ordering::Relaxed);
        self.kept.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Keeps a connection whose answer has been read whole.
    pub(crate) fn keep(&self, link: Connection, idle: Duration) {
        if link.sender.is_closed() || self.retired.load(Ordering::Relaxed) {
            return;
        }
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.len() < KEPT {
            kept.push(Kept { link, until: Instant::now() + idle });
        }
    }
}
