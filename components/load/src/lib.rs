//! Load, faults, promise checks and reports.
//!
//! The system itself starts no processes; this tool does, on loopback, and ends only those it started.

mod affinity;
mod answer;
mod bench;
mod caller;
mod checks;
mod children;
mod cli;
mod clock;
mod evidence;
mod experiment;
mod faults;
mod fleet;
mod ledger;
mod lines;
mod plot;
mod ports;
mod probe;
mod publish;
mod report;
mod run;
mod scale;
mod site;
mod soak;
mod table;
mod throttle;
mod trace;
mod trial;
mod truth;
mod warmth;
mod watch;

pub use cli::main;
pub use throttle::{Throttle, processor_time};
