//! One task for each loader: it asks for news, says what this router uses, and asks for models.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catalog::ModelId;
use control::{EngineNews, Ensure, Loader, Poll, Polled, Verdict};
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
    let mut table = shared.known.lock();
    for tracked in table.map.values_mut() {
        if tracked.loader_task.is_none() && tracked.endpoint.holdings.is_some() {
            let endpoint = &tracked.endpoint;
            let follow = follow(
                shared.clone(),
                endpoint.id.clone(),
                endpoint.addr,
                endpoint.service.clone(),
            );
            tracked.loader_task = Some(tokio::spawn(follow).abort_handle());
        }
    }
}

async fn follow(shared: Arc<Shared>, id: EndpointId, addr: SocketAddr, service: ServiceName) {
    let loader = shared.loader(addr);
    let mut seen = 0;
    let mut pause = RETRY;
    let mut leaving = false;
    // Whether it does not know yet what its endpoint can hold.
    let mut unaware = true;
    let mut lost: Option<Instant> = None;
    loop {
        let (life, uses, calm) = {
            let mut table = shared.known.lock();
            let Some(uses) = table.take_uses(&id, Instant::now()) else { return };
            let loaders =
                table.map.values().filter(|tracked| tracked.loader_task.is_some()).count();
            let Some(tracked) = table.map.get_mut(&id) else { return };
            tracked.poll_wait = poll_wait(loaders);
            (tracked.endpoint.life, uses, tracked.poll_wait)
        };
        let router = shared.instance.clone();
        let wait = if leaving { DRAIN_WAIT } else { calm };
        let (endpoint, era) = (id.clone(), shared.store.era());
        let poll = Poll { router, endpoint, life, era, seen, wait, uses };
        match loader.poll(&poll).await {
            Ok(polled) => {
                if let Some(since) = lost.take() {
                    let after_ms = millis(since.elapsed());
                    let name = id.as_str();
                    emit(&Event::Regained { dependency: Dependency::Loader, name, after_ms });
                }
                pause = RETRY;
                match polled {
                    Polled::News(state) => {
                        seen = state.version;
                        unaware = state.engine == Revision(0);
                        leaving = !state.holdings.leaving.is_empty();
                        shared.heard(&id, *state);
                    }
                    Polled::Same(load) => {
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
async fn tell_engine(shared: &Shared, loader: &Loader, service: &ServiceName) {
    let Some(catalog) = shared.current() else { return };
    let Some(engine) = catalog.service(service).and_then(|service| service.engine.clone()) else {
        return;
    };
    let news = EngineNews { version: catalog.version, engine };
    if let Err(error) = loader.engine(&news).await {
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
        let mut table = shared.known.lock();
        waiting = table.waiting.get(&target.model).copied().unwrap_or(0);
        let Some(tracked) = table.map.get_mut(id) else { return };
        let asks = tracked.open_loads.entry(target.clone()).or_default();
        if request.urgent {
            waiting = waiting.max(1);
        }
        if asks.open > 0 && waiting < asks.waiting.max(1) * 2 {
            return;
        }
        asks.waiting = waiting;
        asks.open += 1;
        let addr = tracked.endpoint.addr;
        let now = Instant::now();
        let rate = table.request_rate(&target.model, now);
        if request.cold {
            table.cold.ask(id, &target.model, now);
        }
        (addr, rate)
    };
    emit(&Event::Wanted {
        model: &target.to_string(),
        endpoint: id.as_str(),
        expect_ms: millis(request.expect),
        cause: if request.urgent { "request" } else { "prepared" },
    });
    let ensure = Ensure {
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

async fn ask(shared: Arc<Shared>, addr: SocketAddr, ensure: Ensure) {
    let ensured = shared.loader(addr).ensure(&ensure).await;
    let (pause, cause) = match &ensured {
        Ok(ensured) => match ensured.verdict {
            Verdict::Ready => (Duration::ZERO, String::new()),
            Verdict::Refused(after) => (after, NO_ROOM.to_owned()),
        },
        Err(error) => (AGAIN, error.to_string()),
    };
    let Ensure { endpoint: id, target, .. } = ensure;
    if !pause.is_zero() {
        emit(&Event::Declined {
            model: &target.to_string(),
            endpoint: id.as_str(),
            after_ms: millis(pause),
            cause: &cause,
        });
    }
    if let Ok(ensured) = ensured {
        shared.heard(&id, ensured.state);
    }
    let mut table = shared.known.lock();
    table.cold.answered(&id, &target.model);
    if let Some(tracked) = table.map.get_mut(&id) {
        if let Some(asks) = tracked.open_loads.get_mut(&target) {
            asks.open -= 1;
            if asks.open == 0 {
                tracked.open_loads.remove(&target);
            }
        }
        if pause.is_zero() {
            tracked.refused_until.remove(&target);
        } else {
            tracked.refused_until.insert(target, Instant::now() + pause);
        }
    }
    drop(table);
    shared.known.changed.notify_waiters();
}

#[cfg(test)]
mod tests;
