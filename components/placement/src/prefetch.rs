//! Which models are loaded before a request waits for them, where, and in what order.
//!
//! Load pattern: many rare models, each requested a few times a day, and a weight store that delivers one model every
//! few seconds. A model with a copy on any endpoint is ready in under a second; one without is late for its first
//! callers. So the permits for loads from the store are used from the start, with one load per endpoint, and each model
//! is loaded once. When a release replaces endpoints by new ones without copies, most models lack a copy at once,
//! including the ones that all callers request, so the most requested models are loaded first.

use std::collections::HashSet;

use catalog::Engine;
use fleet::Tier;
use units::{ModelName, Size};

use crate::Candidate;

/// The rate of requests at one router, per second, from which on a model is loaded on a new endpoint before it is short
/// of replicas; a lower rate may be chance.
const MIN_REPLICATION_RATE: f64 = 2.0;

/// The models of which no endpoint keeps a copy and none is being loaded, the most requested first; `demand` gives the
/// requests a second. Models with the same demand stay in the order of the configuration, which all routers share.
fn models_without_copy<'a>(
    candidates: &[Candidate<'_>],
    engine: &'a Engine,
    demand: impl Fn(&ModelName) -> f64,
) -> Vec<(&'a ModelName, f64)> {
    let available = available_models(candidates);
    let models = engine.models.iter().map(|(name, _)| name);
    let missing = models.filter(|name| !available.contains(name));
    let mut missing: Vec<(&ModelName, f64)> = missing.map(|name| (name, demand(name))).collect();
    missing.sort_by(|(_, a), (_, b)| b.total_cmp(a));
    missing
}

/// The permits for loads from the weight store that may be used for models that no request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefetchCapacity {
    /// Permits that are free.
    pub free: usize,
    /// All permits, free or taken.
    pub total: usize,
}

/// Plans the next loads, as far as there are free permits, each as a model and the index of a candidate: first models
/// without a copy that are requested, then, on endpoints that are still empty, the models with the most requests per
/// copy, then models without a copy that nobody has requested yet. Models in `asked` are being loaded already.
///
/// Unrequested models leave half of the permits to requests. Otherwise, when a release takes the last copies of the
/// busiest model, unrequested models can hold all permits for the 6 s of a load.
pub fn plan_prefetch(
    candidates: &[Candidate<'_>],
    engine: &Engine,
    capacity: PrefetchCapacity,
    asked: &HashSet<&ModelName>,
    demand: impl Fn(&ModelName) -> f64,
) -> Vec<(ModelName, usize)> {
    let mut missing = models_without_copy(candidates, engine, &demand);
    missing.retain(|(name, _)| !asked.contains(name));
    let requested = missing.iter().filter(|(_, demand)| *demand > 0.0).map(|(name, _)| *name);
    let unrequested = missing.iter().filter(|(_, demand)| *demand <= 0.0).map(|(name, _)| *name);
    let mut planned = Vec::new();
    for name in requested {
        if planned.len() < capacity.free {
            planned.extend(plan_load(candidates, engine, name, &planned, false));
        }
    }
    for name in underreplicated_models(candidates, engine, &demand) {
        if planned.len() < capacity.free && !asked.contains(name) {
            planned.extend(plan_load(candidates, engine, name, &planned, true));
        }
    }
    let spare = capacity.free.saturating_sub(capacity.total / 2);
    for name in unrequested {
        if planned.len() < spare {
            planned.extend(plan_load(candidates, engine, name, &planned, false));
        }
    }
    planned
}

/// Models with a copy that are requested often and not being loaded, those with the most requests per copy first; none
/// if no endpoint is empty.
fn underreplicated_models<'a>(
    candidates: &[Candidate<'_>],
    engine: &'a Engine,
    demand: impl Fn(&ModelName) -> f64,
) -> Vec<&'a ModelName> {
    if !candidates.iter().any(|candidate| candidate.can_load && is_empty(candidate)) {
        return Vec::new();
    }
    let holdings = || candidates.iter().filter_map(|candidate| candidate.holdings);
    let is_loading =
        |name: &ModelName| holdings().any(|h| h.loading.as_ref().is_some_and(|l| l.model == *name));
    let copies =
        |name: &ModelName| holdings().filter(|held| held.tier(name) != Tier::Store).count();
    let models = engine.models.iter().map(|(name, _)| (name, demand(name)));
    let requested =
        models.filter(|(name, demand)| *demand >= MIN_REPLICATION_RATE && !is_loading(name));
    let mut demand_per_copy: Vec<(&ModelName, f64)> = requested
        .map(|(name, demand)| (name, copies(name), demand))
        .filter(|(_, copies, _)| *copies > 0)
        .map(|(name, copies, demand)| (name, demand / copies as f64))
        .collect();
    demand_per_copy.sort_by(|(_, a), (_, b)| b.total_cmp(a));
    demand_per_copy.into_iter().map(|(name, _)| name).collect()
}

/// Whether an endpoint holds, loads and keeps copies of no model yet, as a new endpoint does.
fn is_empty(candidate: &Candidate<'_>) -> bool {
    candidate.holdings.is_some_and(|held| {
        held.models.is_empty()
            && held.loading.is_none()
            && held.copies.disk.is_empty()
            && held.copies.memory.is_empty()
    })
}

/// Chooses the best idle endpoint to prefetch a model on, if there is one; with `empty_only`, only an empty endpoint.
fn plan_load(
    candidates: &[Candidate<'_>],
    engine: &Engine,
    name: &ModelName,
    planned: &[(ModelName, usize)],
    empty_only: bool,
) -> Option<(ModelName, usize)> {
    let spec = engine.model(name)?;
    let idle = candidates.iter().enumerate().filter(|(index, candidate)| {
        let idle = candidate.holdings.is_some_and(|held| held.loading.is_none());
        candidate.can_load
            && idle
            && (!empty_only || is_empty(candidate))
            && candidate.queued_models == 0
            && planned.iter().all(|(_, i)| i != index)
    });
    let best = idle.min_by_key(|(_, candidate)| {
        let lacks_room = candidate.free_memory(engine) < spec.weights;
        (lacks_room, copied_weight_steps(candidate, engine), candidate.rank(name.as_str()))
    });
    best.map(|(index, _)| (name.clone(), index))
}

/// All models that an endpoint holds, keeps a copy of or loads.
fn available_models<'a>(candidates: &[Candidate<'a>]) -> HashSet<&'a ModelName> {
    let mut available = HashSet::new();
    for holdings in candidates.iter().filter_map(|candidate| candidate.holdings) {
        available.extend(holdings.models.iter().map(|held| &held.model));
        available.extend(holdings.copies.disk.iter().chain(&holdings.copies.memory));
        available.extend(holdings.loading.iter().map(|loading| &loading.model));
    }
    available
}

/// The size of the weights that an endpoint keeps copies of on disk, in steps coarse enough for all routers to see the
/// same number.
fn copied_weight_steps(candidate: &Candidate<'_>, engine: &Engine) -> u64 {
    const STEP_BYTES: u64 = 50_000_000_000;
    let Some(holdings) = candidate.holdings else { return 0 };
    let sizes = holdings.copies.disk.iter().filter_map(|name| engine.model(name));
    let total: Size = sizes.map(|spec| spec.weights).sum();
    total.0 / STEP_BYTES
}

#[cfg(test)]
mod tests;
