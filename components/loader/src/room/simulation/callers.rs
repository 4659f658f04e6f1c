//! The callers of the simulation, and the queues of its routers.

use std::collections::BTreeMap;
use std::time::Duration;

use control::{QueueSummary, WaitingWorkspace};
use tokio::time::Instant;
use units::ModelName;

/// A request of a caller.
#[derive(Debug, Clone)]
pub(crate) struct CallerRequest {
    pub(crate) model: ModelName,
    pub(crate) router: String,
    pub(crate) workspace: &'static str,
    pub(crate) arrival: Instant,
    pub(crate) deadline: Instant,
    /// How long it runs at the endpoint.
    pub(crate) runs: Duration,
}

/// The requests for one model that wait at one router.
#[derive(Debug, Default)]
pub(super) struct RouterQueue {
    pub(super) waiting: Vec<CallerRequest>,
    /// The number of requests that waited when the loader was last asked, and when that was.
    pub(super) asked: Option<(usize, Instant)>,
    /// Whether the loader has not answered yet.
    pub(super) open: bool,
    /// When to ask again after a refusal.
    pub(super) told: Option<Instant>,
}

/// The summary that a router sends of waiting requests.
pub(super) fn summarize(waiting: &[CallerRequest], now: Instant) -> QueueSummary {
    let left = |deadline: Option<Instant>| deadline.map_or(Duration::ZERO, |at| at - now);
    let mut workspaces: BTreeMap<&str, u32> = BTreeMap::new();
    for request in waiting {
        *workspaces.entry(request.workspace).or_default() += 1;
    }
    let workspace = |(name, waiting): (&str, u32)| WaitingWorkspace {
        name: name.parse().expect("a name"),
        waiting,
    };
    QueueSummary {
        waiting: u32::try_from(waiting.len()).expect("few requests"),
        workspaces: workspaces.into_iter().map(workspace).collect(),
        first_deadline: left(waiting.iter().map(|one| one.deadline).min()),
        last_deadline: left(waiting.iter().map(|one| one.deadline).max()),
        oldest: waiting.iter().map(|one| now - one.arrival).max().unwrap_or_default(),
        priority: 0,
    }
}
