//! The planner role that any entry can hold.
//!
//! A few loops share one [`run`]: [`lease`] claims and renews the planner lease, and while it is held
//! [`listing`] watches the platform's instance list, [`rounds`] decides and [`snapshots`] writes snapshots.
//! What is decided, and that the holder of the lease decides it, is checked again by every process that
//! folds the record.

mod balance;
mod decide;
mod demand;
mod draft;
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
mod snapshots;

pub use demand::DemandLog;
pub use rounds::preview;
pub use run::{Options, max_rounds, run};
