//! The network between peers in memory.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use peer::{PeerError, Transport};
use tokio::time::{sleep, timeout};

type Answer = Pin<Box<dyn Future<Output = Bytes> + Send>>;
type Handler = Arc<dyn Fn(Bytes) -> Answer + Send + Sync>;

#[derive(Default)]
struct Core {
    handlers: HashMap<SocketAddr, Handler>,
    lost: HashSet<SocketAddr>,
    delay: Duration,
    asks: u64,
    bytes: u64,
}

/// A network in memory; clones share it.
#[derive(Clone, Default)]
pub struct Net(Arc<Mutex<Core>>);

/// One process's access to the network.
#[derive(Debug, Clone)]
pub struct Port {
    net: Net,
    addr: SocketAddr,
}

impl fmt::Debug for Net {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Net")
    }
}

impl Net {
    fn core(&self) -> MutexGuard<'_, Core> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The access of the process at an address.
    pub fn port(&self, addr: SocketAddr) -> Port {
        Port { net: self.clone(), addr }
    }

    /// Answers what is sent to an address.
    pub fn serve<H, F>(&self, addr: SocketAddr, handler: H)
    where
        H: Fn(Bytes) -> F + Send + Sync + 'static,
        F: Future<Output = Bytes> + Send + 'static,
    {
        let handler: Handler = Arc::new(move |message| Box::pin(handler(message)));
        self.core().handlers.insert(addr, handler);
    }

    /// Ends the process at an address.
    pub fn remove(&self, addr: SocketAddr) {
        self.core().handlers.remove(&addr);
    }

    /// Cuts an address off from all others, or joins it again; nobody gets an error, only silence.
    pub fn cut(&self, addr: SocketAddr, lost: bool) {
        let mut core = self.core();
        if lost {
            core.lost.insert(addr);
        } else {
            core.lost.remove(&addr);
        }
    }

    /// How long a question takes to arrive, and an answer.
    pub fn set_delay(&self, delay: Duration) {
        self.core().delay = delay;
    }

    /// Questions that arrived so far, and the bytes of questions and answers.
    pub fn counters(&self) -> (u64, u64) {
        let core = self.core();
        (core.asks, core.bytes)
    }

    fn reach(&self, from: SocketAddr, to: SocketAddr) -> Result<Option<Handler>, PeerError> {
        let core = self.core();
        if core.lost.contains(&from) || core.lost.contains(&to) {
            return Ok(None);
        }
        let handler = core.handlers.get(&to).cloned();
        handler.map(Some).ok_or_else(|| PeerError::new(to, "nobody listens there"))
    }

    fn count(&self, bytes: u64) {
        let mut core = self.core();
        core.asks += 1;
        core.bytes += bytes;
    }

    async fn carry(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        message: Bytes,
    ) -> Result<Bytes, PeerError> {
        let delay = self.core().delay;
        sleep(delay).await;
        let Some(handler) = self.reach(from, to)? else { return std::future::pending().await };
        let asked = message.len() as u64;
        let answer = handler(message).await;
        self.count(asked + answer.len() as u64);
        sleep(delay).await;
        Ok(answer)
    }
}

#[async_trait]
impl Transport for Port {
    async fn request(
        &self,
        addr: SocketAddr,
        message: Bytes,
        limit: Duration,
    ) -> Result<Bytes, PeerError> {
        let answer = timeout(limit, self.net.carry(self.addr, addr, message)).await;
        answer.unwrap_or_else(|_| Err(PeerError::new(addr, format!("it took over {limit:?}"))))
    }
}
