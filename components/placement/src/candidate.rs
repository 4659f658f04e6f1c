//! An endpoint as the placement decisions see it.

use std::time::Duration;

use catalog::Engine;
use fleet::{Endpoint, Holdings};
use units::{EndpointId, ModelName, Size};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An endpoint that may get requests or load models.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub endpoint: &'a Endpoint,
    /// The models and copies that the endpoint has, if it runs models.
    pub holdings: Option<&'a Holdings>,
    /// Requests of this router that run there.
    pub running: u32,
    /// Requests of all routers that run there, as last reported by the endpoint's loader; at least those of this
    /// router.
    pub total_running: u32,
    /// The time that the endpoint is expected to need for the prompts of all routers that it has yet to process.
    pub backlog: Duration,
    /// The number of requests that failed there recently; older failures count less.
    pub failures: f64,
    /// Models that wait at the endpoint's loader.
    pub queued_models: u32,
    /// The time until there is room for one more model, as expected by the endpoint's loader.
    pub room_wait: Duration,
    /// Whether the endpoint's loader can be asked to load models.
    pub can_load: bool,
    /// How long the endpoint takes for the same work, relative to the median endpoint of its service; 1 if that is not known.
    pub time_factor: f64,
    /// Whether the endpoints of the service differ so much in speed that requests go by capacity.
    pub balanced: bool,
}

/// A number that ranks endpoints for a key, the same on all routers; the lowest rank goes first.
pub fn rank(endpoint: &EndpointId, key: &str) -> u64 {
    xxh3_64_with_seed(endpoint.as_str().as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Memory is scarce if less than this part of the endpoints could load another model at once. Requests of a model then
/// go to as few of its replicas as possible and no replicas are added, since memory is worth more to a model that has
/// no replica: this serves deployments better where half of the demand is for rare models.
const MIN_ENDPOINTS_WITH_ROOM: f64 = 0.4;

/// Whether accelerator memory is scarce on these endpoints.
pub fn memory_scarce(candidates: &[Candidate<'_>]) -> bool {
    let able = candidates.iter().filter(|candidate| candidate.can_load);
    let with_room = able
        .clone()
        .filter(|candidate| candidate.room_wait.is_zero() && candidate.queued_models == 0);
    (with_room.count() as f64) < MIN_ENDPOINTS_WITH_ROOM * able.count() as f64
}

impl Candidate<'_> {
    /// The endpoint's rank for a key.
    pub(crate) fn rank(&self, key: &str) -> u64 {
        rank(&self.endpoint.id, key)
    }

    /// The part of the endpoint's slots that is taken.
    pub fn slot_share(&self) -> f64 {
        f64::from(self.total_running.max(self.running)) / f64::from(self.endpoint.slots.max(1))
    }

    /// Accelerator memory that is free for weights.
    pub(crate) fn free_memory(&self, engine: &Engine) -> Size {
        let Some(holdings) = self.holdings else { return Size(0) };
        let size = |name: &ModelName, adapters: usize| {
            let spec = engine.model(name);
            spec.map_or(Size(0), |spec| spec.weights + spec.adapter.saturating_mul(adapters))
        };
        let held = holdings.models.iter().map(|held| size(&held.model, held.adapters.len())).sum();
        let loading = holdings.loading.as_ref().map_or(Size(0), |loading| size(&loading.model, 0));
        engine.memory.saturating_sub(held).saturating_sub(loading)
    }
}
