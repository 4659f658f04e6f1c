//! What the programs share: command line, settings files, logs, signals, metrics and the admin server.

mod admin;
mod args;
mod idle;
mod listen;
mod machine;
mod metrics_server;
mod reload;
mod restart;
mod retry;
mod settings;
mod shutdown;
mod stall;
mod start;

pub use admin::StatusProvider;
pub use args::{Args, ArgsError, parse_args};
pub use idle::{IdleMeter, IdleReading, processor_time};
pub use listen::listen;
pub use machine::MachineLimits;
pub use metrics_server::serve_metrics;
pub use restart::spawn_restarting;
pub use settings::{Identity, SettingsError, load_settings, parse_settings};
pub use shutdown::{Shutdown, ShutdownPhase};
pub use stall::StallDetector;
pub use start::{
    EXIT_FAILURE, EXIT_USAGE, Process, SingleThreadProcess, StartError, Workers, run,
    run_single_threaded, spawn_admin,
};
