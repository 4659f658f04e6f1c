//! Connections to one endpoint, kept open for reuse.

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
use units::EndpointIncarnation;
use web::{Body, LimitedStream, MAX_HEAD_BYTES, ReadAllowance};

use crate::liveness::Liveness;
use crate::reset::{ResetOnDrop, ResettableStream};
use crate::sent_requests::SentRequests;

/// The timeout of connecting. Within a region, connecting takes a few milliseconds; a lost SYN packet is sent again only after
/// seconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The most idle connections kept to one endpoint; more, opened by a burst, are closed.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// A connection in use by one request. Dropped before [`ConnectionPool::keep`], it is closed at once.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Body>,
    pub(crate) fresh: bool,
    opened: Instant,
    pub(crate) reset_on_drop: ResetOnDrop,
    /// To be renewed with each head and each part of a body.
    pub(crate) allowance: ReadAllowance,
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
/// An idle connection, which may be reused until `expires_at`.
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// The connections to one address, with what concerns the incarnation of the endpoint behind them.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    addr: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
    liveness: Mutex<Liveness>,
    sent_requests: Mutex<SentRequests>,
    /// The incarnation that was last seen to run, and when the endpoint was asked for it.
    seen: Mutex<Option<(EndpointIncarnation, Instant)>>,
    /// Set when the endpoint is draining: no connection is kept from then on.
    retired: AtomicBool,
}

impl ConnectionPool {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            idle: Mutex::default(),
            liveness: Mutex::new(Liveness::new(Instant::now())),
            sent_requests: Mutex::default(),
            seen: Mutex::default(),
            retired: AtomicBool::new(false),
        }
    }

    /// The endpoint's liveness.
    pub(crate) fn liveness(&self) -> MutexGuard<'_, Liveness> {
        self.liveness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address that the connections lead to.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The requests that this incarnation of the endpoint has from this router.
    pub(crate) fn sent_requests(&self) -> MutexGuard<'_, SentRequests> {
        self.sent_requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an endpoint that was asked at `asked` answered in this incarnation.
    pub(crate) fn record_seen(&self, incarnation: EndpointIncarnation, asked: Instant) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if seen.is_none_or(|(_, last)| last <= asked) {
            *seen = Some((incarnation, asked));
        }
    }

    /// Whether the requests that are sent on a connection from now on reach this incarnation: it has run since the connection was
    /// opened. The connections of an incarnation end with it.
    pub(crate) fn leads_to(
        &self,
        connection: &Connection,
        incarnation: EndpointIncarnation,
    ) -> bool {
        let seen = *self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.is_some_and(|(last, asked)| last == incarnation && asked >= connection.opened)
    }

    /// Takes an idle connection, or else opens one until `until`.
    pub(crate) async fn take(&self, until: Instant) -> io::Result<Connection> {
        if let Some(connection) = self.reuse() {
            return Ok(connection);
        }
        self.open(until).await
    }

    /// Opens a connection until `until`.
    pub(crate) async fn open(&self, until: Instant) -> io::Result<Connection> {
        let connect = TcpStream::connect(self.addr);
        let stream = tokio::time::timeout_at(until.min(Instant::now() + CONNECT_TIMEOUT), connect)
            .await
            .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "connecting timed out"))??;
        let opened = Instant::now();
        stream.set_nodelay(true)?;
        let reset_on_drop = ResetOnDrop::default();
        let stream = ResettableStream::new(stream, reset_on_drop.clone());
        let allowance = ReadAllowance::default();
        let stream = LimitedStream::new(stream, allowance.clone());
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!("router: a connection to an endpoint failed: {error}");
            }
        });
        let task = Some(task.abort_handle());
        Ok(Connection { sender, fresh: true, opened, reset_on_drop, allowance, task })
    }

    fn reuse(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        let newest = idle.iter().rposition(|idle| idle.connection.sender.is_ready())?;
        let mut connection = idle.swap_remove(newest).connection;
        connection.fresh = false;
        Some(connection)
    }

    /// Closes all idle connections, and keeps none from now on.
    pub(crate) fn retire(&self) {
        self.retired.store(true, Ordering::Relaxed);
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Keeps a connection whose answer has been read completely.
    pub(crate) fn keep(&self, connection: Connection, idle_timeout: Duration) {
        if connection.sender.is_closed() || self.retired.load(Ordering::Relaxed) {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection { connection, expires_at: Instant::now() + idle_timeout });
        }
    }
}

#[cfg(test)]
mod tests;
