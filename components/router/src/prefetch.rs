//! Loads models before a request needs them, while the weight store can serve more loads.

use std::sync::Arc;
use std::time::Duration;

use catalog::{Engine, ModelId};
use placement::{Candidate, PrefetchCapacity};
use tokio::time::Instant;
use units::{EndpointId, ModelName, ServiceName};

use crate::loader_task::{self, LoadRequest};
use crate::shared::Shared;

/// Interval between two searches for models to prefetch.
const SEARCH_INTERVAL: Duration = Duration::from_millis(400);
/// A load is requested again after its expected duration times this.
const LOAD_TIMEOUT_FACTOR: u32 = 4;

/// Prefetches models for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SEARCH_INTERVAL).await;
        let Some(catalog) = shared.current() else { continue };
        for service in catalog.services() {
            let Some(engine) = &service.engine else { continue };
            for (model, id) in plan_loads(&shared, &service.name, engine) {
                let duration = engine.model(&model).map_or(Duration::ZERO, |spec| spec.store_load);
                let wish = LoadRequest {
                    urgent: false,
                    within: duration * LOAD_TIMEOUT_FACTOR,
                    expected_duration: duration,
                    from_store: true,
                    bound: false,
                };
                loader_task::request_load(&shared, &id, &ModelId { model, adapter: None }, wish);
            }
        }
    }
}

fn plan_loads(
    shared: &Shared,
    service: &ServiceName,
    engine: &Engine,
) -> Vec<(ModelName, EndpointId)> {
    let now = Instant::now();
    let table = shared.endpoints.lock();
    let endpoints: Vec<_> =
        table.map.values().filter(|tracked| tracked.endpoint.service == *service).collect();
    let accepting = endpoints.iter().filter(|tracked| tracked.accepts_work());
    // Before any loader has reported, existing copies may seem to be missing.
    if !table.list_loaded || !accepting.clone().any(|tracked| tracked.state.is_some()) {
        return Vec::new();
    }
    let candidates: Vec<Candidate<'_>> = accepting
        .map(|tracked| {
            let able = tracked.can_load(now)
                && tracked.rate_limit(now).is_none()
                && tracked.usable(now)
                && !refused_recently(tracked, now);
            tracked.candidate(able, now)
        })
        .collect();
    let free = PrefetchCapacity {
        free: table.cold.available_permits(now),
        total: table.cold.permit_limit(),
    };
    let requested = table
        .map
        .values()
        .flat_map(|tracked| tracked.open_loads.keys().map(|id| &id.model))
        .collect();
    let demand = |model: &ModelName| table.request_rate(model, now);
    let planned = placement::plan_prefetch(&candidates, engine, free, &requested, demand);
    planned.into_iter().map(|(name, i)| (name, candidates[i].endpoint.id.clone())).collect()
}

/// Whether the loader of an endpoint has recently refused a model: there is no room.
fn refused_recently(tracked: &crate::endpoint::TrackedEndpoint, now: Instant) -> bool {
    tracked.refused_until.values().any(|until| *until > now)
}
