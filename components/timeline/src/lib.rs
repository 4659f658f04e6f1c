//! Events of all processes in causal order: a logical clock rides on every message between processes.

mod clock;
mod event;
mod recorder;

pub use clock::{Clock, Tick};
pub use event::{Event, Kind};
pub use recorder::Recorder;
