//! What routers and loaders tell each other about demand for models and about the speed of endpoints.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use speed::Step;
use units::{ModelName, WorkspaceName};

/// The requests that wait for a model at one router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueSummary {
    /// The number of requests that wait.
    pub waiting: u32,
    /// The workspaces with the most waiting requests, 16 at most.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<WaitingWorkspace>,
    /// The time left until the earliest deadline of a request that waits.
    #[serde(rename = "first_deadline_ms", with = "fleet::millis")]
    pub first_deadline: Duration,
    /// The time left until the latest deadline of a request that waits.
    #[serde(rename = "last_deadline_ms", with = "fleet::millis")]
    pub last_deadline: Duration,
    /// How long the oldest request has waited.
    #[serde(rename = "oldest_ms", with = "fleet::millis")]
    pub oldest: Duration,
    /// The highest priority among the requests that wait; 0 is the highest.
    pub priority: u8,
}

/// The number of requests of one workspace that wait for a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingWorkspace {
    /// The workspace.
    pub name: WorkspaceName,
    /// The number of its requests that wait.
    pub waiting: u32,
}

/// The time between the events of streams of one model at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepTime {
    /// The model.
    pub model: ModelName,
    /// The 25th percentile of the time between two events, in microseconds.
    pub gap_us: u64,
    /// The number of events that it was measured from.
    pub events: u32,
}

impl StepTime {
    /// The time between the events of a model.
    pub fn new(model: ModelName, step: Step) -> Self {
        let gap_us = u64::try_from(step.gap.as_micros()).unwrap_or(u64::MAX);
        Self { model, gap_us, events: step.events }
    }

    /// The time without the model.
    pub fn step(&self) -> Step {
        Step { gap: Duration::from_micros(self.gap_us), events: self.events }
    }
}

/// The rate at which requests for a model arrive.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelRate {
    /// The model.
    pub model: ModelName,
    /// Requests per second of all routers together.
    pub per_s: f64,
}
