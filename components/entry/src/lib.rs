//! The process that callers talk to.

mod run;
mod settings;

pub use run::run;
pub use settings::Settings;
