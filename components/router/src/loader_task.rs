//! One task for each loader: it asks for news, says what this router uses, and asks for models.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catalog::ModelId;
use control::{
    EngineUpdate, EnsureOutcome, EnsureRequest, LoaderClient, PollRequest, PollResponse,
};
use events::{Dependency, Event, NO_ROOM, emit, millis};
use tokio::time::Instant;
use units::{EndpointId, Revision, ServiceName};

use crate::shared::Shared;

/// How long a loader is asked to wait for news where there are few; uses are told at least this often.
const WAIT: Duration = Duration::from_millis(1_000);
/// A router asks no more loaders than this a second while there is no news, or the bytes of all routers together grow with
/// routers times loaders: news are told at once however long a question waits.
const ASKED: u32 = 40;
/// The longest wait.
const LONGEST_WAIT: Duration = Duration::from_secs(10);
/// The same while a model makes room and waits for the last of its requests.
const DRAIN_WAIT: Duration = Duration::from_millis(60);
/// The first pause after a failed call.
const RETRY: Duration = Duration::from_millis(200);
/// The longest pause.
const LONGEST: Duration = Duration::from_secs(1);
/// News of one loader are read at this pace, so that a burst of changes is one message.
const PACE: Duration = Duration::from_millis(20);
/// When an endpoint is asked again for a model, after its loader could not be reached.
const AGAIN: Duration = Duration::from_millis(500);

/// Starts a task for each endpoint with models that has none.
pub(crate) fn start_new(shared: &Arc<Shared>) {
    let mut peers = shared.known.lock();
    for peer in peers.map.values_mut() {
        if peer.loader_task.is_none() && peer.endpoint.holdings.is_some() {
            let endpoint = &peer.endpoint;
            let follow = follow(
                shared.clone(),
                endpoint.id.clone(),
                endpoint.addr,
                endpoint.service.clone(),
            );
            peer.loader_task = Some(tokio::spawn(follow).abort_handle());
        }
    }
}

async fn follow(shared: Arc<Shared>, id: EndpointId, addr: SocketAddr, service: ServiceName) {
    let loader = shared.loader_client(addr);
    let mut seen = 0;
    let mut pause = RETRY;
    let mut leaving = false;
    // Whether it does not know yet what its endpoint can hold.
    let mut unaware = true;
    let mut lost: Option<Instant> = None;
    loop {
        let (life, uses, calm) = {
            let mut peers = shared.known.lock();
            let Some(uses) = peers.take_uses(&id, Instant::now()) else { return };
            let loaders = peers.map.values().filter(|peer| peer.loader_task.is_some()).count();
            let Some(peer) = peers.map.get_mut(&id) else { return };
            peer.poll_wait = poll_wait(loaders);
            (peer.endpoint.incarnation, uses, peer.poll_wait)
        };
        let router = shared.instance.clone();
        let wait = if leaving { DRAIN_WAIT } else { calm };
        let (endpoint, era) = (id.clone(), shared.store.era());
        let poll = PollRequest { router, endpoint, incarnation: life, era, seen, wait, uses };
        match loader.poll(&poll).await {
            Ok(polled) => {
                if let Some(since) = lost.take() {
                    let after_ms = millis(since.elapsed());
                    let name = id.as_str();
                    emit(&Event::Regained { dependency: Dependency::Loader, name, after_ms });
                }
                pause = RETRY;
                match polled {
                    PollResponse::Changed(state) => {
                        seen = state.version;
                        unaware = state.engine_version == Revision(0);
                        leaving = !state.holdings.evicting.is_empty();
                        shared.apply_endpoint_state(&id, *state);
                    }
                    PollResponse::Unchanged(load) => {
                        if !shared.known.refresh_load(&id, load) {
                            // What it held is forgotten since: it may have started again.
                            seen = 0;
                        }
                    }
                }
                if unaware {
                    tell_engine(&shared, &loader, &service).await;
                }
                tokio::time::sleep(PACE).await;
            }
            Err(error) => {
                if lost.is_none() {
                    lost = Some(Instant::now());
                    let (name, cause) = (id.as_str(), error.to_string());
                    emit(&Event::Lost { dependency: Dependency::Loader, name, cause: &cause });
                }
                seen = 0;
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST);
            }
        }
    }
}

/// How long each of so many loaders is asked to wait for news.
pub(crate) fn poll_wait(loaders: usize) -> Duration {
    let wait = Duration::from_secs(1) / ASKED * u32::try_from(loaders).unwrap_or(u32::MAX);
    wait.clamp(WAIT, LONGEST_WAIT)
}

/// Tells a loader what its endpoint can hold, if that is known here.
async fn tell_engine(shared: &Shared, loader: &LoaderClient, service: &ServiceName) {
    let Some(catalog) = shared.current() else { return };
    let Some(engine) = catalog.service(service).and_then(|service| service.engine.clone()) else {
        return;
    };
    let news = EngineUpdate { version: catalog.version, engine };
    if let Err(error) = loader.update_engine(&news).await {
        log::debug!("router: a loader did not take the engine: {error}");
    }
}

/// Asks the loader of an endpoint for a model, unless it has been asked already and not many more wait since.
pub(crate) fn request_load(
    shared: &Arc<Shared>,
    id: &EndpointId,
    target: &ModelId,
    request: LoadRequest,
) {
    let mut waiting;
    let (addr, rate) = {
        let mut peers = shared.known.lock();
        waiting = peers.waiting.get(&target.model).copied().unwrap_or(0);
        let Some(peer) = peers.map.get_mut(id) else { return };
        let asks = peer.open_loads.entry(target.clone()).or_default();
        if request.urgent {
            waiting = waiting.max(1);
        }
        if asks.open > 0 && waiting < asks.waiting.max(1) * 2 {
            return;
        }
        asks.waiting = waiting;
        asks.open += 1;
        let addr = peer.endpoint.addr;
        let now = Instant::now();
        let rate = peers.request_rate(&target.model, now);
        if request.cold {
            peers.cold.add_request(id, &target.model, now);
        }
        (addr, rate)
    };
    emit(&Event::Wanted {
        model: &target.to_string(),
        endpoint: id.as_str(),
        expect_ms: millis(request.expect),
        cause: if request.urgent { "request" } else { "prepared" },
    });
    let ensure = EnsureRequest {
        router: shared.instance.clone(),
        endpoint: id.clone(),
        target: target.clone(),
        within: request.within,
        waiting: if request.urgent { waiting } else { 0 },
        rate,
    };
    tokio::spawn(ask(shared.clone(), addr, ensure));
}

/// How much a model is wanted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadRequest {
    /// Whether a request waits for it; else it is prepared for later.
    pub(crate) urgent: bool,
    /// How long it is waited for.
    pub(crate) within: Duration,
    /// How long the load is expected to take.
    pub(crate) expect: Duration,
    /// Whether it comes from the weight store.
    pub(crate) cold: bool,
}

async fn ask(shared: Arc<Shared>, addr: SocketAddr, ensure: EnsureRequest) {
    let ensured = shared.loader_client(addr).ensure(&ensure).await;
    let (pause, cause) = match &ensured {
        Ok(ensured) => match ensured.outcome {
            EnsureOutcome::Ready => (Duration::ZERO, String::new()),
            EnsureOutcome::Refused(after) => (after, NO_ROOM.to_owned()),
        },
        Err(error) => (AGAIN, error.to_string()),
    };
    let EnsureRequest { endpoint: id, target, .. } = ensure;
    if !pause.is_zero() {
        emit(&Event::Declined {
            model: &target.to_string(),
            endpoint: id.as_str(),
            after_ms: millis(pause),
            cause: &cause,
        });
    }
    if let Ok(ensured) = ensured {
        shared.apply_endpoint_state(&id, ensured.state);
    }
    let mut peers = shared.known.lock();
    peers.cold.remove_request(&id, &target.model);
    if let Some(peer) = peers.map.get_mut(&id) {
        if let Some(asks) = peer.open_loads.get_mut(&target) {
            asks.open -= 1;
            if asks.open == 0 {
                peer.open_loads.remove(&target);
            }
        }
        if pause.is_zero() {
            peer.refused_until.remove(&target);
        } else {
            peer.refused_until.insert(target, Instant::now() + pause);
        }
    }
    drop(peers);
    shared.known.changed.notify_waiters();
}

#[cfg(test)]
mod tests;
