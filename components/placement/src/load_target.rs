//! Where a model is loaded that no endpoint holds.
//!
//! Load pattern: the first requests of a model come in a burst through many routers at once. All of them rank the
//! endpoints alike, so that they ask one loader and share one load, without asking each other first.

use std::time::Duration;

use catalog::{Engine, ModelId, ModelSpec};
use fleet::{Holdings, Tier};
use units::ModelName;

use crate::Candidate;

/// Where to load a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadTarget {
    /// The candidate.
    pub index: usize,
    /// Where the weights come from.
    pub tier: Tier,
    /// When it is expected to be ready.
    pub ready_in: Duration,
}

/// What a model that waits at a loader costs the next one: a load from disk with its order.
const TURN: Duration = Duration::from_millis(500);
/// Making room costs an order more.
const ROOM: Duration = Duration::from_millis(150);
/// Requests in flight make it likely that room must be waited for.
const RUN: Duration = Duration::from_millis(15);

/// Where the weights of a further holder may come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSource {
    /// From an endpoint's own copies.
    CopiesOnly,
    /// Also from the weight store, if no endpoint keeps a copy.
    CopiesOrStore,
}

/// The best endpoint to load a model on.
pub(crate) fn choose_load_target(
    candidates: &[Candidate<'_>],
    id: &ModelId,
    engine: &Engine,
    source: LoadSource,
) -> Option<LoadTarget> {
    choose_load_targets(candidates, id, engine, source, 1).pop()
}

/// The best endpoints to load a model on at once, at most so many: the first from anywhere, the others from copies.
pub fn choose_load_targets(
    candidates: &[Candidate<'_>],
    id: &ModelId,
    engine: &Engine,
    source: LoadSource,
    most: usize,
) -> Vec<LoadTarget> {
    let Some(spec) = engine.model(&id.model) else { return Vec::new() };
    let key = id.model.as_str();
    let able = candidates.iter().enumerate().filter(|(_, candidate)| candidate.can_load);
    let store = match source {
        LoadSource::CopiesOnly => false,
        LoadSource::CopiesOrStore => !has_copy(candidates, &id.model),
    };
    let all = able.filter_map(|(index, candidate)| {
        let (tier, expect) = expected(candidate, candidate.holdings?, &id.model, spec, engine);
        let arriving = candidate.holdings?.loading.as_ref().is_some_and(|l| l.model == id.model);
        let allowed = tier != Tier::Store || arriving || store;
        allowed.then(|| (LoadTarget { index, tier, ready_in: expect }, candidate.rank(key)))
    });
    let mut all: Vec<(LoadTarget, u64)> = all.collect();
    all.sort_by_key(|(wake, rank)| (wake.ready_in, *rank));
    let best = all.into_iter().map(|(wake, _)| wake).take(most.max(1)).enumerate();
    best.filter(|(place, wake)| *place == 0 || wake.tier < Tier::Store).map(|(_, w)| w).collect()
}

/// Whether an endpoint holds a model or keeps a copy of it.
pub fn has_copy(candidates: &[Candidate<'_>], model: &ModelName) -> bool {
    let mut held = candidates.iter().filter_map(|candidate| candidate.holdings);
    held.any(|held| held.tier(model) != Tier::Store)
}

fn expected(
    candidate: &Candidate<'_>,
    holdings: &Holdings,
    model: &ModelName,
    spec: &ModelSpec,
    engine: &Engine,
) -> (Tier, Duration) {
    let tier = holdings.tier(model);
    let load = tier.load_time(spec);
    if tier == Tier::Adapter {
        return (tier, load + RUN * candidate.running);
    }
    if let Some(loading) = &holdings.loading
        && loading.model == *model
    {
        return (tier, loading.remaining);
    }
    let before = holdings.loading.as_ref().map_or(Duration::ZERO, |loading| loading.remaining);
    let free = candidate.free(engine) >= spec.weights;
    let room = if free { Duration::ZERO } else { ROOM + candidate.room_wait };
    (tier, load + before + TURN * candidate.queued_models + room + RUN * candidate.running)
}

#[cfg(test)]
mod tests;
