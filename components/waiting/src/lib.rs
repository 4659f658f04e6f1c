//! Decides in which order requests that wait for a model are served, and which of them are refused at once. Performs no input or
//! output.
//!
//! Load pattern: 300 models share room for half of them. Loads take ten seconds, and the requests of many workspaces with short
//! deadlines wait for models at the same time, while one workspace sends several times its usual rate. Without a common order the
//! timing of the searches decides which requests are served, and requests without a chance are held until shortly before their
//! deadline.

mod counters;
mod order;
mod queue;
mod queues;
mod rate;
mod returns;
mod summary;
mod ticket;

pub use counters::TokenCounters;
pub use queue::{Departure, MAX_QUEUE_LENGTH, Rejected, RejectionCause, WaitQueue};
pub use queues::{Entered, Entry, Queues, Removed, TurnChange};
pub use returns::ReturnTable;
pub use summary::{QueueState, QueueSummary};
pub use ticket::{Arrival, Ticket, TicketId};

#[cfg(test)]
mod tests;
