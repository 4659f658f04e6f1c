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

use crate::runs::Runs;
use crate::signs::Signs;

/// A connection within a region is made in a few milliseconds; a lost opening packet is sent again after seconds.
const CONNECT: Duration = Duration::from_millis(400);
/// Connections kept to one endpoint at most; those that a burst opened are let go.
const KEPT: usize = 24;

/// A connection that one request uses; dropped before [`Pool::keep`], it is closed at once.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) sender: SendRequest<Body>,
    pub(crate) fresh: bool,
    task: Option<AbortHandle>,
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

#[derive(Debug)]
struct Kept {
    link: Link,
    until: Instant,
}

/// Connections to one address.
#[derive(Debug)]
pub(crate) struct Pool {
    addr: SocketAddr,
    kept: Mutex<Vec<Kept>>,
    signs: Mutex<Signs>,
    runs: Mutex<Runs>,
    /// Whether no connection is kept any more: the endpoint leaves.
    retired: AtomicBool,
}

impl Pool {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            kept: Mutex::default(),
            signs: Mutex::new(Signs::new(Instant::now())),
            runs: Mutex::default(),
            retired: AtomicBool::new(false),
        }
    }

    /// The endpoint's signs of life.
    pub(crate) fn signs(&self) -> MutexGuard<'_, Signs> {
        self.signs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where they lead.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The requests that this life of the endpoint has from this router.
    pub(crate) fn runs(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection: a kept one, or else a new one, made until `until`.
    pub(crate) async fn take(&self, until: Instant) -> io::Result<Link> {
        if let Some(link) = self.reuse() {
            return Ok(link);
        }
        self.open(until).await
    }

    /// A new connection, made until `until`.
    pub(crate) async fn open(&self, until: Instant) -> io::Result<Link> {
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
        Ok(Link { sender, fresh: true, task: Some(task.abort_handle()) })
    }

    fn reuse(&self) -> Option<Link> {
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
    pub(crate) fn keep(&self, link: Link, idle: Duration) {
        if link.sender.is_closed() || self.retired.load(Ordering::Relaxed) {
            return;
        }
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.len() < KEPT {
            kept.push(Kept { link, until: Instant::now() + idle });
        }
    }
}
