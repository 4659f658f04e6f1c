//! The process beside a model server: the only one that gives it orders.

mod controller;
mod fence;
mod permit;
mod plan;
mod queue;
mod records;
mod router_api;
mod run;
mod settings;
mod view;

pub use run::run;
pub use settings::Settings;
