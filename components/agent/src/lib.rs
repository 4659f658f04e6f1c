//! The process beside each endpoint: the only one that orders it.

mod run;
mod settings;

pub use run::run;
pub use settings::{EndpointKind, Settings};
