//! An endpoint as the decisions see it.

use std::time::Duration;

use catalog::{Engine, ModelSpec};
use fleet::{Endpoint, Holdings};
use units::{EndpointId, ModelName, Size};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An endpoint that may get work.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// It.
    pub endpoint: &'a Endpoint,
    /// What it holds, if it runs models.
    pub holdings: Option<&'a Holdings>,
    /// Requests of this router that it has.
    pub running: u32,
    /// Requests that it has of all routers, as its loader last said; at least those of this router.
    pub total_running: u32,
    /// How long it is expected to read prompts that it has already, of all routers.
    pub backlog: Duration,
    /// Requests that failed there of late.
    pub failures: f64,
    /// Models that wait at its loader.
    pub queued_models: u32,
    /// How long its loader expects to take until there is room for one more model.
    pub room_wait: Duration,
    /// Whether its loader can be asked for models.
    pub can_load: bool,
}

/// A number that ranks endpoints for a key alike on all routers; the lowest goes first.
pub fn rank(endpoint: &EndpointId, key: &str) -> u64 {
    xxh3_64_with_seed(endpoint.as_str().as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Room is short if fewer than this part of the endpoints could take another model at once. Requests of a model are then
/// kept together and further holders are not taken for them, since a place is worth more to a model that has none:
/// where half of the demand is for rare models, a day was worth 0.02 more with both, mean of 10 days.
const ROOMY: f64 = 0.4;

/// Whether room is short on these endpoints.
pub fn memory_scarce(candidates: &[Candidate<'_>]) -> bool {
    let able = candidates.iter().filter(|one| one.can_load);
    let roomy = able.clone().filter(|one| one.room_wait.is_zero() && one.queued_models == 0);
    (roomy.count() as f64) < ROOMY * able.count() as f64
}

impl Candidate<'_> {
    /// Its rank for a key.
    pub(crate) fn rank(&self, key: &str) -> u64 {
        rank(&self.endpoint.id, key)
    }

    /// The part of its slots that is taken.
    pub fn fill(&self) -> f64 {
        f64::from(self.total_running.max(self.running)) / f64::from(self.endpoint.slots.max(1))
    }

    /// Accelerator memory that is free for weights.
    pub(crate) fn free(&self, engine: &Engine) -> Size {
        let Some(holdings) = self.holdings else { return Size(0) };
        let weights = |name: &ModelName| engine.model(name).map_or(Size(0), |spec| spec.weights);
        let adapters = |held: &fleet::LoadedModel| {
            let each = engine.model(&held.model).map_or(0, |spec: &ModelSpec| spec.adapter.0);
            Size(each * held.adapters.len() as u64)
        };
        let held = holdings.models.iter().map(|held| weights(&held.model) + adapters(held)).sum();
        let coming = holdings.loading.as_ref().map_or(Size(0), |loading| weights(&loading.model));
        engine.memory.saturating_sub(held).saturating_sub(coming)
    }
}
