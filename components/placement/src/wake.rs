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
pub struct Wake {
    /// The candidate.
    pub index: usize,
    /// Where the weights come from.
    pub tier: Tier,
    /// When it is expected to be ready.
    pub expect: Duration,
}

/// What a model that waits at a loader costs the next one: a load from disk with its order.
const TURN: Duration = Duration::from_millis(500);
/// Making room costs an order more.
const ROOM: Duration = Duration::from_millis(150);
/// Requests in flight make it likely that room must be waited for.
const RUN: Duration = Duration::from_millis(15);

/// Where the weights of a further holder may come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// From an endpoint's own copies.
    Copies,
    /// Also from the weight store, if no endpoint keeps a copy.
    First,
}

/// The best endpoint to load a model on.
pub(crate) fn wake(
    candidates: &[Candidate<'_>],
    id: &ModelId,
    engine: &Engine,
    source: Source,
) -> Option<Wake> {
    wakes(candidates, id, engine, source, 1).pop()
}

/// The best endpoints to load a model on at once, at most so many: the first from anywhere, the others from copies.
pub fn wakes(
    candidates: &[Candidate<'_>],
    id: &ModelId,
    engine: &Engine,
    source: Source,
    most: usize,
) -> Vec<Wake> {
    let Some(spec) = engine.model(&id.model) else { return Vec::new() };
    let key = id.model.as_str();
    let able = candidates.iter().enumerate().filter(|(_, candidate)| candidate.able);
    let store = match source {
        Source::Copies => false,
        Source::First => !copied(candidates, &id.model),
    };
    let all = able.filter_map(|(index, candidate)| {
        let (tier, expect) = expected(candidate, candidate.holdings?, &id.model, spec, engine);
        let arriving = candidate.holdings?.loading.as_ref().is_some_and(|l| l.model == id.model);
        let allowed = tier != Tier::Store || arriving || store;
        allowed.then(|| (Wake { index, tier, expect }, candidate.rank(key)))
    });
    let mut all: Vec<(Wake, u64)> = all.collect();
    all.sort_by_key(|(wake, rank)| (wake.expect, *rank));
    let best = all.into_iter().map(|(wake, _)| wake).take(most.max(1)).enumerate();
    best.filter(|(place, wake)| *place == 0 || wake.tier < Tier::Store).map(|(_, w)| w).collect()
}

/// Whether an endpoint holds a model or keeps a copy of it.
pub fn copied(candidates: &[Candidate<'_>], model: &ModelName) -> bool {
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
    let room = if free { Duration::ZERO } else { ROOM + candidate.room };
    (tier, load + before + TURN * candidate.waiting + room + RUN * candidate.running)
}

#[cfg(test)]
mod tests;
