//! The process beside a model server: the only one that gives it orders.

mod desk;
mod fence;
mod lane;
mod ledger;
mod plan;
mod queue;
mod records;
mod run;
mod settings;
mod steward;

pub use run::run;
pub use settings::Settings;
