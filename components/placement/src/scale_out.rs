//! Whether one more endpoint should hold a model.
//!
//! Load pattern: demand moves within a second to a model that one endpoint holds, through many routers at once. Each
//! decides by itself from what it has sent and from what the loaders say, so that one that has been asked counts as
//! there.

use std::time::Duration;

use catalog::{Engine, ModelId};

use crate::load_target::{LoadSource, LoadTarget, choose_load_target};
use crate::{Candidate, ChosenEndpoint, MAX_MODEL_SLOT_SHARE, memory_scarce};

/// Another endpoint is asked for a model whose holders are expected to take more than this part of the time within which
/// callers hope for the first event.
const LATE: u32 = 2;

/// What is known of the holders of a model.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaStatus<'a> {
    /// The model, without an adapter.
    pub model: &'a ModelId,
    /// For each candidate, whether it was asked to load it.
    pub asked: &'a [bool],
    /// How many should hold it.
    pub needed: usize,
    /// Which of them serves the request at hand.
    pub served: ChosenEndpoint,
    /// Within this time its caller hopes for the first event.
    pub target: Duration,
}

/// One more endpoint for a model that more should hold, or whose holders are late.
pub fn scale_out(
    candidates: &[Candidate<'_>],
    engine: &Engine,
    holders: &ReplicaStatus<'_>,
) -> Option<LoadTarget> {
    let ReplicaStatus { model, asked, needed, served, target } = *holders;
    let holds = |one: &Candidate<'_>| one.holdings.is_some_and(|held| held.holds(&model.model));
    let comes = |index: usize| {
        let loads = candidates[index].holdings.and_then(|held| held.loading.as_ref());
        asked[index] || loads.is_some_and(|load| load.model == model.model)
    };
    let held = candidates.iter().filter(|one| holds(one)).count();
    let others = || (0..candidates.len()).filter(|index| !holds(&candidates[*index]));
    let coming = others().filter(|index| comes(*index)).count();
    let late = match memory_scarce(candidates) {
        true => candidates[served.index].fill() > MAX_MODEL_SLOT_SHARE,
        false => served.first_event > target / LATE,
    };
    let least = if late && coming == 0 { held + 1 } else { 0 };
    if held + coming >= needed.max(least) {
        return None;
    }
    let free: Vec<usize> = others().filter(|index| !comes(*index)).collect();
    let list: Vec<Candidate<'_>> = free.iter().map(|index| candidates[*index]).collect();
    let wake = choose_load_target(&list, model, engine, LoadSource::CopiesOnly)?;
    Some(LoadTarget { index: free[wake.index], ..wake })
}

#[cfg(test)]
mod tests;
