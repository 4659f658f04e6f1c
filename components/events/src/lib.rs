//! One structured line on standard output for each decision, bounded and never blocking.

mod count;
mod event;
mod sink;

pub use count::{NO_ROOM, count_call, record_reached, update_process_gauges};
pub use event::{Dependency, Event, OrderOutcome, Refusal, Step, millis};
pub use sink::{emit, install};
