//! A network in memory, whose connections can be refused or fall silent.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use async_trait::async_trait;
use entry::{Dial, Socket};
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};

use super::Agent;

/// How much a connection holds on its way.
const ROOM: usize = 256 << 10;

/// Connects an entry with scripted agents; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Net {
    agents: Arc<Mutex<HashMap<SocketAddr, Agent>>>,
    wires: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
    silent: Arc<AtomicBool>,
    dials: Arc<AtomicUsize>,
    swallowed: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Net {
    /// Adds an agent.
    pub(crate) fn add(&self, agent: &Agent) {
        self.agents.lock().expect("unpoisoned").insert(agent.addr, agent.clone());
    }

    /// Makes all open connections silent for good; new ones work.
    pub(crate) fn silence_open(&self) {
        let wires = self.wires.lock().expect("unpoisoned");
        wires.iter().for_each(|silent| silent.store(true, Ordering::Relaxed));
    }

    /// Makes new connections silent, too, or lets them work.
    pub(crate) fn silence_new(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// Lets no connection to an agent be opened, nor refused.
    pub(crate) fn swallow(&self, agent: &Agent) {
        self.swallowed.lock().expect("unpoisoned").push(agent.addr);
    }

    /// How many connections were opened or tried.
    pub(crate) fn dials(&self) -> usize {
        self.dials.load(Ordering::Relaxed)
    }
}

#[async_trait]
impl Dial for Net {
    async fn dial(&self, addr: SocketAddr) -> io::Result<Box<dyn Socket>> {
        self.dials.fetch_add(1, Ordering::Relaxed);
        if self.swallowed.lock().expect("unpoisoned").contains(&addr) {
            std::future::pending::<()>().await;
        }
        let agent = self.agents.lock().expect("unpoisoned").get(&addr).cloned();
        let agent = agent.filter(|agent| !agent.is_dead());
        let agent = agent.ok_or_else(|| io::Error::from(io::ErrorKind::ConnectionRefused))?;
        let (near, far) = tokio::io::duplex(ROOM);
        tokio::spawn(agent.serve(far));
        let silent = Arc::new(AtomicBool::new(self.silent.load(Ordering::Relaxed)));
        self.wires.lock().expect("unpoisoned").push(silent.clone());
        Ok(Box::new(Wire { near, silent }))
    }
}

/// One end of a connection; once it is silent, nothing arrives and nothing is delivered.
struct Wire {
    near: DuplexStream,
    silent: Arc<AtomicBool>,
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.silent.load(Ordering::Relaxed) {
            return Poll::Pending;
        }
        Pin::new(&mut self.near).poll_read(cx, buf)
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.silent.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.near).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.near).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.near).poll_shutdown(cx)
    }
}
