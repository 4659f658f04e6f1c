//! The agent's supervisor.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use edge::{Endpoint, HttpEndpoint, HttpList, HttpLog, InstanceList, LogService};
use peer::Transport;
use policy::Calendar;
use process::{Process, Shutdown, ShutdownPhase, StartError};
use timeline::Recorder;
use tokio::sync::watch;
use tokio::task::JoinSet;
use web::{Protocol, ServeOptions};

use crate::agent::Agent;
use crate::table::SWEEP;
use crate::{EndpointKind, Settings, attach, cache, dispatch, drain, keeper, status, wake};

/// The edges of the process.
#[derive(Clone)]
pub struct Edges {
    /// The log service.
    pub log: Arc<dyn LogService>,
    /// The instance list.
    pub list: Arc<dyn InstanceList>,
    /// The endpoint.
    pub endpoint: Arc<dyn Endpoint>,
    /// The network between peers.
    pub network: Arc<dyn Transport>,
    /// What closing windows are read against.
    pub calendar: Calendar,
}

/// Runs an agent until its shutdown is done.
pub async fn run(settings: Settings, process: Process) -> Result<(), StartError> {
    let edges = Edges {
        log: Arc::new(HttpLog::new(settings.log)),
        list: Arc::new(HttpList::new(settings.list)),
        endpoint: Arc::new(HttpEndpoint::new(settings.address)),
        network: Arc::new(peer::Client::default()),
        calendar: Calendar::system(),
    };
    let (settings, listener) = listen(settings).await?;
    let agent = build(settings, &edges, process.recorder.clone(), process.shutdown.clone());
    process::spawn_admin(&process, status::of(&agent)).await?;
    supervise(agent, listener, edges.list).await
}

/// Runs an agent on other edges than those that its settings name, and without an admin server: for benches.
pub async fn run_with(
    settings: Settings,
    edges: Edges,
    recorder: Recorder,
    shutdown: Shutdown,
) -> Result<(), StartError> {
    let (settings, listener) = listen(settings).await?;
    let agent = build(settings, &edges, recorder, shutdown);
    supervise(agent, listener, edges.list).await
}

/// Opens the socket for dispatches; the settings then name the port that it has.
async fn listen(mut settings: Settings) -> Result<(Settings, web::Listener), StartError> {
    let listener = web::bind(settings.dispatch).await.map_err(StartError::new)?;
    settings.dispatch = listener.local_addr().map_err(StartError::new)?;
    Ok((settings, listener))
}

/// Starts following the log and makes what the tasks share.
pub(crate) fn build(
    settings: Settings,
    edges: &Edges,
    recorder: Recorder,
    shutdown: Shutdown,
) -> Arc<Agent> {
    let options = journal_options(&settings, edges.network.clone());
    let instance = settings.identity.instance.clone();
    let journal = journal::start(edges.log.clone(), instance, recorder.clone(), options);
    Arc::new(Agent::new(settings, journal, edges, recorder, shutdown))
}

/// An agent that needs news of the log to order its endpoint asks for it more often than its lease lasts.
fn journal_options(settings: &Settings, network: Arc<dyn Transport>) -> journal::Options {
    let seeds = settings.seeds.clone();
    let mut options = journal::Options { seeds, network, ..Default::default() };
    if let Some(lease) = settings.lease() {
        options.poll = options.poll.min(lease / 4);
    }
    options
}

/// Serves entries and peers, leads the endpoint until the agent ends, and closes the connections politely.
async fn supervise(
    agent: Arc<Agent>,
    listener: web::Listener,
    list: Arc<dyn InstanceList>,
) -> Result<(), StartError> {
    let (stop, stopped) = watch::channel(false);
    let control = agent.settings.control;
    let answering = agent.clone();
    let answer = move |message: Bytes| wake::answer(answering.clone(), message);
    peer::serve(control, stopped.clone(), answer).await.map_err(StartError::new)?;
    let server = tokio::spawn(serve(agent.clone(), listener, stopped));
    let ended = lead(agent, list.as_ref()).await;
    let _ = stop.send(true);
    let _ = tokio::time::timeout(CLOSE_LIMIT, server).await;
    ended
}

/// Takes charge of the endpoint, and leaves when told to or when another incarnation takes over.
pub(crate) async fn lead(agent: Arc<Agent>, list: &dyn InstanceList) -> Result<(), StartError> {
    tokio::select! {
        attached = attach::attach(&agent) => { attached.map_err(StartError::new)?; }
        () = agent.shutdown.reached(ShutdownPhase::Drain) => return Ok(()),
    }
    let mut tasks = JoinSet::new();
    tasks.spawn(sweep(agent.clone()));
    work(&agent, list, &mut tasks).await;
    Ok(())
}

/// How long connections may take to close once every request has its outcome.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);

/// Keeps the replicas until the agent has left or another incarnation has taken over.
async fn work(agent: &Arc<Agent>, list: &dyn InstanceList, tasks: &mut JoinSet<()>) {
    let keeper = async {
        match agent.settings.kind {
            EndpointKind::Engine => {
                let (sender, seen) = watch::channel(None);
                tasks.spawn(keeper::follow_inventory(agent.clone(), sender));
                tasks.spawn(cache::follow(agent.clone()));
                keeper::run(agent.clone(), seen).await
            }
            EndpointKind::Service => keeper::watch_takeover(agent).await,
        }
    };
    let leaving = async {
        tokio::select! {
            () = agent.shutdown.reached(ShutdownPhase::Drain) => {}
            () = drain::listed_leaving(agent, list) => {}
        }
        drain::drain(agent).await;
    };
    tokio::select! {
        barred = keeper => {
            log::warn!("agent: {barred}; this process ends");
            drain::finish_running(agent).await;
        }
        () = leaving => {}
    }
}

async fn serve(agent: Arc<Agent>, listener: web::Listener, stop: watch::Receiver<bool>) {
    let options = ServeOptions { protocol: Protocol::Http2, ..Default::default() };
    let handler = move |request, peer| dispatch::handle(agent.clone(), request, peer);
    web::serve(listener, options, stop, handler).await;
}

async fn sweep(agent: Arc<Agent>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        agent.table().sweep();
    }
}

#[cfg(test)]
mod tests;
