//! Model engines and plain services.

use std::time::Duration;

use async_trait::async_trait;
use http::{Request, Response};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use units::{AdapterName, Incarnation, ModelName, RequestId, Size, Span};
use web::Body;

use crate::CacheEvents;

/// How near a checkpoint is to the accelerator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheTier {
    /// In the endpoint's main memory.
    Memory,
    /// On its local disk.
    Disk,
    /// Only in the weight store.
    Remote,
}

/// What an order asks of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum OrderKind {
    /// Load a model.
    Load {
        /// The model with its version.
        artifact: ModelName,
        /// Accelerator memory its weights take.
        weights: Size,
        /// Accelerator memory for its KV cache.
        kv_room: Size,
    },
    /// Unload a model with its adapters; what runs on it is cut.
    Unload {
        /// The model with its version.
        artifact: ModelName,
    },
    /// Load an adapter next to its model.
    LoadAdapter {
        /// The model with its version.
        artifact: ModelName,
        /// The adapter.
        adapter: AdapterName,
        /// Accelerator memory it takes.
        weights: Size,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// The model with its version.
        artifact: ModelName,
        /// The adapter.
        adapter: AdapterName,
    },
    /// Change the engine's role, such as `prefill` or `decode`.
    Role {
        /// The role.
        role: String,
    },
}

/// An order to an engine; it is accepted at once and done when the inventory shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Unique for good; a repeated order has one effect.
    pub id: String,
    /// The fencing number; engines that check it refuse one below the highest that they have seen.
    pub fence: Incarnation,
    /// Whether somebody waits for it: the weight store serves urgent loads first.
    pub urgent: bool,
    /// What to do.
    pub order: OrderKind,
}

/// How far a replica is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaPhase {
    /// Loading; its memory is taken.
    Loading,
    /// Ready to serve.
    Ready,
    /// Unloading; its memory is still taken.
    Unloading,
}

/// One model in an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// The model with its version.
    pub artifact: ModelName,
    /// How far it is.
    pub phase: ReplicaPhase,
    /// The accelerator memory it takes with KV room and adapters.
    pub memory: Size,
    /// Its adapters that are ready.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
}

/// What an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// Grows with every change; ask for what is newer.
    pub version: u64,
    /// Accelerator memory in all.
    pub memory: Size,
    /// The highest fencing number seen.
    pub fence: Incarnation,
    /// The models in memory.
    pub loaded: Vec<Loaded>,
    /// Cached checkpoints and where they are; others are only in the store.
    pub cached: Vec<(ModelName, CacheTier)>,
    /// Orders that failed lately, by id, with the reason.
    #[serde(default)]
    pub failed: Vec<(String, String)>,
}

/// An engine's lagging load report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// How old the report is.
    pub age: Span,
}

/// Why an endpoint did not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EndpointError {
    /// It certainly did nothing.
    #[error("the endpoint refused: {0}")]
    Refused(String),
    /// It refused an old fencing number: another incarnation is in charge.
    #[error("the endpoint has seen fencing number {seen}")]
    Fenced {
        /// The highest it has seen.
        seen: Incarnation,
    },
    /// It may or may not have done it.
    #[error("no answer from the endpoint: {0}")]
    Unknown(String),
}

/// A model engine or plain service.
#[async_trait]
pub trait Endpoint: Send + Sync {
    /// Gives an order.
    async fn order(&self, order: Order) -> Result<(), EndpointError>;

    /// Reads the inventory once it is newer than `after`, or after `wait`.
    async fn inventory(&self, after: u64, wait: Duration) -> Result<Inventory, EndpointError>;

    /// Reads the lagging load report.
    async fn usage(&self) -> Result<Usage, EndpointError>;

    /// Reads what is told of the prefix cache from an event's number on; engines tell late and with gaps.
    async fn cache_events(&self, from: u64) -> Result<CacheEvents, EndpointError>;

    /// Sends a caller's request; the body of the answer streams.
    async fn call(
        &self,
        id: &RequestId,
        request: Request<Body>,
    ) -> Result<Response<Body>, EndpointError>;

    /// Streams the answer of a request again from byte `from`; only engines can.
    async fn resume(&self, id: &RequestId, from: u64) -> Result<Response<Body>, EndpointError>;

    /// Cancels a request; it is gone when this returns.
    async fn cancel(&self, id: &RequestId) -> Result<(), EndpointError>;
}
