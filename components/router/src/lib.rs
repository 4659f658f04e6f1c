//! Serves callers from endpoints that it calls directly.

mod access;
mod borrow;
mod caller;
mod charge;
mod choose;
mod cold;
mod ended;
mod endpoint;
mod exchange;
mod feed;
mod flight;
mod guard;
mod known;
mod ledger;
mod list;
mod missing;
mod peer;
mod place;
mod pool;
mod prepare;
mod probe;
mod quotas;
mod ready;
mod relay;
mod request;
mod roster;
mod run;
mod runs;
mod serve;
mod settings;
mod shared;
mod signs;
mod snapshot;

pub use run::run;
pub use settings::{Bounds, QuotaSettings, RepeatSettings, Settings};
