//! In-memory stand-ins for the platform's edges, with faults that can be set while they run.
//!
//! Tests use them directly; the stand-in program serves them over HTTP.

pub mod engine;
mod list;
mod log;
mod net;
mod stream;

pub use list::List;
pub use log::{Counters, Faults, Log};
pub use net::{Net, Port};
