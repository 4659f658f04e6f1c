//! The client that sends requests to peers.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use nng::options::protocol::reqrep::ResendTime;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize};
use nng::{Protocol, Socket};
use thiserror::Error;
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout};

use crate::operation::{MAX_MESSAGE_BYTES, Operation};

/// How many requests to one peer may be in flight; an unreachable peer occupies no more than this many.
const MAX_REQUESTS_PER_PEER: usize = 4;
/// How many connections are kept open at most.
const MAX_CONNECTIONS: usize = 128;
/// An unused connection is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The shortest delay before nng reconnects after a lost connection.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// The longest delay before nng reconnects after a lost connection.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);
/// The interval after which nng resends an unanswered request.
const RESEND_INTERVAL: Duration = Duration::from_secs(60);

/// Why a request to a peer failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("no answer from the peer at {addr}: {cause}")]
pub struct PeerError {
    addr: SocketAddr,
    cause: String,
}

#[derive(Debug)]
struct Connection {
    socket: Socket,
    request_permits: Semaphore,
}

#[derive(Debug)]
struct PooledConnection {
    connection: Arc<Connection>,
    last_used: Instant,
}

/// Sends requests to peers; cheap to clone. Connections are opened on demand and closed when idle.
#[derive(Debug, Clone, Default)]
pub struct Client {
    pool: Arc<Mutex<HashMap<SocketAddr, PooledConnection>>>,
}

impl PeerError {
    /// The failure of a request to `addr`, with its cause.
    pub fn new(addr: SocketAddr, cause: impl Into<String>) -> Self {
        Self { addr, cause: cause.into() }
    }
}

/// Sends requests to peers; tests replace the network by an implementation in memory.
#[async_trait]
pub trait Transport: fmt::Debug + Send + Sync {
    /// Sends a request and waits for the response, at most for `limit`.
    async fn request(
        &self,
        addr: SocketAddr,
        message: Bytes,
        limit: Duration,
    ) -> Result<Bytes, PeerError>;
}

#[async_trait]
impl Transport for Client {
    async fn request(
        &self,
        addr: SocketAddr,
        message: Bytes,
        limit: Duration,
    ) -> Result<Bytes, PeerError> {
        Client::request(self, addr, message, limit).await
    }
}

impl Client {
    /// Sends a request and waits for the response, at most for `limit`.
    pub async fn request(
        &self,
        addr: SocketAddr,
        message: Bytes,
        limit: Duration,
    ) -> Result<Bytes, PeerError> {
        let failed = |cause: String| PeerError::new(addr, cause);
        let connection = self.connection(addr).map_err(|error| failed(error.to_string()))?;
        match timeout(limit, connection.request(&message)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => {
                self.discard(addr, &connection);
                Err(failed(error.to_string()))
            }
            Err(_) => {
                self.discard(addr, &connection);
                Err(failed(format!("it took longer than {limit:?}")))
            }
        }
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.lock_pool().len()
    }

    fn lock_pool(&self) -> MutexGuard<'_, HashMap<SocketAddr, PooledConnection>> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connection(&self, addr: SocketAddr) -> nng::Result<Arc<Connection>> {
        let mut pool = self.lock_pool();
        let now = Instant::now();
        let unused = remove_unused(&mut pool, now);
        let connection = match pool.get_mut(&addr) {
            Some(found) => {
                found.last_used = now;
                found.connection.clone()
            }
            None => {
                let connection = Arc::new(Connection::dial(addr)?);
                pool.insert(
                    addr,
                    PooledConnection { connection: connection.clone(), last_used: now },
                );
                connection
            }
        };
        drop(pool);
        drop(unused);
        Ok(connection)
    }

    /// Removes a failed connection from the pool: it may stay silent permanently while a new connection would work.
    fn discard(&self, addr: SocketAddr, failed: &Arc<Connection>) {
        let mut pool = self.lock_pool();
        if pool.get(&addr).is_some_and(|found| Arc::ptr_eq(&found.connection, failed)) {
            pool.remove(&addr);
        }
    }
}

/// Removes the idle connections from the pool, and the least recently used one if the pool is full.
fn remove_unused(
    pool: &mut HashMap<SocketAddr, PooledConnection>,
    now: Instant,
) -> Vec<PooledConnection> {
    let idle = |found: &PooledConnection| now.duration_since(found.last_used) > IDLE_TIMEOUT;
    let mut unused: Vec<PooledConnection> =
        pool.extract_if(|_, found| idle(found)).map(|(_, found)| found).collect();
    if pool.len() >= MAX_CONNECTIONS {
        let oldest = pool.iter().min_by_key(|(_, found)| found.last_used).map(|(addr, _)| *addr);
        unused.extend(oldest.and_then(|addr| pool.remove(&addr)));
    }
    unused
}

impl Connection {
    fn dial(addr: SocketAddr) -> nng::Result<Self> {
        let socket = Socket::new(Protocol::Req0)?;
        socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
        socket.set_opt::<ReconnectMinTime>(Some(MIN_RECONNECT_DELAY))?;
        socket.set_opt::<ReconnectMaxTime>(Some(MAX_RECONNECT_DELAY))?;
        socket.set_opt::<ResendTime>(Some(RESEND_INTERVAL))?;
        socket.dial_async(&format!("tcp://{addr}"))?;
        Ok(Self { socket, request_permits: Semaphore::new(MAX_REQUESTS_PER_PEER) })
    }

    async fn request(&self, message: &[u8]) -> nng::Result<Bytes> {
        let _permit = self.request_permits.acquire().await.map_err(|_| nng::Error::Closed)?;
        let mut operation = Operation::new(&self.socket)?;
        operation.send(message).await?;
        operation.receive().await
    }
}
