//! Which endpoint loads a model that no endpoint holds, or that needs more replicas.
//!
//! Load pattern: the first requests for a model arrive in a burst through many routers at once. All routers rank the
//! endpoints alike, so without coordination they ask the same loader and share one load.

use std::time::Duration;

use catalog::{Engine, ModelId, ModelSpec};
use fleet::{Holdings, Tier};
use units::ModelName;

use crate::Candidate;

/// An endpoint to load a model on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadTarget {
    /// The index of the candidate.
    pub index: usize,
    /// Where the weights come from.
    pub tier: Tier,
    /// The expected time until the model is ready.
    pub ready_in: Duration,
}

/// The delay caused by each model that is queued at the loader: a load from disk, with its order.
const QUEUED_MODEL_DELAY: Duration = Duration::from_millis(500);
/// The delay caused by the additional order that makes room.
const EVICTION_ORDER_DELAY: Duration = Duration::from_millis(150);
/// The delay caused by each request of this router that runs on the endpoint: running requests make it likely that the
/// load has to wait for room.
const RUNNING_REQUEST_DELAY: Duration = Duration::from_millis(15);

/// Where the weights of a replica may come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSource {
    /// From the endpoint's own copies.
    CopiesOnly,
    /// Also from the weight store, if no endpoint keeps a copy.
    CopiesOrStore,
}

/// Chooses the best endpoint to load a model on.
pub(crate) fn choose_load_target(
    candidates: &[Candidate<'_>],
    id: &ModelId,
    engine: &Engine,
    source: LoadSource,
) -> Option<LoadTarget> {
    choose_load_targets(candidates, id, engine, source, 1).pop()
}

/// Chooses at most `max` endpoints to load a model on at once, the best first; only the first one may load from the
/// weight store, the others load from copies.
pub fn choose_load_targets(
    candidates: &[Candidate<'_>],
    id: &ModelId,
    engine: &Engine,
    source: LoadSource,
    max: usize,
) -> Vec<LoadTarget> {
    let needs = LoadNeeds { id, engine, source, max };
    best_load_targets(candidates, &needs, |target, _| target.ready_in)
}

/// The same for requests that need a fast endpoint: the expected time counts longer at slower endpoints. What is
/// returned is not scaled, since weights load equally fast everywhere.
pub fn choose_fast_load_targets(
    candidates: &[Candidate<'_>],
    id: &ModelId,
    engine: &Engine,
    source: LoadSource,
    max: usize,
) -> Vec<LoadTarget> {
    let needs = LoadNeeds { id, engine, source, max };
    best_load_targets(candidates, &needs, |target, candidate| candidate.scaled(target.ready_in))
}

/// What is to be loaded.
struct LoadNeeds<'a> {
    id: &'a ModelId,
    engine: &'a Engine,
    source: LoadSource,
    max: usize,
}

/// The targets with the lowest costs, the best first.
fn best_load_targets(
    candidates: &[Candidate<'_>],
    needs: &LoadNeeds<'_>,
    cost: impl Fn(&LoadTarget, &Candidate<'_>) -> Duration,
) -> Vec<LoadTarget> {
    let LoadNeeds { id, engine, source, max } = *needs;
    let Some(spec) = engine.model(&id.model) else { return Vec::new() };
    let key = id.model.as_str();
    let tiers: Vec<Option<Tier>> = candidates
        .iter()
        .map(|candidate| candidate.holdings.map(|holdings| holdings.tier(&id.model)))
        .collect();
    let store = match source {
        LoadSource::CopiesOnly => false,
        LoadSource::CopiesOrStore => tiers.iter().flatten().all(|tier| *tier == Tier::Store),
    };
    let able = candidates.iter().enumerate().filter(|(_, candidate)| candidate.can_load);
    let targets = able.filter_map(|(index, candidate)| {
        let (holdings, tier) = (candidate.holdings?, tiers[index]?);
        let is_loading = holdings.loading.as_ref().is_some_and(|l| l.model == id.model);
        // Most endpoints have no copy: they are left out before anything is estimated.
        if tier == Tier::Store && !is_loading && !store {
            return None;
        }
        let ready_in = estimate_load(candidate, holdings, tier, &id.model, spec, engine);
        let target = LoadTarget { index, tier, ready_in };
        Some((target, (cost(&target, candidate), candidate.rank(key))))
    });
    let mut targets: Vec<(LoadTarget, (Duration, u64))> = targets.collect();
    targets.sort_by_key(|(_, cost)| *cost);
    let best = targets.into_iter().map(|(target, _)| target).take(max.max(1)).enumerate();
    best.filter(|(place, target)| *place == 0 || target.tier < Tier::Store)
        .map(|(_, t)| t)
        .collect()
}

/// Whether an endpoint holds a model or keeps a copy of it.
pub fn has_copy(candidates: &[Candidate<'_>], model: &ModelName) -> bool {
    let mut holdings = candidates.iter().filter_map(|candidate| candidate.holdings);
    holdings.any(|held| held.tier(model) != Tier::Store)
}

/// Estimates how long until a model is ready on an endpoint that loads it from this tier.
fn estimate_load(
    candidate: &Candidate<'_>,
    holdings: &Holdings,
    tier: Tier,
    model: &ModelName,
    spec: &ModelSpec,
    engine: &Engine,
) -> Duration {
    let load = tier.load_time(spec);
    if tier == Tier::Adapter {
        return load + RUNNING_REQUEST_DELAY * candidate.running;
    }
    if let Some(loading) = &holdings.loading
        && loading.model == *model
    {
        return loading.remaining;
    }
    let current_load =
        holdings.loading.as_ref().map_or(Duration::ZERO, |loading| loading.remaining);
    let has_room = candidate.free_memory(engine) >= spec.weights;
    let room = if has_room { Duration::ZERO } else { EVICTION_ORDER_DELAY + candidate.room_wait };
    load + current_load
        + QUEUED_MODEL_DELAY * candidate.queued_models
        + room
        + RUNNING_REQUEST_DELAY * candidate.running
}

#[cfg(test)]
mod tests;
