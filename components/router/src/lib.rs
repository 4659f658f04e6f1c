//! Serves callers from endpoints that it calls directly.

mod access;
mod borrow;
mod caller;
mod charge;
mod choose;
mod cold;
mod crash_check;
mod crash_records;
mod endpoint;
mod exchange;
mod feed;
mod flight;
mod guard;
mod list;
mod liveness;
mod loader_task;
mod missing;
mod place;
mod pool;
mod prepare;
mod probe;
mod quotas;
mod ready;
mod registry;
mod relay;
mod request;
mod roster;
mod run;
mod sent_requests;
mod serve;
mod settings;
mod shared;
mod snapshot;

pub use run::run;
pub use settings::{Bounds, QuotaSettings, RepeatSettings, Settings};
