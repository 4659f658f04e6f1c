//! Serves callers from endpoints that it calls directly.

mod caller;
mod choose;
mod cold;
mod endpoint;
mod exchange;
mod feed;
mod flight;
mod known;
mod list;
mod missing;
mod peer;
mod place;
mod pool;
mod prepare;
mod probe;
mod ready;
mod relay;
mod request;
mod run;
mod serve;
mod settings;
mod shared;
mod signs;
mod snapshot;

pub use run::run;
pub use settings::{Bounds, RepeatSettings, Settings};
