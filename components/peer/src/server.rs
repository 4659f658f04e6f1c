//! The server of the control socket, which answers requests of peers.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use nng::options::transport::tcp::KeepAlive;
use nng::options::{Options, RecvMaxSize, Url};
use nng::{ListenerBuilder, Protocol, Socket};
use thiserror::Error;
use tokio::sync::watch;

use crate::operation::{MAX_MESSAGE_BYTES, Operation};

/// How many requests are handled at the same time.
const MAX_CONCURRENT_REQUESTS: usize = 16;

/// Why the control socket can't be opened.
#[derive(Debug, Error)]
#[error(
    "cannot listen for control messages on {addr}: {cause}; choose another port or stop the process that has it"
)]
pub struct ServeError {
    addr: SocketAddr,
    cause: String,
}

/// A bound control socket.
#[derive(Debug)]
pub struct Listener {
    socket: Socket,
    listener: nng::Listener,
    addr: SocketAddr,
}

/// Binds a control socket.
pub fn listen(addr: SocketAddr) -> Result<Listener, ServeError> {
    bind(addr).map_err(|error| ServeError { addr, cause: error.to_string() })
}

fn bind(addr: SocketAddr) -> nng::Result<Listener> {
    let socket = Socket::new(Protocol::Rep0)?;
    socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
    let builder = ListenerBuilder::new(&socket, &format!("tcp://{addr}"))?;
    builder.set_opt::<KeepAlive>(true)?;
    let listener = builder.start().map_err(|(_, error)| error)?;
    // The listener's URL has the assigned port; nng's address option returns the port with its bytes swapped.
    let url = listener.get_opt::<Url>()?;
    let bound = url.strip_prefix("tcp://").and_then(|bound| bound.parse().ok());
    let addr = bound.unwrap_or(addr);
    Ok(Listener { socket, listener, addr })
}

impl Listener {
    /// The address of the socket; if port 0 was bound, with the port that was assigned.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Answers requests with the handler until `stop` turns true or its sender is dropped.
    pub fn serve<H, F>(self, stop: watch::Receiver<bool>, handler: H) -> Result<(), ServeError>
    where
        H: Fn(Bytes) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Bytes> + Send + 'static,
    {
        let failed = |error: nng::Error| ServeError { addr: self.addr, cause: error.to_string() };
        let workers = (0..MAX_CONCURRENT_REQUESTS).map(|_| Operation::new(&self.socket));
        let workers = workers.collect::<nng::Result<Vec<_>>>().map_err(failed)?;
        for operation in workers {
            let (stop, handler) = (stop.clone(), handler.clone());
            tokio::spawn(run_worker(operation, stop, handler));
        }
        tokio::spawn(async move {
            stopped(stop).await;
            self.listener.close();
            // The socket closes when the last worker drops its handle.
            drop(self.socket);
        });
        Ok(())
    }
}

async fn stopped(mut stop: watch::Receiver<bool>) {
    // An error means that the sender was dropped, which stops the server as well.
    let _sender_dropped = stop.wait_for(|stop| *stop).await;
}

async fn run_worker<H, F>(operation: Operation, stop: watch::Receiver<bool>, handler: H)
where
    H: Fn(Bytes) -> F,
    F: Future<Output = Bytes>,
{
    tokio::select! {
        () = stopped(stop) => {}
        () = handle_requests(operation, handler) => {}
    }
}

async fn handle_requests<H, F>(mut operation: Operation, handler: H)
where
    H: Fn(Bytes) -> F,
    F: Future<Output = Bytes>,
{
    loop {
        let message = match operation.receive().await {
            Ok(message) => message,
            Err(nng::Error::Closed) => return,
            Err(error) => {
                log::warn!("peer: receiving a request failed: {error}");
                continue;
            }
        };
        let response = handler(message).await;
        if let Err(error) = operation.send(&response).await {
            log::debug!("peer: sending a response failed: {error}");
        }
    }
}

/// Answers requests with the handler until `stop` turns true or its sender is dropped; returns once the socket is
/// bound.
pub async fn serve<H, F>(
    addr: SocketAddr,
    stop: watch::Receiver<bool>,
    handler: H,
) -> Result<(), ServeError>
where
    H: Fn(Bytes) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Bytes> + Send + 'static,
{
    listen(addr)?.serve(stop, handler)
}
