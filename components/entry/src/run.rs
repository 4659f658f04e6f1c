//! The entry's supervisor.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use edge::{HttpList, HttpLog, LogService};
use journal::Keys;
use planner::DemandLog;
use process::{MachineLimits, Process, ShutdownPhase, StartError};
use units::Size;

use crate::control::{Answerer, gather_demand};
use crate::core::{Core, Parts};
use crate::link::TcpDial;
use crate::settings::Settings;

/// The pause between two clean-ups of what is known of endpoints.
const PRUNE_PAUSE: Duration = Duration::from_secs(10);

/// The part of the machine's memory for the bodies of requests, as a divisor.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// How long the planner may take to give its lease up.
const RESIGN_LIMIT: Duration = Duration::from_secs(2);

/// Runs an entry until its shutdown is done.
pub async fn run(settings: Settings, process: Process) -> Result<(), StartError> {
    let log: Arc<dyn LogService> = Arc::new(HttpLog::new(settings.log));
    let identity = process.identity.clone();
    let options = journal::Options { seeds: settings.seeds.clone(), ..Default::default() };
    let journal =
        journal::start(log.clone(), identity.instance.clone(), process.recorder.clone(), options);
    let core = Core::new(Parts {
        instance: identity.instance.clone(),
        domain: identity.domain,
        journal: journal.clone(),
        keys: Keys::start(log, settings.key_window.0),
        recorder: process.recorder.clone(),
        shutdown: process.shutdown.clone(),
        dial: Arc::new(TcpDial),
        body_limit: settings.body_limit,
        body_memory: Size(MachineLimits::detect().memory_bytes / BODY_MEMORY_DIVISOR),
        in_flight: settings.in_flight,
        affinity: settings.affinity,
    });
    let demand = DemandLog::default();
    serve_control(&settings, &process, core.clone()).await?;
    let status = core.clone();
    process::spawn_admin(&process, Arc::new(move || status.status())).await?;
    let planner = planner::run(
        identity.instance,
        journal,
        Arc::new(HttpList::new(settings.list)),
        demand.clone(),
        process.recorder.clone(),
        planner::Options {
            lease_duration: settings.lease.0,
            stop: Some(process.shutdown.flag(ShutdownPhase::Drain)),
            ..Default::default()
        },
    );
    let planner = tokio::spawn(planner);
    let network = Arc::new(peer::Client::default());
    let tasks = [
        tokio::spawn(gather_demand(core.clone(), demand, others(&settings), network)),
        tokio::spawn(prune(core.clone())),
    ];
    let served = serve_callers(&settings, &process, core).await;
    let planner_abort = planner.abort_handle();
    if tokio::time::timeout(RESIGN_LIMIT, planner).await.is_err() {
        planner_abort.abort();
    }
    for task in tasks {
        task.abort();
    }
    served
}

/// Serves callers; the state is known before the first is accepted.
async fn serve_callers(
    settings: &Settings,
    process: &Process,
    core: Arc<Core>,
) -> Result<(), StartError> {
    tokio::select! {
        () = core.journal.ready() => {}
        () = process.shutdown.reached(ShutdownPhase::Drain) => return Ok(())
    }
    let listener = web::bind(settings.listen).await.map_err(StartError::new)?;
    log::info!("entry: callers are served on {}", settings.listen);
    core.serve(listener, settings.balancer_lag.0).await;
    Ok(())
}

/// The other entries, should the seeds name this one, too.
fn others(settings: &Settings) -> Vec<SocketAddr> {
    settings.seeds.iter().copied().filter(|seed| *seed != settings.control).collect()
}

async fn serve_control(
    settings: &Settings,
    process: &Process,
    core: Arc<Core>,
) -> Result<(), StartError> {
    let answerer = Answerer { core };
    // Peers may ask until the process ends.
    let stop = process.shutdown.flag(ShutdownPhase::Force);
    let handler = move |message| answerer.clone().answer(message);
    peer::serve(settings.control, stop, handler).await.map_err(StartError::new)
}

/// Forgets endpoints that are gone.
async fn prune(core: Arc<Core>) {
    loop {
        tokio::time::sleep(PRUNE_PAUSE).await;
        core.prune();
    }
}
