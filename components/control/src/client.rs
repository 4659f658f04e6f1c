//! What routers ask.

use std::net::SocketAddr;
use std::time::Duration;

use web::{CallError, Client};

use crate::{
    Borrow, ENDS_PATH, ENGINE_PATH, ENSURE_PATH, EngineNews, Ensure, Ensured, Kept, Lent,
    POLL_PATH, Poll, Polled, Position, SNAPSHOT_PATH, Snapshot, State, TOKENS_PATH,
};

/// What an answer may take beyond the time that the loader was asked to wait.
const PATIENCE: Duration = Duration::from_millis(700);

/// A client of one loader.
#[derive(Debug, Clone)]
pub struct Loader {
    client: Client,
    addr: SocketAddr,
}

impl Loader {
    /// A client of the loader at this address.
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, addr }
    }

    /// Asks for news.
    pub async fn poll(&self, poll: &Poll) -> Result<Polled, CallError> {
        self.client.post(self.addr, POLL_PATH, poll, poll.wait + PATIENCE).await
    }

    /// Asks for a model.
    pub async fn ensure(&self, ensure: &Ensure) -> Result<Ensured, CallError> {
        self.client.post(self.addr, ENSURE_PATH, ensure, ensure.within + PATIENCE).await
    }

    /// Says what the endpoint can hold.
    pub async fn engine(&self, news: &EngineNews) -> Result<State, CallError> {
        self.client.post(self.addr, ENGINE_PATH, news, PATIENCE).await
    }
}

/// Asks another router what it knows beyond a position; `None` if that is nothing.
pub async fn ask_snapshot(
    client: &Client,
    router: SocketAddr,
    have: Position,
    limit: Duration,
) -> Result<Option<Snapshot>, CallError> {
    client.get_if_any(router, &format!("{SNAPSHOT_PATH}?{have}"), limit).await
}

/// Tells another router of ended endpoints, and returns what it knows.
pub async fn exchange_ends(
    client: &Client,
    router: SocketAddr,
    kept: &[Kept],
    limit: Duration,
) -> Result<Vec<Kept>, CallError> {
    client.post(router, ENDS_PATH, &kept, limit).await
}

/// Asks another router for tokens.
pub async fn ask_tokens(
    client: &Client,
    router: SocketAddr,
    borrow: &Borrow,
    limit: Duration,
) -> Result<Lent, CallError> {
    client.post(router, TOKENS_PATH, borrow, limit).await
}
