//! Connections to agents: one HTTP/2 connection each, opened on demand, opened anew when it broke or fell silent.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The longest that opening a connection may take.
const DIAL_LIMIT: Duration = Duration::from_secs(1);
/// The pause without a byte after which a connection with open streams is pinged.
const PING_AFTER: Duration = Duration::from_millis(500);
/// The longest wait for a ping's answer before the connection counts as silent.
const PING_LIMIT: Duration = Duration::from_secs(1);
/// Connections with no stream are closed after this time.
const IDLE: Duration = Duration::from_secs(20);
/// What one stream may hold unread; bounds the memory of a caller that does not read.
const STREAM_WINDOW: u32 = 64 << 10;
/// What all streams may hold unread; so large that a stalled stream never stops another.
const CONNECTION_WINDOW: u32 = 1 << 30;

/// A connected socket.
pub trait Socket: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Socket for T {}

/// Opens sockets to agents.
#[async_trait]
pub trait Dial: Send + Sync {
    /// Opens a socket.
    async fn dial(&self, addr: SocketAddr) -> io::Result<Box<dyn Socket>>;
}

/// Opens TCP connections.
#[derive(Debug)]
pub struct TcpDial;

#[async_trait]
impl Dial for TcpDial {
    async fn dial(&self, addr: SocketAddr) -> io::Result<Box<dyn Socket>> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        Ok(Box::new(stream))
    }
}

/// Why a request has no answer.
#[derive(Debug, Error)]
pub(crate) enum SendError {
    /// It certainly was not sent.
    #[error("no connection to {addr}: {cause}")]
    NotSent { addr: SocketAddr, cause: String },
    /// It may have arrived.
    #[error("the connection to {addr} broke: {cause}")]
    Lost { addr: SocketAddr, cause: String },
}

/// The connections of an entry; cheap to clone.
#[derive(Clone)]
pub(crate) struct Links {
    shared: Arc<Shared>,
}

struct Shared {
    dial: Arc<dyn Dial>,
    slots: Mutex<HashMap<SocketAddr, Arc<Slot>>>,
}

/// The place of an agent's connection; its lock is held while one is opened, so that a burst opens one.
#[derive(Default)]
struct Slot {
    open: tokio::sync::Mutex<Option<Open>>,
    /// How many tries to open one have failed.
    failures: AtomicU64,
}

struct Open {
    generation: u64,
    sender: SendRequest<Full<Bytes>>,
    streams: Arc<Streams>,
}

/// The streams of a connection that are open.
struct Streams {
    count: AtomicUsize,
    last: Mutex<Instant>,
}

/// A connection to use for one stream; it counts as open until this is dropped.
pub(crate) struct Line {
    pub(crate) generation: u64,
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    streams: Arc<Streams>,
}

impl Links {
    pub(crate) fn new(dial: Arc<dyn Dial>) -> Self {
        Self { shared: Arc::new(Shared { dial, slots: Mutex::default() }) }
    }

    /// A connection to the agent; not the one of generation `broken` or an earlier one.
    pub(crate) async fn line(
        &self,
        addr: SocketAddr,
        broken: Option<u64>,
    ) -> Result<Line, SendError> {
        let slot = self.shared.slot(addr);
        let failures = slot.failures.load(Ordering::Relaxed);
        let mut open = slot.open.lock().await;
        let usable = open.as_ref().filter(|open| {
            let outlived = broken.is_some_and(|broken| open.generation <= broken);
            !outlived && !open.sender.is_closed()
        });
        if let Some(open) = usable {
            return Ok(open.line(addr));
        }
        if slot.failures.load(Ordering::Relaxed) != failures {
            // Those who waited for a try share its failure: trying one after another would take them too long.
            return Err(SendError::NotSent { addr, cause: "a try just failed".to_owned() });
        }
        let last = open.as_ref().map_or(0, |open| open.generation);
        let generation = last.max(broken.unwrap_or(0)) + 1;
        *open = None;
        let fresh = self.open(addr, generation, Arc::downgrade(&slot)).await;
        let fresh = fresh.inspect_err(|_| {
            slot.failures.fetch_add(1, Ordering::Relaxed);
        })?;
        let line = fresh.line(addr);
        *open = Some(fresh);
        Ok(line)
    }

    /// How many agents have a connection or are being dialled.
    pub(crate) fn count(&self) -> usize {
        self.shared.slots().len()
    }

    async fn open(
        &self,
        addr: SocketAddr,
        generation: u64,
        slot: Weak<Slot>,
    ) -> Result<Open, SendError> {
        let not_sent = |cause: String| SendError::NotSent { addr, cause };
        let dialled = tokio::time::timeout(DIAL_LIMIT, self.shared.dial.dial(addr)).await;
        let socket = dialled
            .map_err(|_| not_sent(format!("not open within {DIAL_LIMIT:?}")))?
            .map_err(|error| not_sent(error.to_string()))?;
        let handshake = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .initial_stream_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .keep_alive_interval(PING_AFTER)
            .keep_alive_timeout(PING_LIMIT)
            .handshake(TokioIo::new(socket))
            .await;
        let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
        let streams =
            Arc::new(Streams { count: AtomicUsize::new(0), last: Mutex::new(Instant::now()) });
        let keeper = Keeper {
            shared: Arc::downgrade(&self.shared),
            slot,
            addr,
            generation,
            streams: streams.clone(),
        };
        tokio::spawn(keeper.keep(connection));
        Ok(Open { generation, sender, streams })
    }
}

impl Shared {
    fn slots(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<Slot>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn slot(&self, addr: SocketAddr) -> Arc<Slot> {
        self.slots().entry(addr).or_default().clone()
    }
}

impl Open {
    fn line(&self, addr: SocketAddr) -> Line {
        self.streams.count.fetch_add(1, Ordering::Relaxed);
        Line {
            generation: self.generation,
            addr,
            sender: self.sender.clone(),
            streams: self.streams.clone(),
        }
    }
}

impl Line {
    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let addr = self.addr;
        if let Err(error) = self.sender.ready().await {
            return Err(SendError::NotSent { addr, cause: error.to_string() });
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let cause = error.into_error().to_string();
                Err(if unsent {
                    SendError::NotSent { addr, cause }
                } else {
                    SendError::Lost { addr, cause }
                })
            }
        }
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        let mut last = self.streams.last.lock().unwrap_or_else(PoisonError::into_inner);
        *last = Instant::now();
        self.streams.count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Streams {
    fn idle(&self) -> bool {
        let last = *self.last.lock().unwrap_or_else(PoisonError::into_inner);
        self.count.load(Ordering::Relaxed) == 0 && last.elapsed() >= IDLE
    }
}

/// Drives one connection and closes it when it is idle.
struct Keeper {
    shared: Weak<Shared>,
    slot: Weak<Slot>,
    addr: SocketAddr,
    generation: u64,
    streams: Arc<Streams>,
}

impl Keeper {
    async fn keep<F>(self, connection: F)
    where
        F: Future<Output = hyper::Result<()>>,
    {
        let mut connection = std::pin::pin!(connection);
        loop {
            tokio::select! {
                ended = connection.as_mut() => {
                    if let Err(error) = ended {
                        log::debug!("link: the connection to {} ended: {error}", self.addr);
                    }
                    break;
                }
                () = tokio::time::sleep(IDLE) => {
                    if self.streams.idle() {
                        self.release().await;
                    }
                }
            }
        }
        self.release().await;
    }

    /// Takes the connection out of its slot, and the slot out of the map where it is empty.
    async fn release(&self) {
        let Some(slot) = self.slot.upgrade() else { return };
        let mut open = slot.open.lock().await;
        if open.as_ref().is_some_and(|open| open.generation == self.generation) {
            *open = None;
        }
        let Some(shared) = self.shared.upgrade() else { return };
        let mut slots = shared.slots();
        // The map and this function hold the slot; anybody else is about to use it.
        if open.is_none() && Arc::strong_count(&slot) == 2 {
            slots.remove(&self.addr);
        }
    }
}
