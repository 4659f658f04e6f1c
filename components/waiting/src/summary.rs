//! What a queue reports to loaders and operators.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;
use units::WorkspaceName;

use crate::ticket::Ticket;

/// The most workspaces in a summary.
const MAX_WORKSPACES: usize = 16;
/// The name under which requests without a workspace are counted.
const NO_WORKSPACE: &str = "none";

/// The requests that wait for a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueSummary {
    /// The number of requests.
    pub waiting: usize,
    /// The workspaces with the most waiting requests, 16 at most, and the number of their requests.
    pub workspaces: Vec<(WorkspaceName, usize)>,
    /// The time left until the earliest deadline.
    pub first_deadline: Duration,
    /// The time left until the latest deadline.
    pub last_deadline: Duration,
    /// The longest wait so far.
    pub oldest: Duration,
    /// The highest priority.
    pub priority: u8,
}

impl QueueSummary {
    /// Summarizes requests; none if there are none.
    pub(crate) fn of<'a>(tickets: impl Iterator<Item = &'a Ticket>, now: Instant) -> Option<Self> {
        let mut counts: HashMap<Option<&WorkspaceName>, usize> = HashMap::new();
        let mut summary: Option<Self> = None;
        for ticket in tickets {
            *counts.entry(ticket.arrival.workspace.as_ref()).or_default() += 1;
            let left = ticket.arrival.deadline.saturating_duration_since(now);
            let waited = now.saturating_duration_since(ticket.since);
            let sum = summary.get_or_insert_with(|| Self {
                waiting: 0,
                workspaces: Vec::new(),
                first_deadline: left,
                last_deadline: left,
                oldest: waited,
                priority: ticket.arrival.priority,
            });
            sum.waiting += 1;
            sum.first_deadline = sum.first_deadline.min(left);
            sum.last_deadline = sum.last_deadline.max(left);
            sum.oldest = sum.oldest.max(waited);
            sum.priority = sum.priority.min(ticket.arrival.priority);
        }
        let mut summary = summary?;
        summary.workspaces = largest(&counts);
        Some(summary)
    }
}

fn largest(counts: &HashMap<Option<&WorkspaceName>, usize>) -> Vec<(WorkspaceName, usize)> {
    let named = counts.iter().filter_map(|(workspace, count)| {
        let name = workspace.cloned().or_else(|| NO_WORKSPACE.parse().ok())?;
        Some((name, *count))
    });
    let mut named: Vec<(WorkspaceName, usize)> = named.collect();
    named.sort_by(|one, other| other.1.cmp(&one.1).then_with(|| one.0.cmp(&other.0)));
    named.truncate(MAX_WORKSPACES);
    named
}

/// The state of a queue, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueState<K> {
    /// The queue.
    pub key: K,
    /// The requests that wait.
    pub summary: QueueSummary,
    /// The expected wait of a request that would be the last one.
    pub expected: Duration,
    /// Requests per second that the queue lately served, if known.
    pub rate: Option<f64>,
}
