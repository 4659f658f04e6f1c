//! Load-dependent decisions, without input or output: whether a failed request may be retried, how many loads from the
//! weight store may run at once, when a refused caller should come back, and which bodies and connections of callers are kept.

mod admit;
mod body_memory;
mod connection_slots;
mod heard_routers;
mod load_concurrency;
mod load_shedder;
mod permit_wait;
mod retry_budget;

pub use admit::{Admission, admit};
pub use body_memory::{BodyMemory, MemoryGrant, UploadId};
pub use connection_slots::{ConnectionId, ConnectionSlots};
pub use heard_routers::HeardRouters;
pub use load_concurrency::{ConcurrentLoads, LoadConcurrency};
pub use load_shedder::{BusyReading, LoadShedder};
pub use permit_wait::permit_wait;
pub use retry_budget::{RetryBudget, RetryDecision, RetryLimits};
