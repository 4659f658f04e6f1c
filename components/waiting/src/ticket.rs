//! A request in a queue.

use tokio::time::Instant;
use units::WorkspaceName;

/// Identifies a request in the queues of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// What a request says when it begins to wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The workspace of the caller; requests without a workspace count as one workspace.
    pub workspace: Option<WorkspaceName>,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// Prompt tokens and maximum output tokens.
    pub tokens: u64,
    /// The time up to which the request meets its target.
    pub target: Instant,
    /// The time up to which the request may be sent.
    pub deadline: Instant,
}

/// A request in a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Identifies the request.
    pub id: TicketId,
    /// What the request said when it began to wait.
    pub arrival: Arrival,
    /// When the request began to wait.
    pub since: Instant,
    /// Whether the caller has returned when it was told to.
    pub returning: bool,
    /// Whether an endpoint could serve the request, but the request waits for a better one: it searches by itself and keeps no other
    /// request waiting.
    pub held: bool,
}
