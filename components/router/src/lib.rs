//! The router: receives requests of callers and sends them directly to endpoints.

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
mod guard;
mod in_flight;
mod list;
mod liveness;
mod loader_task;
mod missing;
mod pool;
mod prefetch;
mod probe;
mod quotas;
mod ready;
mod registry;
mod relay;
mod request;
mod reservation;
mod roster;
mod run;
mod send_log;
mod sent_requests;
mod serve;
mod settings;
mod shared;
mod snapshot;

pub use run::run;
pub use settings::{Bounds, QuotaSettings, RetrySettings, Settings};
