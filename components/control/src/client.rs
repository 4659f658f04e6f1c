//! What routers ask.

use std::net::SocketAddr;
use std::time::Duration;

use web::{CallError, Client};

use crate::{
    BorrowRequest, BorrowResponse, CRASHES_PATH, ENGINE_PATH, ENSURE_PATH, EndpointState,
    EngineUpdate, EnsureRequest, EnsureResponse, KeyedRecord, POLL_PATH, PollRequest, PollResponse,
    Position, SNAPSHOT_PATH, Snapshot, TOKENS_PATH,
};

/// What an answer may take beyond the time that the loader was asked to wait.
const PATIENCE: Duration = Duration::from_millis(700);

/// A client of one loader.
#[derive(Debug, Clone)]
pub struct LoaderClient {
    client: Client,
    addr: SocketAddr,
}

impl LoaderClient {
    /// A client of the loader at this address.
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, addr }
    }

    /// Asks for news.
    pub async fn poll(&self, poll: &PollRequest) -> Result<PollResponse, CallError> {
        self.client.post(self.addr, POLL_PATH, poll, poll.wait + PATIENCE).await
    }

    /// Asks for a model.
    pub async fn ensure(&self, ensure: &EnsureRequest) -> Result<EnsureResponse, CallError> {
        self.client.post(self.addr, ENSURE_PATH, ensure, ensure.within + PATIENCE).await
    }

    /// Says what the endpoint can hold.
    pub async fn update_engine(&self, news: &EngineUpdate) -> Result<EndpointState, CallError> {
        self.client.post(self.addr, ENGINE_PATH, news, PATIENCE).await
    }
}

/// Asks another router what it knows beyond a position; `None` if that is nothing.
pub async fn fetch_snapshot(
    client: &Client,
    router: SocketAddr,
    have: Position,
    limit: Duration,
) -> Result<Option<Snapshot>, CallError> {
    client.get_if_any(router, &format!("{SNAPSHOT_PATH}?{have}"), limit).await
}

/// Tells another router of ended endpoints, and returns what it knows.
pub async fn exchange_crash_records(
    client: &Client,
    router: SocketAddr,
    kept: &[KeyedRecord],
    limit: Duration,
) -> Result<Vec<KeyedRecord>, CallError> {
    client.post(router, CRASHES_PATH, &kept, limit).await
}

/// Asks another router for tokens.
pub async fn borrow_tokens(
    client: &Client,
    router: SocketAddr,
    borrow: &BorrowRequest,
    limit: Duration,
) -> Result<BorrowResponse, CallError> {
    client.post(router, TOKENS_PATH, borrow, limit).await
}
