//! HTTP servers: one task per connection; after a stop signal, the requests in flight are finished.

use std::convert::Infallible;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::{Acceptor, Body};

/// How many connections may wait to be accepted.
const MAX_BACKLOG: u32 = 1024;

/// A bound TCP socket that accepts connections.
pub type Listener = TcpListener;

/// Why an address could not be bound.
#[derive(Debug, Error)]
#[error("cannot listen on {addr}: {cause}; choose another port or stop the process that has it")]
pub struct BindError {
    addr: SocketAddr,
    cause: std::io::Error,
}

impl BindError {
    /// Whether the address may be free in a moment: a process that has just ended had it, or the network is not up yet.
    pub fn is_temporary(&self) -> bool {
        matches!(self.cause.kind(), ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable)
    }
}

/// The version of HTTP that a server speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1, for callers and the platform.
    Http1,
    /// HTTP/2 without negotiation (prior knowledge), between processes of the system.
    Http2,
}

/// How a server handles its connections.
#[derive(Debug, Clone, Copy)]
pub struct ServeOptions {
    /// The version of HTTP.
    pub protocol: Protocol,
    /// How long a peer may stay silent. HTTP/1: the timeout for the header of a request. HTTP/2: the pause between
    /// keep-alive pings, and the timeout for their acknowledgement.
    pub peer_timeout: Duration,
    /// HTTP/2: how many streams one connection may have open at the same time.
    pub max_streams: u32,
}

impl Default for ServeOptions {
    fn default() -> Self {
        Self {
            protocol: Protocol::Http1,
            peer_timeout: Duration::from_secs(10),
            max_streams: 10_000,
        }
    }
}

/// Binds an address; port 0 selects any free port.
pub async fn bind(addr: SocketAddr) -> Result<Listener, BindError> {
    TcpListener::bind(addr).await.map_err(|cause| BindError { addr, cause })
}

/// Binds an address for peers that nobody controls: each connection holds no more than `receive_buffer` unread bytes.
pub fn bind_public(addr: SocketAddr, receive_buffer: u32) -> Result<Listener, BindError> {
    let listen = || {
        let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        // Connections have the buffer size of their listener.
        socket.set_recv_buffer_size(receive_buffer)?;
        socket.bind(addr)?;
        socket.listen(MAX_BACKLOG)
    };
    listen().map_err(|cause| BindError { addr, cause })
}

/// Serves until `stop` turns true or its sender is dropped; then finishes the requests in flight and closes all
/// connections.
pub async fn serve<H, F>(
    listener: Listener,
    options: ServeOptions,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let mut listener = Acceptor::new(listener, |error| match error {
        Some(error) => log::warn!("web: accepting connections fails: {error}"),
        None => log::info!("web: connections are accepted again"),
    });
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stopped(&mut stop) => break,
            (stream, peer) = listener.accept() => {
                connections.spawn(serve_connection(stream, peer, options, stop.clone(), handler.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits until the stop signal turns true or its sender is dropped.
pub async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    options: ServeOptions,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let response = handler(request, peer);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let io = TokioIo::new(stream);
    macro_rules! drive {
        ($connection:expr) => {{
            let mut connection = std::pin::pin!($connection);
            let result = tokio::select! {
                result = connection.as_mut() => result,
                () = stopped(&mut stop) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = result {
                log::debug!("web: connection from {peer} failed: {error}");
            }
        }};
    }
    match options.protocol {
        Protocol::Http1 => {
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(options.peer_timeout);
            drive!(builder.serve_connection(io, service));
        }
        Protocol::Http2 => {
            let mut builder = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
            builder
                .timer(TokioTimer::new())
                .keep_alive_interval(options.peer_timeout)
                .keep_alive_timeout(options.peer_timeout)
                .max_concurrent_streams(options.max_streams);
            drive!(builder.serve_connection(io, service));
        }
    }
}
