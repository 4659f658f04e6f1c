//! One structured line on standard output for each decision, bounded and never blocking.

mod count;
mod event;
mod sink;

pub use count::{NO_ROOM, count_call, gauge_process, reached};
pub use event::{Dependency, Event, Given, Refusal, Step, millis};
pub use sink::{emit, install};
