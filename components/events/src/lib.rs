//! Logs one structured line on standard output for each decision, through a bounded buffer that never blocks, and records metrics.

mod count;
mod event;
mod sink;
mod values;

pub use count::{
    NO_ROOM, count_call, count_told_origins, record_common_crashes, record_origins, record_reached,
    record_router_load, update_process_gauges,
};
pub use event::{Event, millis};
pub use sink::{emit, install};
pub use values::{
    Dependency, OrderOutcome, Refusal, ResumedAt, ResumptionOutcome, RoomCause, RouterLoad, Step,
};
