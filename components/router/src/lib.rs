//! The router: receives requests of callers and sends them directly to endpoints.

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
mod guard;
mod in_flight;
mod known;
mod ledger;
mod list;
mod missing;
mod peer;
mod pool;
mod prefetch;
mod probe;
mod quotas;
mod ready;
mod relay;
mod request;
mod reservation;
mod roster;
mod run;
mod runs;
mod serve;
mod settings;
mod shared;
mod signs;
mod snapshot;

pub use run::run;
pub use settings::{Bounds, QuotaSettings, RetrySettings, Settings};
