//! The process beside each endpoint: the only one that orders it.
//!
//! Entries send it requests over HTTP/2. It loads replicas under the grants of the log, queues requests for
//! them, hands them to the endpoint at most once, keeps the answers for a while, and gives the grants back
//! when they are revoked or when it leaves.

mod adapters;
mod agent;
mod answer;
mod attach;
mod authority;
mod cache;
mod desk;
mod dispatch;
mod drain;
mod estimate;
mod evict;
mod keeper;
mod kept;
mod memory;
mod orders;
mod pending;
mod plan;
mod queue;
mod replica;
mod run;
mod serve;
mod settings;
mod settle;
mod slot;
mod status;
mod stream;
mod table;
mod wake;
mod warm;

pub use run::{Edges, run, run_with};
pub use settings::{EndpointKind, Settings};
pub use slot::Slot;
pub use table::{Begin, RequestTable, TableLimits};
