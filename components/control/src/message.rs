//! The messages and the paths to which they are sent.

use std::fmt;
use std::time::Duration;

use catalog::{Catalog, Engine, Limit, ModelId};
use fleet::{Endpoint, Holdings};
use quarantine::{Digest, Evidence, QuarantineRecord, SuspectKind};
use serde::{Deserialize, Serialize};
use units::{
    EndpointId, EndpointIncarnation, Era, ModelName, Rate, Revision, ServiceName, SoftwareVersion,
    StorePosition, WorkspaceName,
};

use crate::demand::{ModelRate, QueueSummary, StepTime};
use crate::promise::{LeasedShare, ShareRequest, TokenClaim, TokenRetry};

/// The path at which a loader answers polls for the state of its endpoint.
pub const POLL_PATH: &str = "/poll";
/// The path at which a loader accepts requests to load a model.
pub const ENSURE_PATH: &str = "/ensure";
/// The path at which a loader accepts the engine specification of its service.
pub const ENGINE_PATH: &str = "/engine";

/// The path at which a loader answers an [`mirror::UpdatesRequest`] with encoded [`mirror::Updates`].
pub const UPDATES_PATH: &str = "/updates";

/// How a router uses one model of the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelUse {
    /// The model.
    pub model: ModelName,
    /// Requests started since the previous poll.
    pub begun: u32,
    /// Requests running now.
    pub running: u32,
}

/// A router polls for the state of an endpoint, and reports which models it uses there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// The instance name of the router.
    pub router: String,
    /// The id of the endpoint in the platform's list.
    pub endpoint: EndpointId,
    /// The incarnation of the endpoint that the router uses, if it knows one.
    #[serde(default)]
    #[serde(rename = "life")]
    pub incarnation: Option<EndpointIncarnation>,
    /// The store era that the router knows. A loader that does not call the store would not notice otherwise that the store
    /// was restored from an older copy.
    #[serde(default)]
    pub era: Era,
    /// The version of the newest state that the router has; 0 if none.
    pub seen: u64,
    /// How long the loader waits for a newer state before it answers.
    #[serde(with = "fleet::millis")]
    pub wait: Duration,
    /// The models that the router uses.
    pub uses: Vec<ModelUse>,
    /// The time between events of streams that passed through the router since its previous poll.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<StepTime>,
    /// Whether the router uses [`EndpointState::rates`]; a loader publishes them only while a router does.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub rates: bool,
}

/// The state of an endpoint, as its loader reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointState {
    /// The version of this state.
    pub version: u64,
    /// The endpoint, if the loader knows its id.
    pub endpoint: Option<EndpointId>,
    /// The incarnation of the endpoint, if the endpoint reports it.
    #[serde(default)]
    #[serde(rename = "life")]
    pub incarnation: Option<EndpointIncarnation>,
    /// The models and copies of weights that the endpoint holds.
    pub holdings: Holdings,
    /// How busy the endpoint is.
    #[serde(flatten)]
    pub load: EndpointLoad,
    /// How long it is expected to take until there is room for one more model.
    #[serde(with = "fleet::millis")]
    #[serde(rename = "room")]
    pub room_wait: Duration,
    /// Whether the loader can give orders to the endpoint.
    #[serde(rename = "able")]
    pub can_order: bool,
    /// Whether the endpoint reports that it is draining and takes no new requests.
    #[serde(default)]
    pub draining: bool,
    /// The requests per second that the endpoint takes from all routers together, if it announces a limit.
    #[serde(default)]
    pub rate_limit: Option<Rate>,
    /// The version of the configuration that the loader's engine specification is from; 0 if the loader has none.
    #[serde(rename = "engine")]
    pub engine_version: Revision,
    /// The time between events of streams, by model, as measured by all routers in this incarnation of the endpoint.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<StepTime>,
    /// Requests per second of all routers for each model that the endpoint holds; empty while no router uses them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rates: Vec<ModelRate>,
}

/// How busy an endpoint is. These numbers change all the time and are part of every answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Models that wait to be loaded.
    pub waiting: u32,
    /// Requests running on the endpoint, as far as routers have reported them.
    pub running: u32,
    /// Routers that poll the loader.
    pub routers: u32,
}

/// The response to a [`PollRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PollResponse {
    /// A newer state.
    #[serde(rename = "news")]
    Changed(Box<EndpointState>),
    /// No newer state, only how busy the endpoint is. The whole state is ten times as long, and with thousands of pairs of
    /// routers and loaders most responses have nothing else to report.
    #[serde(rename = "same")]
    Unchanged(EndpointLoad),
}

/// A router asks a loader to load a model, together with an adapter if the target names one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EnsureRequest {
    /// The instance name of the router.
    pub router: String,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The model, or the model and the adapter, to load.
    pub target: ModelId,
    /// How long the router waits for the load.
    #[serde(with = "fleet::millis")]
    pub within: Duration,
    /// Requests that wait for the model at the router; 0 if the model is loaded in advance.
    pub waiting: u32,
    /// Requests for the model per second that arrive at the router.
    #[serde(default)]
    pub rate: f64,
    /// The requests that wait for the model at the router, if the router has wait queues.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<QueueSummary>,
    /// The version of the endpoint's software, if endpoints of no other version may serve the requests that wait.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
}

/// The result of an [`EnsureRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EnsureOutcome {
    /// The model is loaded.
    Ready,
    /// The model is not loaded and won't be in time. The router waits at least this long before it asks again.
    Refused(#[serde(with = "fleet::millis")] Duration),
}

/// The response to an [`EnsureRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EnsureResponse {
    /// The result of the request.
    #[serde(rename = "verdict")]
    pub outcome: EnsureOutcome,
    /// The newest state of the endpoint.
    pub state: EndpointState,
}

/// The path at which loaders and routers answer [`GrantRequest`]s.
pub const GRANT_PATH: &str = "/grant";

/// A router asks to send one request to an endpoint that announces a rate limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation of the endpoint that the router uses, if it knows one.
    #[serde(rename = "life")]
    pub incarnation: Option<EndpointIncarnation>,
    /// The requests per second that the endpoint takes, as the router knows it.
    pub limit: Rate,
    /// How long the request can wait.
    #[serde(with = "fleet::millis")]
    pub max_wait: Duration,
}

/// The response to a [`GrantRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GrantResponse {
    /// The request may be sent after this time.
    After(#[serde(with = "fleet::millis")] Duration),
    /// The request would have to wait for too long; another one may be sent after this time.
    Refused(#[serde(with = "fleet::millis")] Duration),
}

/// The path at which a router reports the endpoints that announce rate limits, as a list of [`EndpointRateLimit`].
pub const LIMITS_PATH: &str = "/limits";

/// What a router knows of an endpoint that announces a rate limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointRateLimit {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The requests per second that the endpoint takes from all routers together.
    pub limit: Rate,
    /// How long this router sends it no requests, because the limit is used up; 0 if it may send some.
    pub pause_ms: u64,
}

/// The path at which a router answers other routers with a [`Snapshot`].
pub const SNAPSHOT_PATH: &str = "/snapshot";

/// How far a router has read the platform's store, written as the query of a URL: `version=7&read=0.12`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Position {
    /// The version of the router's configuration; 0 if it has none.
    pub version: Revision,
    /// How far the router has read the list of endpoints; 0 if not at all.
    pub read: StorePosition,
}

impl Position {
    /// Parses the query of a URL. A value that is missing or invalid becomes 0.
    pub fn from_query(query: &str) -> Self {
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let version = value("version").and_then(|value| value.parse().ok()).unwrap_or_default();
        let read = value("read").and_then(|value| value.parse().ok()).unwrap_or_default();
        Self { version, read }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version={}&read={}", self.version, self.read)
    }
}

/// What a router has read from the platform's store beyond the [`Position`] of the router that asks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration in force, if it is newer.
    #[serde(default)]
    pub catalog: Option<Catalog>,
    /// The endpoints that were added or changed.
    pub endpoints: Vec<Endpoint>,
    /// The other endpoints in the list. An endpoint that is in neither field has been removed.
    #[serde(default)]
    #[serde(rename = "kept")]
    pub unchanged: Vec<EndpointId>,
    /// Endpoints of both fields whose entries have been missing since the store was unreachable. Their entries may come back.
    #[serde(default)]
    pub missing: Vec<EndpointId>,
    /// How far the router has read the list of endpoints.
    #[serde(default)]
    pub read: StorePosition,
    /// The configuration in force, and how long ago it was confirmed to be the newest.
    #[serde(default)]
    #[serde(rename = "proved")]
    pub confirmed: Option<ConfirmedVersion>,
    /// What the router knows of the time before its list, for a router that has no list yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub history: Option<ListHistory>,
}

/// What a router knows of the time before its list of endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListHistory {
    /// The time since the list was last known to be complete.
    #[serde(with = "fleet::millis")]
    pub age: Duration,
    /// The software versions that services have had lately, besides those of the listed endpoints.
    pub versions: Vec<PastVersion>,
}

/// A software version that a service has had lately.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastVersion {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub software: SoftwareVersion,
    /// How long ago it was last seen.
    #[serde(with = "fleet::millis")]
    pub age: Duration,
}

/// A version of the configuration that was confirmed to be the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmedVersion {
    /// The version.
    pub version: Revision,
    /// The time from the confirmation to this message.
    #[serde(with = "fleet::millis")]
    pub age: Duration,
}

/// The path at which a router lends tokens of a workspace to another router: `POST` with [`BorrowRequest`].
pub const TOKENS_PATH: &str = "/tokens";

/// A router asks another router for tokens of a workspace, since it has too few left.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BorrowRequest {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The most tokens that the router wants to borrow.
    pub tokens: f64,
    /// The request that the tokens are for, if the other router is responsible for its promise.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub claim: Option<TokenClaim>,
    /// Asks for the other router's share for some time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<ShareRequest>,
}

/// The response to a [`BorrowRequest`]. The tokens are taken from the bucket of the router that answers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BorrowResponse {
    /// The number of tokens lent.
    pub tokens: f64,
    /// When the request of a claim should be sent again, if it got no tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry: Option<TokenRetry>,
    /// The share that the other router leases out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<LeasedShare>,
}

/// The path at which a router reports on workspaces to an operator.
pub const WORKSPACES_PATH: &str = "/workspaces";

/// What a router knows of all workspaces.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspacesReport {
    /// The version of the configuration in force.
    pub version: Revision,
    /// The time since this version was confirmed to be the newest; none if it never was.
    pub age_ms: Option<u64>,
    /// Whether the router accepts keys by this configuration.
    pub serves: bool,
    /// The number of equal shares that each limit is divided into; 0 if this router has no share.
    pub shares: u32,
    /// The workspaces.
    pub workspaces: Vec<WorkspaceReport>,
    /// Keys that were rejected lately.
    pub denied: Vec<DeniedKey>,
}

/// What a router knows of one workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceReport {
    /// The name of the workspace.
    pub name: WorkspaceName,
    /// The beginnings of the digests of its keys.
    pub keys: Vec<String>,
    /// Its limit over all routers, if it has one.
    pub limit: Option<Limit>,
    /// The units that are left in the bucket of this router.
    pub left: f64,
    /// Units per second that the workspace uses at this router.
    pub rate: f64,
    /// Requests of the workspace that this router has rejected since it started.
    pub refused: u64,
    /// The units that this router has promised to callers that it told when to return.
    #[serde(default)]
    pub promised: f64,
}

/// A key that was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeniedKey {
    /// The beginning of the key's digest; empty if the requests had no key.
    pub key: String,
    /// Why the key was rejected the last time.
    pub cause: String,
    /// How often the key was rejected.
    pub count: u64,
}

/// The path at which routers exchange crash records: `POST` with a list of [`KeyedRecord`], answered with the other router's
/// list.
pub const CRASHES_PATH: &str = "/ends";
/// The path at which a router lists the requests that it refuses because they crash endpoints.
pub const SUSPECTS_PATH: &str = "/suspects";
/// The path at which an operator releases such a request: `POST` with [`ReleaseRequest`].
pub const RELEASE_PATH: &str = "/release";

/// A record of the crash topic in the store, with its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRecord {
    /// The key of the record in the store.
    pub key: String,
    /// The record.
    #[serde(rename = "note")]
    pub record: QuarantineRecord,
}

/// Requests that are refused because they crash endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The digest that identifies the request, or the part of prompts.
    pub digest: Digest,
    /// Whether one request is refused, or all with a part in their prompts. Routers of earlier versions know requests only.
    #[serde(default = "request_kind")]
    pub kind: SuspectKind,
    /// The crashes that count against it.
    #[serde(rename = "ends")]
    pub crashes: Vec<Evidence>,
}

fn request_kind() -> SuspectKind {
    SuspectKind::Request
}

/// An operator releases a suspect, so that its requests are no longer refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// The digest that identifies the suspect.
    pub digest: Digest,
}

/// The engine specification of the endpoints of a service, sent from a router to a loader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineUpdate {
    /// The version of the configuration that the specification is from.
    pub version: Revision,
    /// The specification.
    pub engine: Engine,
}

#[cfg(test)]
mod tests;
