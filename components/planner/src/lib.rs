//! The planner role that any entry can hold.
//!
//! [`run`] starts several loops: [`lease`] claims and renews the planner lease. While this process holds it,
//! [`listing`] watches the platform's instance list, [`rounds`] decides and [`snapshots`] writes snapshots.
//! Every process that folds the log checks each decision again, and that the holder of the lease made it.

mod balance;
mod decide;
mod demand;
mod draft;
mod forecast;
mod lease;
mod listing;
mod membership;
mod probe;
mod round_input;
mod rounds;
mod run;
#[cfg(test)]
mod sample;
mod snapshots;

pub use demand::DemandLog;
pub use rounds::preview;
pub use run::{Options, max_rounds, run};
