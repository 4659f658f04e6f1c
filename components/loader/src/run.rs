//! Starts a loader.

use std::sync::Arc;

use control::{EndpointLoad, EndpointState};
use fleet::Holdings;
use mirror::Mirror;
use platform::Store;
use process::{ShutdownPhase, SingleThreadProcess, StartError};
use tokio::sync::{Notify, mpsc, watch};
use units::{Era, Revision};
use web::ServeOptions;

use crate::controller::{Controller, TokenSource};
use crate::incarnations::Incarnations;
use crate::permit::{PermitHandle, PermitTask};
use crate::router_api::RouterApi;
use crate::{Settings, fence};

/// The number of commands that can wait while the controller gives an order.
const COMMAND_QUEUE_LENGTH: usize = 256;

/// Runs a loader until the process is asked to shut down.
pub async fn run(process: SingleThreadProcess<Settings>) -> Result<(), StartError> {
    let settings = process.settings.borrow().clone();
    let listener = process::listen(&process.shutdown, || web::bind(settings.listen)).await?;
    if let Some(addr) = settings.metrics {
        process::serve_metrics(addr);
    }
    let (commands, command_receiver) = mpsc::channel(COMMAND_QUEUE_LENGTH);
    let (state, state_receiver) = watch::channel(EndpointState {
        version: 1,
        endpoint: None,
        incarnation: None,
        holdings: Holdings::default(),
        load: EndpointLoad::default(),
        room_wait: std::time::Duration::ZERO,
        can_order: false,
        draining: false,
        rate_limit: None,
        engine_version: Revision(0),
        steps: Vec::new(),
        rates: Vec::new(),
    });
    let (start_sender, start) = watch::channel(None);
    let instance = settings.instance.to_string();
    let refused = Arc::new(Notify::new());
    let store = Store::new(settings.store);
    tokio::spawn(fence::maintain_start_record(
        store.clone(),
        instance.clone(),
        start_sender,
        refused.clone(),
    ));
    let (permit_commands, permit_command_receiver) = mpsc::unbounded_channel();
    let (granted, granted_receiver) = watch::channel(None);
    let (highest_era, era_receiver) = watch::channel(Era::default());
    let mirror = Mirror::new(store.clone());
    let permit_task = PermitTask::new(
        store,
        instance.clone(),
        start.clone(),
        era_receiver,
        permit_command_receiver,
        granted,
    );
    tokio::spawn(permit_task.run());
    let token = TokenSource { start, refused };
    let permit = PermitHandle { commands: permit_commands, granted: granted_receiver };
    let incarnations = Incarnations::new(settings.endpoint);
    let controller = Controller::new(
        instance,
        settings.endpoint,
        token,
        permit,
        command_receiver,
        state,
        incarnations.clone(),
    );
    let controller = tokio::spawn(controller.run());
    let (limiters, origins) = (Arc::default(), Arc::default());
    let state = state_receiver;
    let api = RouterApi { commands, state, highest_era, limiters, mirror, origins, incarnations };
    let stop = process.shutdown.flag(ShutdownPhase::Drain);
    let handler = move |request, _| api.clone().handle(request);
    tokio::select! {
        () = web::serve(listener, ServeOptions::default(), stop, handler) => {}
        _ = controller => {}
        () = process.shutdown.reached(ShutdownPhase::Drain) => {}
    }
    Ok(())
}
