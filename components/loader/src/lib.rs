//! The loader: runs beside one endpoint and is the only process that orders it to load and unload models.

mod controller;
mod fence;
mod incarnations;
mod origins;
mod permit;
mod plan;
mod queue;
mod rates;
mod records;
mod room;
mod router_api;
mod run;
mod settings;
mod view;

pub use run::run;
pub use settings::Settings;
