//! One task for each loader: it polls the loader for changes, reports the use of its models, and asks it to load models.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catalog::ModelId;
use control::{
    EngineUpdate, EnsureOutcome, EnsureRequest, LoaderClient, PollRequest, PollResponse,
};
use events::{Dependency, Event, NO_ROOM, emit, millis};
use fleet::Endpoint;
use tokio::time::Instant;
use units::{EndpointId, Revision, ServiceName};

use crate::registry::MAX_BACKOFF;
use crate::shared::Shared;
use crate::{hints, origins};

/// How long a loader is asked to hold a poll while there is nothing new, if there are few loaders. Model use is reported at
/// least this often.
const MIN_POLL_WAIT: Duration = Duration::from_millis(1_000);
/// The most polls of all loaders per second while nothing changes. Without a limit, the traffic of all routers together
/// would grow with routers times loaders. Changes are reported at once however long a poll is held.
const MAX_POLLS_PER_SECOND: u32 = 40;
/// The longest time for which a loader is asked to hold a poll.
pub(crate) const MAX_POLL_WAIT: Duration = Duration::from_secs(10);
/// The same while a loader evicts a model and waits for its last requests.
const EVICTION_POLL_WAIT: Duration = Duration::from_millis(60);
/// The first pause after a failed poll.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The longest pause after failed polls.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// The pause after each answered poll of a loader, so that a burst of changes is one message.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long an endpoint is not asked for a model after its loader could not be reached.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);

/// How often a loader gets the summary of a queue whose length has not doubled.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Starts a task for each endpoint with models that has none.
pub(crate) fn start_new(shared: &Arc<Shared>) {
    let mut table = shared.endpoints.lock();
    for tracked in table.map.values_mut() {
        if tracked.loader_task.is_none() && tracked.endpoint.holdings.is_some() {
            let endpoint = &tracked.endpoint;
            let task = poll_loader(
                shared.clone(),
                endpoint.id.clone(),
                endpoint.addr,
                endpoint.service.clone(),
            );
            tracked.loader_task = Some(tokio::spawn(task).abort_handle());
        }
    }
}

async fn poll_loader(shared: Arc<Shared>, id: EndpointId, addr: SocketAddr, service: ServiceName) {
    let loaders =
        shared.endpoints.lock().map.values().filter(|one| one.loader_task.is_some()).count();
    tokio::time::sleep(max_first_delay(loaders).mul_f64(rand::random())).await;
    let loader = shared.loader_client(addr);
    let mut seen = 0;
    let mut pause = FIRST_RETRY_PAUSE;
    let mut evicting = false;
    // Whether the loader does not know yet what its endpoint can hold.
    let mut engine_unknown = true;
    let mut lost_since: Option<Instant> = None;
    loop {
        let (incarnation, uses, steps, idle_wait, rates) = {
            let mut table = shared.endpoints.lock();
            let now = Instant::now();
            let Some(uses) = table.take_uses(&id, now) else { return };
            let loaders =
                table.map.values().filter(|tracked| tracked.loader_task.is_some()).count();
            let Some(tracked) = table.map.get_mut(&id) else { return };
            tracked.poll_wait = poll_wait(loaders);
            // A loader that was not reached may have restarted and lost what it had been told.
            let steps = tracked.speed.take_steps(lost_since.is_some(), now);
            (tracked.endpoint.incarnation, uses, steps, tracked.poll_wait, tracked.by_capacity())
        };
        let router = shared.instance.clone();
        let wait = if evicting { EVICTION_POLL_WAIT } else { idle_wait };
        let (endpoint, era) = (id.clone(), shared.store.era());
        let poll =
            PollRequest { router, endpoint, incarnation, era, seen, wait, uses, steps, rates };
        match loader.poll(&poll).await {
            Ok(polled) => {
                if let Some(since) = lost_since.take() {
                    origins::replace_records(&shared, &id);
                    let after_ms = millis(since.elapsed());
                    let name = id.as_str();
                    emit(&Event::DependencyRegained {
                        dependency: Dependency::Loader,
                        name,
                        after_ms,
                    });
                }
                pause = FIRST_RETRY_PAUSE;
                match polled {
                    PollResponse::Changed(state) => {
                        seen = state.version;
                        engine_unknown = state.engine_version == Revision(0);
                        evicting = !state.holdings.evicting.is_empty();
                        shared.apply_endpoint_state(&id, *state);
                        hints::settle_one(&shared, &id);
                    }
                    PollResponse::Unchanged(load) => {
                        if !shared.endpoints.refresh_load(&id, load) {
                            // What the endpoint held has been discarded since: it may have restarted.
                            seen = 0;
                        }
                    }
                }
                if engine_unknown {
                    send_engine(&shared, &loader, &service).await;
                }
                tokio::time::sleep(MIN_POLL_INTERVAL).await;
            }
            Err(error) => {
                if lost_since.is_none() {
                    lost_since = Some(Instant::now());
                    let (name, cause) = (id.as_str(), error.to_string());
                    emit(&Event::DependencyLost {
                        dependency: Dependency::Loader,
                        name,
                        cause: &cause,
                    });
                }
                seen = 0;
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

/// How long each of `loaders` loaders is asked to hold a poll.
pub(crate) fn poll_wait(loaders: usize) -> Duration {
    let wait =
        Duration::from_secs(1) / MAX_POLLS_PER_SECOND * u32::try_from(loaders).unwrap_or(u32::MAX);
    wait.clamp(MIN_POLL_WAIT, MAX_POLL_WAIT)
}

/// The longest delay before the first poll of a loader. All routers learn of an endpoint at the same moment, and hundreds of first
/// polls at once would take much of the memory of its loader. Until then they know of the endpoint what its list entry says.
fn max_first_delay(loaders: usize) -> Duration {
    (poll_wait(loaders) - MIN_POLL_WAIT) / 4
}

/// Sends a loader the engine that its endpoint runs, if the configuration here has one.
async fn send_engine(shared: &Shared, loader: &LoaderClient, service: &ServiceName) {
    let Some(catalog) = shared.current() else { return };
    let Some(engine) = catalog.service(service).and_then(|service| service.engine.clone()) else {
        return;
    };
    let update = EngineUpdate { version: catalog.version, engine };
    if let Err(error) = loader.update_engine(&update).await {
        log::debug!("router: a loader did not accept the engine: {error}");
    }
}

/// Asks the loader of an endpoint for a model, unless it is being asked already and fewer than twice as many requests wait
/// for the model since, and it knows if only its version may serve some of them. With queues, it is asked again after
/// [`SUMMARY_INTERVAL`].
pub(crate) fn request_load(
    shared: &Arc<Shared>,
    id: &EndpointId,
    target: &ModelId,
    request: LoadRequest,
) {
    let mut waiting;
    let queues = shared.settings.borrow().queues();
    let now = Instant::now();
    let (addr, service, software, rate) = {
        let mut table = shared.endpoints.lock();
        let Some(tracked) = table.map.get(id) else { return };
        waiting = table.waiting_at(&tracked.endpoint, &target.model);
        let rate = table.request_rate_at(&tracked.endpoint, &target.model, request.bound, now);
        let Some(tracked) = table.map.get_mut(id) else { return };
        let loads = tracked.open_loads.entry(target.clone()).or_default();
        if request.urgent {
            waiting = waiting.max(1);
        }
        let outdated = loads.asked_at.is_none_or(|asked| now - asked >= SUMMARY_INTERVAL);
        if loads.covers(waiting, request.bound) && !(queues && outdated) {
            return;
        }
        loads.bound |= request.bound;
        loads.asked_at = Some(now);
        loads.waiting = waiting;
        loads.open += 1;
        let Endpoint { addr, service, software, .. } = &tracked.endpoint;
        let (addr, service, software) = (*addr, service.clone(), software.clone());
        if request.from_store {
            table.cold.add_request(id, &target.model, now);
        }
        (addr, service, software, rate)
    };
    emit(&Event::LoadRequested {
        model: &target.to_string(),
        endpoint: id.as_str(),
        expect_ms: millis(request.expected_duration),
        cause: if request.urgent { "request" } else { "prepared" },
    });
    // A loader makes room for a model that requests wait for; a model that may only use free room has no queue there.
    let summarize = || shared.wait_queues.summary(&service, software.as_ref(), target, now);
    let queue = (queues && request.urgent).then(summarize).flatten();
    let last_deadline = queue.as_ref().map_or(Duration::ZERO, |queue| queue.last_deadline);
    let ensure = EnsureRequest {
        router: shared.instance.clone(),
        endpoint: id.clone(),
        target: target.clone(),
        within: request.within.max(last_deadline),
        waiting: if request.urgent { waiting } else { 0 },
        rate,
        queue,
        software: software.filter(|_| request.bound),
    };
    tokio::spawn(send_load_request(shared.clone(), addr, ensure));
}

/// How a model is to be loaded.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadRequest {
    /// Whether a request waits for the model; if not, it is prefetched.
    pub(crate) urgent: bool,
    /// How long the model is waited for.
    pub(crate) within: Duration,
    /// How long the load is expected to take.
    pub(crate) expected_duration: Duration,
    /// Whether the model is loaded from the weight store.
    pub(crate) from_store: bool,
    /// Whether it is loaded for requests that only the endpoint's version of the software may serve.
    pub(crate) bound: bool,
}

async fn send_load_request(shared: Arc<Shared>, addr: SocketAddr, ensure: EnsureRequest) {
    let response = shared.loader_client(addr).ensure(&ensure).await;
    let (pause, cause) = match &response {
        Ok(response) => match response.outcome {
            EnsureOutcome::Ready => (Duration::ZERO, String::new()),
            EnsureOutcome::Refused(after) => (after.min(MAX_BACKOFF), NO_ROOM.to_owned()),
        },
        Err(error) => (UNREACHABLE_PAUSE, error.to_string()),
    };
    let EnsureRequest { endpoint: id, target, .. } = ensure;
    if !pause.is_zero() {
        emit(&Event::LoadDeclined {
            model: &target.to_string(),
            endpoint: id.as_str(),
            after_ms: millis(pause),
            cause: &cause,
        });
    }
    if let Ok(response) = response {
        shared.apply_endpoint_state(&id, response.state);
        hints::settle_one(&shared, &id);
    }
    let mut table = shared.endpoints.lock();
    table.cold.remove_request(&id, &target.model);
    if let Some(tracked) = table.map.get_mut(&id) {
        if let Some(loads) = tracked.open_loads.get_mut(&target) {
            loads.open -= 1;
            if loads.open == 0 {
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
    shared.endpoints.changed.notify_waiters();
}

#[cfg(test)]
mod tests;
