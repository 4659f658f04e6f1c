//! Which models without a copy are brought in, and in what order.
//!
//! Load pattern: many rare models, each asked for a few times a day, and a weight store that brings in one every few
//! seconds. A model with a copy anywhere is back in under a second; one without is late for its first callers. So
//! the lanes of the store are kept busy from the start, one load an endpoint, and each model once. When a release
//! replaces endpoints by ones without copies, most models are missing at once, also those that all callers ask for:
//! the most wanted come first.

use std::collections::HashSet;

use catalog::Engine;
use fleet::Tier;
use units::{ModelName, Size};

use crate::Candidate;

/// Requests a second at one router from which on a model is worth a place at a new endpoint before it is short of
/// holders: fewer may be chance.
const BUSY: f64 = 2.0;

/// The models of which no endpoint keeps a copy and none is on its way, the most wanted first; `demand` is requests a
/// second. Models that are wanted alike stay in the order of the configuration, which all routers share.
fn missing<'a>(
    candidates: &[Candidate<'_>],
    engine: &'a Engine,
    demand: impl Fn(&ModelName) -> f64,
) -> Vec<(&'a ModelName, f64)> {
    let kept = kept(candidates);
    let models = engine.models.iter().map(|(name, _)| name);
    let gone = models.filter(|name| !kept.contains(name));
    let mut gone: Vec<(&ModelName, f64)> = gone.map(|name| (name, demand(name))).collect();
    gone.sort_by(|(_, a), (_, b)| b.total_cmp(a));
    gone
}

/// The lanes of the weight store that may be taken for what nobody waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefetchCapacity {
    /// Those that are free.
    pub free: usize,
    /// All of them.
    pub total: usize,
}

/// The next models to bring in and the candidates for them, as far as there are free lanes: those that are wanted and
/// missing, then for endpoints that keep nothing what is wanted most for each copy there is, then what nobody has asked
/// for yet; `asked` are on their way already. The last leave half of the lanes to callers: when a release took the last
/// copies of the busiest model, all lanes were taken for 6 s by models that nobody wanted.
pub fn plan_prefetch(
    candidates: &[Candidate<'_>],
    engine: &Engine,
    capacity: PrefetchCapacity,
    asked: &HashSet<&ModelName>,
    demand: impl Fn(&ModelName) -> f64,
) -> Vec<(ModelName, usize)> {
    let mut missing = missing(candidates, engine, &demand);
    missing.retain(|(name, _)| !asked.contains(name));
    let wanted = missing.iter().filter(|(_, demand)| *demand > 0.0).map(|(name, _)| *name);
    let rare = missing.iter().filter(|(_, demand)| *demand <= 0.0).map(|(name, _)| *name);
    let mut taken = Vec::new();
    for name in wanted {
        if taken.len() < capacity.free {
            taken.extend(place(candidates, engine, name, &taken, false));
        }
    }
    for name in thin(candidates, engine, &demand) {
        if taken.len() < capacity.free && !asked.contains(name) {
            taken.extend(place(candidates, engine, name, &taken, true));
        }
    }
    let spare = capacity.free.saturating_sub(capacity.total / 2);
    for name in rare {
        if taken.len() < spare {
            taken.extend(place(candidates, engine, name, &taken, false));
        }
    }
    taken
}

/// Models that are wanted and not missing, those first that have the fewest copies for it; none that is on its way.
fn thin<'a>(
    candidates: &[Candidate<'_>],
    engine: &'a Engine,
    demand: impl Fn(&ModelName) -> f64,
) -> Vec<&'a ModelName> {
    if !candidates.iter().any(|candidate| candidate.can_load && empty(candidate)) {
        return Vec::new();
    }
    let holdings = || candidates.iter().filter_map(|candidate| candidate.holdings);
    let comes =
        |name: &ModelName| holdings().any(|h| h.loading.as_ref().is_some_and(|l| l.model == *name));
    let copies =
        |name: &ModelName| holdings().filter(|held| held.tier(name) != Tier::Store).count();
    let models = engine.models.iter().map(|(name, _)| (name, demand(name)));
    let wanted = models.filter(|(name, demand)| *demand >= BUSY && !comes(name));
    let mut all: Vec<(&ModelName, f64)> = wanted
        .map(|(name, demand)| (name, copies(name), demand))
        .filter(|(_, copies, _)| *copies > 0)
        .map(|(name, copies, demand)| (name, demand / copies as f64))
        .collect();
    all.sort_by(|(_, a), (_, b)| b.total_cmp(a));
    all.into_iter().map(|(name, _)| name).collect()
}

/// Whether an endpoint keeps nothing yet, as a new one does.
fn empty(candidate: &Candidate<'_>) -> bool {
    candidate.holdings.is_some_and(|held| {
        held.models.is_empty()
            && held.loading.is_none()
            && held.copies.disk.is_empty()
            && held.copies.memory.is_empty()
    })
}

/// The best endpoint for a model that is brought in, if there is one; `new`: only one that keeps nothing yet.
fn place(
    candidates: &[Candidate<'_>],
    engine: &Engine,
    name: &ModelName,
    taken: &[(ModelName, usize)],
    new: bool,
) -> Option<(ModelName, usize)> {
    let spec = engine.model(name)?;
    let idle = candidates.iter().enumerate().filter(|(index, candidate)| {
        let idle = candidate.holdings.is_some_and(|held| held.loading.is_none());
        candidate.can_load
            && idle
            && (!new || empty(candidate))
            && candidate.queued_models == 0
            && taken.iter().all(|(_, i)| i != index)
    });
    let best = idle.min_by_key(|(_, candidate)| {
        let tight = candidate.free(engine) < spec.weights;
        (tight, copied(candidate, engine), candidate.rank(name.as_str()))
    });
    best.map(|(index, _)| (name.clone(), index))
}

/// All models that an endpoint holds, keeps a copy of or loads.
fn kept<'a>(candidates: &[Candidate<'a>]) -> HashSet<&'a ModelName> {
    let mut kept = HashSet::new();
    for holdings in candidates.iter().filter_map(|candidate| candidate.holdings) {
        kept.extend(holdings.models.iter().map(|held| &held.model));
        kept.extend(holdings.copies.disk.iter().chain(&holdings.copies.memory));
        kept.extend(holdings.loading.iter().map(|loading| &loading.model));
    }
    kept
}

/// The weights of which an endpoint keeps copies, in steps coarse enough that all routers see the same.
fn copied(candidate: &Candidate<'_>, engine: &Engine) -> u64 {
    const STEP: u64 = 50_000_000_000;
    let Some(holdings) = candidate.holdings else { return 0 };
    let sizes = holdings.copies.disk.iter().filter_map(|name| engine.model(name));
    let total: Size = sizes.map(|spec| spec.weights).sum();
    total.0 / STEP
}

#[cfg(test)]
mod tests;
