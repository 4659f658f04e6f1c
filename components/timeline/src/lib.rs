//! Events of all processes in causal order: every message between processes carries the sender's logical clock.

mod clock;
mod event;
mod recorder;

pub use clock::{Clock, Tick};
pub use event::{Event, Kind};
pub use recorder::Recorder;
