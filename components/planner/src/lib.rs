//! The planner role that any entry can hold.

mod run;

pub use run::{DemandLog, Options, run};
