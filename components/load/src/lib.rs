//! Load, faults, promise checks and reports.
//!
//! The system itself starts no processes; this tool does, on loopback, and ends only those it started.

mod answer;
mod caller;
mod checks;
mod children;
mod cli;
mod clock;
mod evidence;
mod fleet;
mod ledger;
mod lines;
mod ports;
mod probe;
mod site;
mod table;
mod trial;
mod truth;
mod watch;

pub use cli::run;
