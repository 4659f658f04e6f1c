//! What is said.

use std::fmt;
use std::time::Duration;

use catalog::{Catalog, Engine, Limit, ModelId};
use fleet::{Endpoint, Holdings};
use quarantine::{Digest, Evidence, QuarantineRecord};
use serde::{Deserialize, Serialize};
use units::{
    EndpointId, EndpointIncarnation, Era, ModelName, Revision, StorePosition, WorkspaceName,
};

/// Where a router asks for news of an endpoint.
pub const POLL_PATH: &str = "/poll";
/// Where a router asks for a model.
pub const ENSURE_PATH: &str = "/ensure";
/// Where a router says what the endpoints of the service can hold.
pub const ENGINE_PATH: &str = "/engine";

/// How a router uses one model of the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelUse {
    /// The model.
    pub model: ModelName,
    /// Requests begun since the last time.
    pub begun: u32,
    /// Requests that run now.
    pub running: u32,
}

/// A router asks for news, and says what it uses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// The router, by the name of its instance.
    pub router: String,
    /// The endpoint, as the platform's list names it.
    pub endpoint: EndpointId,
    /// The life of the endpoint in which it uses it, if it is known.
    #[serde(default)]
    #[serde(rename = "life")]
    pub incarnation: Option<EndpointIncarnation>,
    /// The era of the store that the router knows: a loader that does not call the store would not see it come back from a copy.
    #[serde(default)]
    pub era: Era,
    /// The version of the news that the router has; 0 if none.
    pub seen: u64,
    /// How long to wait for newer news.
    #[serde(with = "fleet::millis")]
    pub wait: Duration,
    /// What it uses.
    pub uses: Vec<ModelUse>,
}

/// What a loader says of its endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointState {
    /// The version of this news.
    pub version: u64,
    /// The endpoint that it is about, if the loader knows.
    pub endpoint: Option<EndpointId>,
    /// The life of the endpoint that it is about, if the endpoint says which.
    #[serde(default)]
    #[serde(rename = "life")]
    pub incarnation: Option<EndpointIncarnation>,
    /// What the endpoint holds.
    pub holdings: Holdings,
    /// How busy it is.
    #[serde(flatten)]
    pub load: EndpointLoad,
    /// How long it is expected to take until there is room for one more model.
    #[serde(with = "fleet::millis")]
    #[serde(rename = "room")]
    pub room_wait: Duration,
    /// Whether the loader may give orders.
    #[serde(rename = "able")]
    pub can_order: bool,
    /// Whether the endpoint says that it leaves and takes no new work.
    #[serde(default)]
    pub draining: bool,
    /// The configuration from which it knows what the endpoint can hold; 0 if it does not.
    #[serde(rename = "engine")]
    pub engine_version: Revision,
}

/// How busy an endpoint is: what changes all the time and is told with each answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Models that wait to be loaded.
    pub waiting: u32,
    /// Requests that run there, as far as routers have said.
    pub running: u32,
    /// Routers that the loader hears.
    pub routers: u32,
}

/// The answer to a [`PollRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PollResponse {
    /// Newer news.
    #[serde(rename = "news")]
    Changed(Box<EndpointState>),
    /// None but how busy the endpoint is: what it holds and keeps copies of is ten times as long, and with some thousand
    /// pairs of routers and loaders most answers have nothing else to tell.
    #[serde(rename = "same")]
    Unchanged(EndpointLoad),
}

/// A router asks for a model, with its adapter if one is named.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EnsureRequest {
    /// The router.
    pub router: String,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What is asked for.
    pub target: ModelId,
    /// How long the router waits for it.
    #[serde(with = "fleet::millis")]
    pub within: Duration,
    /// Requests that wait for it; none if it is prepared for later.
    pub waiting: u32,
    /// Requests a second that come for the model at the router.
    #[serde(default)]
    pub rate: f64,
}

/// What became of an [`EnsureRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EnsureOutcome {
    /// It is loaded.
    Ready,
    /// It is not and won't be in time; ask again after this time at the earliest.
    Refused(#[serde(with = "fleet::millis")] Duration),
}

/// The answer to an [`EnsureRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnsureResponse {
    /// What became of it.
    #[serde(rename = "verdict")]
    pub outcome: EnsureOutcome,
    /// The newest state.
    pub state: EndpointState,
}

/// Where a router tells another one what it knows.
pub const SNAPSHOT_PATH: &str = "/snapshot";

/// How far a router knows what is in the platform's store, as the query of a question: `version=7&read=0.12`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Position {
    /// The version of its configuration; 0 if it has none.
    pub version: Revision,
    /// How far it has read the list of endpoints; 0 if not at all.
    pub read: StorePosition,
}

impl Position {
    /// Reads the query of a question; what is missing or can't be read is not known.
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

/// What a router knows from the platform's store beyond the [`Position`] of the one that asks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration in force, if it is newer.
    #[serde(default)]
    pub catalog: Option<Catalog>,
    /// The endpoints of which there is news.
    pub endpoints: Vec<Endpoint>,
    /// The other endpoints that there are; one that is in neither list is gone.
    #[serde(default)]
    #[serde(rename = "kept")]
    pub unchanged: Vec<EndpointId>,
    /// Those of both whose entries are missing since the store was away, and may come back.
    #[serde(default)]
    pub missing: Vec<EndpointId>,
    /// How far the list has been read.
    #[serde(default)]
    pub read: StorePosition,
    /// Which configuration is in force, and how old the proof is that there is no newer one.
    #[serde(default)]
    #[serde(rename = "proved")]
    pub confirmed: Option<ConfirmedVersion>,
}

/// How old the proof is that a version of the configuration is the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmedVersion {
    /// The version.
    pub version: Revision,
    /// The age, when it was told.
    #[serde(with = "fleet::millis")]
    pub age: Duration,
}

/// Where a router asks another one for tokens of a workspace: `POST` with [`BorrowRequest`].
pub const TOKENS_PATH: &str = "/tokens";

/// A router is short of tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BorrowRequest {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// How many it wants at most.
    pub tokens: f64,
}

/// The answer to a [`BorrowRequest`]: they are taken from the bucket of the one that answers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BorrowResponse {
    /// How many.
    pub tokens: f64,
}

/// Where a router tells an operator of workspaces.
pub const WORKSPACES_PATH: &str = "/workspaces";

/// What a router knows of all workspaces.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspacesReport {
    /// The configuration in force.
    pub version: Revision,
    /// How old the proof is that there is no newer one, if there is a proof.
    pub age_ms: Option<u64>,
    /// Whether keys are served on it.
    pub serves: bool,
    /// Equal shares in each limit; 0 if this router has none.
    pub shares: u32,
    /// The workspaces.
    pub workspaces: Vec<WorkspaceReport>,
    /// Keys that were refused of late.
    pub denied: Vec<DeniedKey>,
}

/// What a router knows of one workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceReport {
    /// Its name.
    pub name: WorkspaceName,
    /// The beginnings of the digests of its keys.
    pub keys: Vec<String>,
    /// Its limit over all routers, if it has one.
    pub limit: Option<Limit>,
    /// What this router has left of it.
    pub left: f64,
    /// Units a second that it uses at this router.
    pub rate: f64,
    /// Requests that this router refused it since it started.
    pub refused: u64,
}

/// A key that was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeniedKey {
    /// The beginning of its digest; empty where there was no key.
    pub key: String,
    /// Why, the last time.
    pub cause: String,
    /// How often.
    pub count: u64,
}

/// Where a router tells another one of endpoints that ended, and is told what that one knows.
pub const CRASHES_PATH: &str = "/ends";
/// Where a router lists the requests that it refuses because they crash endpoints.
pub const SUSPECTS_PATH: &str = "/suspects";
/// Where an operator lets one of them go: `POST` with [`ReleaseRequest`].
pub const RELEASE_PATH: &str = "/release";

/// A record of the topic on ended endpoints, with its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The record.
    #[serde(rename = "note")]
    pub record: QuarantineRecord,
}

/// A request that is refused because it crashes endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// What tells it from others.
    pub digest: Digest,
    /// The ends that speak against it.
    #[serde(rename = "ends")]
    pub crashes: Vec<Evidence>,
}

/// An operator lets a request go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// What tells it from others.
    pub digest: Digest,
}

/// What the endpoints of the service can hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineUpdate {
    /// The configuration that it is from.
    pub version: Revision,
    /// It.
    pub engine: Engine,
}

#[cfg(test)]
mod tests;
