//! The planner role that any entry can hold.
//!
//! Three loops share one [`run`]: [`lease`] claims and renews the planner lease, [`listing`] watches the
//! platform's instance list, and [`rounds`] decides while the lease is held. What is decided, and that it is
//! decided by the holder of the lease, is checked again by every process when the record is folded.

mod decide;
mod demand;
mod forecast;
mod lease;
mod listing;
mod membership;
mod picture;
mod probe;
mod rounds;
mod run;
#[cfg(test)]
mod sample;

pub use demand::DemandLog;
pub use probe::{PeerProbe, Probe};
pub use run::{Options, run, run_with};
