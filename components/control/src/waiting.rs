//! What a router reports of the requests that wait for models.

use catalog::ModelId;
use serde::{Deserialize, Serialize};
use units::{ServiceName, SoftwareVersion, WorkspaceName};

use crate::QueueSummary;

/// The path at which a router reports the requests that wait for models, as a [`WaitingReport`].
pub const WAITING_PATH: &str = "/waiting";

/// The requests that wait for models at a router.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WaitingReport {
    /// The queues in which requests wait.
    pub queues: Vec<QueueReport>,
    /// The virtual token counters of the workspaces, the highest first.
    pub counters: Vec<WorkspaceCounter>,
}

/// One queue of a router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueReport {
    /// The service.
    pub service: ServiceName,
    /// The model.
    pub model: ModelId,
    /// The version of the software that the endpoint must run, if not any endpoint may serve the requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
    /// The requests that wait.
    pub summary: QueueSummary,
    /// The expected wait of a request that would be the last one.
    pub expect_ms: u64,
    /// Requests per second that the queue lately served, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub per_s: Option<f64>,
}

/// The virtual token counter of a workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceCounter {
    /// The workspace; none for all requests without one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceName>,
    /// The tokens that it was served lately.
    pub tokens: u64,
}
