//! Whether one more endpoint should load a model that others hold already.
//!
//! Load pattern: demand shifts within a second to a model with one replica, through many routers at once. Each router
//! decides for itself from the requests that it has sent and from what the loaders report, so an endpoint that was
//! asked to load the model counts as a replica.

use std::time::Duration;

use catalog::{Engine, ModelId};

use crate::load_target::{LoadSource, LoadTarget, choose_load_target};
use crate::{Candidate, ChosenEndpoint, MAX_MODEL_SLOT_SHARE, memory_scarce};

/// Replicas are late if the expected time to the first event exceeds the target time divided by this.
const LATE_TARGET_DIVISOR: u32 = 2;

/// What a router knows about the replicas of a model.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaStatus<'a> {
    /// The model, without an adapter.
    pub model: &'a ModelId,
    /// For each candidate, whether it was asked to load the model.
    pub requested: &'a [bool],
    /// The number of replicas that the model should have.
    pub needed: usize,
    /// The replica that serves the current request.
    pub chosen: ChosenEndpoint,
    /// The time within which the caller of that request hopes for the first event.
    pub target: Duration,
}

/// Chooses one more endpoint to load the model if it has too few replicas or its replicas are late.
pub fn scale_out(
    candidates: &[Candidate<'_>],
    engine: &Engine,
    status: &ReplicaStatus<'_>,
) -> Option<LoadTarget> {
    let ReplicaStatus { model, requested, needed, chosen, target } = *status;
    let holds =
        |candidate: &Candidate<'_>| candidate.holdings.is_some_and(|held| held.holds(&model.model));
    let is_coming = |index: usize| {
        let loading = candidates[index].holdings.and_then(|held| held.loading.as_ref());
        requested[index] || loading.is_some_and(|loading| loading.model == model.model)
    };
    let held = candidates.iter().filter(|candidate| holds(candidate)).count();
    let others = || (0..candidates.len()).filter(|index| !holds(&candidates[*index]));
    let coming = others().filter(|index| is_coming(*index)).count();
    let late = match memory_scarce(candidates) {
        true => candidates[chosen.index].slot_share() > MAX_MODEL_SLOT_SHARE,
        false => chosen.first_event > target / LATE_TARGET_DIVISOR,
    };
    let min_replicas = if late && coming == 0 { held + 1 } else { 0 };
    if held + coming >= needed.max(min_replicas) {
        return None;
    }
    let free: Vec<usize> = others().filter(|index| !is_coming(*index)).collect();
    let list: Vec<Candidate<'_>> = free.iter().map(|index| candidates[*index]).collect();
    let load_target = choose_load_target(&list, model, engine, LoadSource::CopiesOnly)?;
    Some(LoadTarget { index: free[load_target.index], ..load_target })
}

#[cfg(test)]
mod tests;
