//! Client functions with which routers call loaders and other routers.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use mirror::{Updates, UpdatesRequest};
use web::{CallError, Client};

use crate::{
    BorrowRequest, BorrowResponse, CRASHES_PATH, ENGINE_PATH, ENSURE_PATH, EndpointState,
    EngineUpdate, EnsureRequest, EnsureResponse, GRANT_PATH, GrantRequest, GrantResponse,
    INCARNATIONS_PATH, IncarnationsAnswer, IncarnationsQuery, KeyedRecord, LEASES_PATH,
    LeaseRelease, MAX_ORIGIN_RECORDS, ORIGIN_PATH, ORIGINS_PATH, OriginAnswer, OriginQuery,
    OriginRecord, POLL_PATH, PollRequest, PollResponse, Position, SNAPSHOT_PATH, Snapshot,
    TOKENS_PATH, UPDATES_PATH,
};

/// The timeout of asking to send a request to an endpoint with a rate limit, which is answered at once.
const GRANT_TIMEOUT: Duration = Duration::from_millis(150);
/// The time that a response may take beyond the time that the loader was asked to wait.
const RESPONSE_MARGIN: Duration = Duration::from_millis(700);

/// The largest answer that concerns one endpoint, stream or workspace, in bytes.
const MAX_ANSWER_BYTES: usize = 256 << 10;
/// The largest answer with records of the store, in bytes: a loader passes on one page of them.
const MAX_UPDATES_BYTES: usize = 2 << 20;
/// The largest [`Snapshot`], in bytes: 2,600 endpoints, each with 6 KB of names of the models and adapters that it holds.
const MAX_SNAPSHOT_BYTES: usize = 16 << 20;
/// The largest list of crash records that routers send each other, in bytes: 64 records with 64 KB of digests each.
pub const MAX_CRASH_RECORDS_BYTES: usize = 4 << 20;

/// A client of one loader.
#[derive(Debug, Clone)]
pub struct LoaderClient {
    client: Client,
    addr: SocketAddr,
}

impl LoaderClient {
    /// Creates a client of the loader at this address.
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client: client.with_max_response(MAX_ANSWER_BYTES), addr }
    }

    /// Polls the state of the endpoint.
    pub async fn poll(&self, poll: &PollRequest) -> Result<PollResponse, CallError> {
        self.client.post(self.addr, POLL_PATH, poll, poll.wait + RESPONSE_MARGIN).await
    }

    /// Asks the loader to load a model.
    pub async fn ensure(&self, ensure: &EnsureRequest) -> Result<EnsureResponse, CallError> {
        self.client.post(self.addr, ENSURE_PATH, ensure, ensure.within + RESPONSE_MARGIN).await
    }

    /// Sends the engine specification, which says what the endpoint can hold.
    pub async fn update_engine(&self, update: &EngineUpdate) -> Result<EndpointState, CallError> {
        self.client.post(self.addr, ENGINE_PATH, update, RESPONSE_MARGIN).await
    }

    /// Tells the loader where streams began, in as many messages as it takes. The timeout `limit` holds for each of them.
    pub async fn tell_origins(
        &self,
        records: &[OriginRecord],
        limit: Duration,
    ) -> Result<(), CallError> {
        let addr = self.addr;
        for part in records.chunks(MAX_ORIGIN_RECORDS) {
            let (status, bytes) = self.client.post_raw(addr, ORIGINS_PATH, &part, limit).await?;
            if !status.is_success() {
                return Err(CallError::status(addr, status, &bytes));
            }
        }
        Ok(())
    }

    /// Asks the loader where a stream began.
    pub async fn find_origin(
        &self,
        query: &OriginQuery,
        limit: Duration,
    ) -> Result<OriginAnswer, CallError> {
        self.client.post(self.addr, ORIGIN_PATH, query, limit).await
    }

    /// Asks the loader in which incarnations it has seen its endpoint.
    pub async fn incarnations(
        &self,
        query: &IncarnationsQuery,
        limit: Duration,
    ) -> Result<IncarnationsAnswer, CallError> {
        self.client.post(self.addr, INCARNATIONS_PATH, query, limit).await
    }

    /// Asks for the records of a topic of the store; `None` if the loader does not have those that are asked for.
    pub async fn updates(
        &self,
        request: &UpdatesRequest,
        limit: Duration,
    ) -> Result<Option<Updates>, CallError> {
        let addr = self.addr;
        let client = self.client.with_max_response(MAX_UPDATES_BYTES);
        let (status, bytes) = client.post_raw(addr, UPDATES_PATH, request, limit).await?;
        match status {
            StatusCode::OK => {
                Updates::decode(bytes).map(Some).map_err(|error| CallError::invalid(addr, &error))
            }
            StatusCode::GONE => Ok(None),
            status => Err(CallError::status(addr, status, &bytes)),
        }
    }
}

/// A client for the long answers of other routers. They have memory of their own: a router may ask all others at once.
#[derive(Debug, Clone)]
pub struct RouterClient(Client);

impl RouterClient {
    /// Creates a client that shares its connections with another one.
    pub fn new(client: &Client) -> Self {
        Self(client.with_own_budget(MAX_SNAPSHOT_BYTES))
    }

    /// Fetches from another router what it has read from the store beyond a position; `None` if it has read nothing newer.
    pub async fn fetch_snapshot(
        &self,
        router: SocketAddr,
        position: Position,
        limit: Duration,
    ) -> Result<Option<Snapshot>, CallError> {
        let client = self.0.with_max_response(MAX_SNAPSHOT_BYTES);
        client.get_if_any(router, &format!("{SNAPSHOT_PATH}?{position}"), limit).await
    }

    /// Sends crash records to another router, and returns the records that the other router has.
    pub async fn exchange_crash_records(
        &self,
        router: SocketAddr,
        records: &[KeyedRecord],
        limit: Duration,
    ) -> Result<Vec<KeyedRecord>, CallError> {
        let client = self.0.with_max_response(MAX_CRASH_RECORDS_BYTES);
        client.post(router, CRASHES_PATH, &records, limit).await
    }
}

/// Asks the loader or the router at this address to send one request to an endpoint with a rate limit.
pub async fn request_grant(
    client: &Client,
    addr: SocketAddr,
    grant: &GrantRequest,
) -> Result<GrantResponse, CallError> {
    client.with_max_response(MAX_ANSWER_BYTES).post(addr, GRANT_PATH, grant, GRANT_TIMEOUT).await
}

/// Asks another router to lend tokens of a workspace.
pub async fn borrow_tokens(
    client: &Client,
    router: SocketAddr,
    borrow: &BorrowRequest,
    limit: Duration,
) -> Result<BorrowResponse, CallError> {
    client.with_max_response(MAX_ANSWER_BYTES).post(router, TOKENS_PATH, borrow, limit).await
}

/// Asks another router to drop the leases of a share whose owner has restarted.
pub async fn release_leases(
    client: &Client,
    router: SocketAddr,
    release: &LeaseRelease,
    limit: Duration,
) -> Result<LeaseRelease, CallError> {
    client.with_max_response(MAX_ANSWER_BYTES).post(router, LEASES_PATH, release, limit).await
}

#[cfg(test)]
mod tests;
