//! The stand-in program.

use std::sync::Arc;

use process::{Process, ShutdownPhase, StartError};
use serde_json::json;

use crate::{Engine, List, Log, Role, Running, Service, Settings, Store};

/// Runs one stand-in until its shutdown.
pub async fn run(settings: Settings, process: Process) -> Result<(), StartError> {
    let addr = settings.address;
    let started = match settings.role {
        Role::Log(settings) => Log::start(addr, settings).await,
        Role::List(settings) => List::start(addr, settings).await,
        Role::Store(settings) => Store::start(addr, settings).await,
        Role::Engine(settings) => Engine::start(addr, *settings).await,
        Role::Service(settings) => Service::start(addr, settings).await,
    };
    let running: Running = started.map_err(StartError::new)?;
    let status = json!({ "address": running.addr });
    let admin = process::spawn_admin(&process, Arc::new(move || status.clone())).await?;
    log::info!("standin: serving on {}", running.addr);
    process.shutdown.reached(ShutdownPhase::Drain).await;
    running.stop().await;
    admin.abort();
    Ok(())
}
