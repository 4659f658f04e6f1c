//! Small stand-ins for the platform, for tests and experiments.
//!
//! One program with five roles: log service, instance list, weight store, model engine and plain service.
//! Each serves HTTP, takes faults at `POST /faults` and tells what really happened at `GET /truth`.

mod clock;
mod engine;
mod execution;
mod freeze;
mod gate;
mod list;
mod log;
mod run;
mod server;
mod service;
mod settings;
mod store;

pub use engine::{
    Engine, EngineFault, EngineSettings, EngineTruth, LoadEvent, LoadPhase, expected, word,
};
pub use execution::Execution;
pub use list::{Change, List, ListFault, ListSettings, ListTruth};
pub use log::{Log, LogFault, LogSettings, LogTruth};
pub use run::run;
pub use server::Running;
pub use service::{Echo, Service, ServiceFault, ServiceSettings, ServiceTruth};
pub use settings::{Role, Settings};
pub use store::{Fetch, Fetched, Store, StoreFault, StoreSettings, StoreTruth};
