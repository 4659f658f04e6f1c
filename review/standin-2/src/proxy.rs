//! A proxy before a model server, which keeps one order back and delivers it seconds later.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::world::Failed;

/// An order as it went by.
#[derive(Debug, Clone)]
pub struct SeenOrder {
    pub at: Instant,
    pub body: String,
    /// Whether it got no answer and was delivered later.
    pub kept_back: bool,
    /// What the server answered.
    pub answer: String,
}

/// Passes calls on, but for the order with this number, counted from 1, which gets no answer and is delivered after the delay.
#[derive(Debug, Clone)]
pub struct OrderProxy {
    pub addr: SocketAddr,
    server: SocketAddr,
    late: Option<(u32, Duration)>,
    count: Arc<AtomicU32>,
    orders: Arc<Mutex<Vec<SeenOrder>>>,
}

/// Reads a message with a `Content-Length`; `None` at the end of the connection.
async fn read_message(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let stated =
        head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
    let length: usize = stated.unwrap_or(0);
    while bytes.len() < end + length {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    Some(bytes)
}

async fn forward(server: SocketAddr, message: &[u8]) -> Option<Vec<u8>> {
    let mut stream = TcpStream::connect(server).await.ok()?;
    stream.write_all(message).await.ok()?;
    read_message(&mut stream).await
}

fn first_line(answer: Option<&[u8]>) -> String {
    let text = answer.map(|bytes| String::from_utf8_lossy(bytes).into_owned());
    text.and_then(|text| text.lines().next().map(str::to_owned)).unwrap_or("no answer".to_owned())
}

impl OrderProxy {
    /// Starts the proxy on this IP address.
    pub async fn start(
        ip: IpAddr,
        server: SocketAddr,
        late: Option<(u32, Duration)>,
    ) -> Result<Self, Failed> {
        let listener = TcpListener::bind((ip, 0)).await.map_err(|error| error.to_string())?;
        let addr = listener.local_addr().map_err(|error| error.to_string())?;
        let (count, orders) = Default::default();
        let proxy = Self { addr, server, late, count, orders };
        let serving = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        Ok(proxy)
    }

    /// The orders so far.
    pub fn orders(&self) -> Vec<SeenOrder> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn note(&self, message: &[u8], kept_back: bool, answer: Option<&[u8]>) {
        let text = String::from_utf8_lossy(message);
        let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_owned();
        let seen = SeenOrder { at: Instant::now(), body, kept_back, answer: first_line(answer) };
        self.orders.lock().unwrap_or_else(PoisonError::into_inner).push(seen);
    }

    async fn serve(self, mut stream: TcpStream) {
        while let Some(message) = read_message(&mut stream).await {
            let is_order = message.starts_with(b"POST /-/order ");
            let number = if is_order { self.count.fetch_add(1, Ordering::Relaxed) + 1 } else { 0 };
            if let Some((_, delay)) = self.late.filter(|(late, _)| is_order && *late == number) {
                self.note(&message, true, None);
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let answer = forward(self.server, &message).await;
                    self.note(&message, false, answer.as_deref());
                });
                return;
            }
            let answer = forward(self.server, &message).await;
            if is_order {
                self.note(&message, false, answer.as_deref());
            }
            let Some(answer) = answer else { return };
            if stream.write_all(&answer).await.is_err() {
                return;
            }
        }
    }
}
