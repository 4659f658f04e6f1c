//! What really happened at an engine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use units::{Incarnation, ModelName, Size};

use crate::execution::Execution;

/// How far a replica came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadPhase {
    /// A load began and took its memory.
    Loading,
    /// It can serve.
    Ready,
    /// An unload began.
    Unloading,
    /// Its memory is free again.
    Gone,
    /// A load was refused for want of memory, or failed; its memory is free.
    Failed,
}

/// One step of one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadEvent {
    /// When, in milliseconds since 1970.
    pub wall_ms: u64,
    /// The model with its version.
    pub artifact: ModelName,
    /// How far it came.
    pub phase: LoadPhase,
    /// The memory that all replicas of the engine take after it.
    pub memory: Size,
    /// The fencing number of the order that began the load.
    pub fence: Incarnation,
}

/// What really happened at an engine; a crash does not change it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineTruth {
    /// Steps of replicas in their order.
    pub events: Vec<LoadEvent>,
    /// Accelerator memory in all.
    pub memory: Size,
    /// The most memory that was taken, or would have been by an order that was refused for it.
    pub high_water: Size,
    /// Orders that would have taken more memory than there is.
    pub overcommits: u32,
    /// Loads that began.
    pub loads: u32,
    /// Unloads that began.
    pub unloads: u32,
    /// Adapters that were loaded.
    pub adapters: u32,
    /// The role it was last ordered to have.
    pub role: String,
    /// Crashes.
    pub crashes: u32,
    /// Completions that were refused because their model was not ready.
    pub refused: u64,
    /// Requests that were cut because their model was unloaded.
    pub cut: u64,
    /// Requests whose prefix was cached.
    pub hits: u64,
    /// Tokens that were made.
    pub tokens: u64,
    /// Milliseconds in which at least one request ran, by model.
    pub busy_ms: BTreeMap<ModelName, u64>,
    /// Executions by request id.
    pub executions: BTreeMap<String, Execution>,
}
