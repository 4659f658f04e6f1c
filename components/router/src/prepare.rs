//! Brings in models without a copy while the weight store has free lanes.

use std::sync::Arc;
use std::time::Duration;

use catalog::{Engine, ModelId};
use placement::{Candidate, PrefetchCapacity};
use tokio::time::Instant;
use units::{EndpointId, ModelName, ServiceName};

use crate::loader_task::{self, LoadRequest};
use crate::shared::Shared;

/// How often it looks.
const PACE: Duration = Duration::from_millis(400);
/// How many times its own length a load may take before it is asked for again.
const PATIENCE: u32 = 4;

/// Looks for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(PACE).await;
        let Some(catalog) = shared.current() else { continue };
        for service in catalog.services() {
            let Some(engine) = &service.engine else { continue };
            for (model, id) in missing(&shared, &service.name, engine) {
                let expect = engine.model(&model).map_or(Duration::ZERO, |spec| spec.store_load);
                let wish =
                    LoadRequest { urgent: false, within: expect * PATIENCE, expect, cold: true };
                loader_task::request_load(&shared, &id, &ModelId { model, adapter: None }, wish);
            }
        }
    }
}

fn missing(
    shared: &Shared,
    service: &ServiceName,
    engine: &Engine,
) -> Vec<(ModelName, EndpointId)> {
    let now = Instant::now();
    let peers = shared.known.lock();
    let all: Vec<_> = peers.map.values().filter(|p| p.endpoint.service == *service).collect();
    let ready = all.iter().filter(|peer| peer.accepts_work());
    // Before a loader is heard, a copy may seem to be missing that is there.
    if !peers.list_loaded || !ready.clone().any(|peer| peer.state.is_some()) {
        return Vec::new();
    }
    let candidates: Vec<Candidate<'_>> = ready
        .map(|peer| {
            let able = peer.can_load(now) && peer.usable(now) && !refused(peer, now);
            peer.candidate(able, now)
        })
        .collect();
    let free = PrefetchCapacity {
        free: peers.cold.available_permits(now),
        total: peers.cold.permit_limit(),
    };
    let asked =
        peers.map.values().flat_map(|peer| peer.open_loads.keys().map(|id| &id.model)).collect();
    let demand = |model: &ModelName| peers.request_rate(model, now);
    let planned = placement::plan_prefetch(&candidates, engine, free, &asked, demand);
    planned.into_iter().map(|(name, i)| (name, candidates[i].endpoint.id.clone())).collect()
}

/// Whether its loader has refused something just now: there is no room.
fn refused(peer: &crate::endpoint::TrackedEndpoint, now: Instant) -> bool {
    peer.refused_until.values().any(|until| *until > now)
}
