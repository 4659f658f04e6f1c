//! Asking peers.

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

use crate::operation::{MESSAGE_LIMIT, Operation};

/// How many questions to one peer may be under way; a lost peer takes no more than these.
const PER_PEER: usize = 4;
/// How many connections are kept open.
const MAX_PEERS: usize = 128;
/// How long a connection that nobody uses stays open.
const IDLE: Duration = Duration::from_secs(30);
/// The shortest pause before a broken connection is dialled again.
const REDIAL_MIN: Duration = Duration::from_millis(50);
/// The longest pause before a broken connection is dialled again.
const REDIAL_MAX: Duration = Duration::from_secs(1);
/// The pause before nng repeats an unanswered question.
const RESEND: Duration = Duration::from_secs(60);

/// Why a peer gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("no answer from the peer at {addr}: {cause}")]
pub struct PeerError {
    addr: SocketAddr,
    cause: String,
}

#[derive(Debug)]
struct Connection {
    socket: Socket,
    slots: Semaphore,
}

#[derive(Debug)]
struct Open {
    connection: Arc<Connection>,
    used: Instant,
}

/// Asks peers; cheap to clone; connections are opened on demand and closed when idle.
#[derive(Debug, Clone, Default)]
pub struct Client {
    open: Arc<Mutex<HashMap<SocketAddr, Open>>>,
}

impl PeerError {
    /// No answer from a peer, and why.
    pub fn new(addr: SocketAddr, cause: impl Into<String>) -> Self {
        Self { addr, cause: cause.into() }
    }
}

/// The network between peers; tests put one in memory in its place.
#[async_trait]
pub trait Transport: fmt::Debug + Send + Sync {
    /// Sends a message and waits for the answer within the limit.
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
    /// Sends a message and waits for the answer within the limit.
    pub async fn request(
        &self,
        addr: SocketAddr,
        message: Bytes,
        limit: Duration,
    ) -> Result<Bytes, PeerError> {
        let failed = |cause: String| PeerError::new(addr, cause);
        let connection = self.connection(addr).map_err(|error| failed(error.to_string()))?;
        match timeout(limit, connection.request(&message)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => {
                self.forget(addr, &connection);
                Err(failed(error.to_string()))
            }
            Err(_) => {
                self.forget(addr, &connection);
                Err(failed(format!("it took longer than {limit:?}")))
            }
        }
    }

    /// How many connections are open.
    pub fn connections(&self) -> usize {
        self.open().len()
    }

    fn open(&self) -> MutexGuard<'_, HashMap<SocketAddr, Open>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connection(&self, addr: SocketAddr) -> nng::Result<Arc<Connection>> {
        let mut open = self.open();
        let now = Instant::now();
        let unused = close_unused(&mut open, now);
        let connection = match open.get_mut(&addr) {
            Some(found) => {
                found.used = now;
                found.connection.clone()
            }
            None => {
                let connection = Arc::new(Connection::dial(addr)?);
                open.insert(addr, Open { connection: connection.clone(), used: now });
                connection
            }
        };
        drop(open);
        drop(unused);
        Ok(connection)
    }

    /// Drops a connection that failed: it may be silent for good while a new one works.
    fn forget(&self, addr: SocketAddr, failed: &Arc<Connection>) {
        let mut open = self.open();
        if open.get(&addr).is_some_and(|found| Arc::ptr_eq(&found.connection, failed)) {
            open.remove(&addr);
        }
    }
}

/// Takes out the connections that are idle, and the one unused for longest if there are too many.
fn close_unused(open: &mut HashMap<SocketAddr, Open>, now: Instant) -> Vec<Open> {
    let idle = |found: &Open| now.duration_since(found.used) > IDLE;
    let mut unused: Vec<Open> =
        open.extract_if(|_, found| idle(found)).map(|(_, found)| found).collect();
    if open.len() >= MAX_PEERS {
        let oldest = open.iter().min_by_key(|(_, found)| found.used).map(|(addr, _)| *addr);
        unused.extend(oldest.and_then(|addr| open.remove(&addr)));
    }
    unused
}

impl Connection {
    fn dial(addr: SocketAddr) -> nng::Result<Self> {
        let socket = Socket::new(Protocol::Req0)?;
        socket.set_opt::<RecvMaxSize>(MESSAGE_LIMIT)?;
        socket.set_opt::<ReconnectMinTime>(Some(REDIAL_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(REDIAL_MAX))?;
        socket.set_opt::<ResendTime>(Some(RESEND))?;
        socket.dial_async(&format!("tcp://{addr}"))?;
        Ok(Self { socket, slots: Semaphore::new(PER_PEER) })
    }

    async fn request(&self, message: &[u8]) -> nng::Result<Bytes> {
        let _slot = self.slots.acquire().await.map_err(|_| nng::Error::Closed)?;
        let mut operation = Operation::new(&self.socket)?;
        operation.send(message).await?;
        operation.receive().await
    }
}
