//! Whether one more endpoint should load a model that others hold already.
//!
//! Load pattern: demand shifts within a second to a model with one replica, through many routers at once. Each router
//! decides for itself from the requests that it has sent and from what the loaders report, so an endpoint that was
//! asked to load the model counts as a replica.

use std::time::Duration;

use catalog::{Engine, ModelId};

use crate::load_target::{
    LoadSource, LoadTarget, choose_fast_load_targets, choose_load_target, choose_load_targets,
};
use crate::{
    Candidate, ChosenEndpoint, MAX_MODEL_SLOT_SHARE, by_capacity, memory_scarce,
    needs_fast_endpoint,
};

/// Replicas are late if the expected time to the first event exceeds the target time divided by this.
const LATE_TARGET_DIVISOR: u32 = 2;
/// Streams may pause if the prompts ahead of a request take longer than the allowed pause divided by this: an engine
/// that reads several prompts in one pass pauses its streams for all of them.
const PROMPTS_PAUSE_DIVISOR: u32 = 2;

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

/// When replicas are late where requests go by capacity.
#[derive(Debug, Clone, Copy)]
pub struct CapacityBounds {
    /// The longest pause between two events that the route of the current request allows; zero if it sets no target.
    pub max_pause: Duration,
    /// The time that the median endpoint takes for the prompt of that request.
    pub prefill: Duration,
}

/// Chooses one more endpoint to load the model if it has too few replicas or its replicas are late.
pub fn scale_out(
    candidates: &[Candidate<'_>],
    engine: &Engine,
    status: &ReplicaStatus<'_>,
) -> Option<LoadTarget> {
    let chosen = &candidates[status.chosen.index];
    let late = match memory_scarce(candidates) {
        true => chosen.slot_share() > MAX_MODEL_SLOT_SHARE,
        false => responds_late(status),
    };
    let free = endpoints_without_replica(candidates, status, late)?;
    let list: Vec<Candidate<'_>> = free.iter().map(|index| candidates[*index]).collect();
    let load_target = choose_load_target(&list, status.model, engine, LoadSource::CopiesOnly)?;
    Some(LoadTarget { index: free[load_target.index], ..load_target })
}

/// The same where requests go by capacity: one more replica is loaded before the streams of the present ones pause.
/// Elsewhere it is [`scale_out`].
pub fn scale_out_by_capacity(
    candidates: &[Candidate<'_>],
    engine: &Engine,
    status: &ReplicaStatus<'_>,
    bounds: CapacityBounds,
) -> Option<LoadTarget> {
    if !by_capacity(candidates) {
        return scale_out(candidates, engine, status);
    }
    let late = streams_may_pause(candidates, status, bounds.max_pause)
        || !memory_scarce(candidates) && responds_late(status);
    let mut free = endpoints_without_replica(candidates, status, late)?;
    // A replica on an endpoint that is busy with other models takes over nothing.
    let has_capacity =
        |index: &usize| candidates[*index].next_capacity_share() <= MAX_MODEL_SLOT_SHARE;
    if free.iter().any(has_capacity) {
        free.retain(has_capacity);
    }
    let list: Vec<Candidate<'_>> = free.iter().map(|index| candidates[*index]).collect();
    let choose = match needs_fast_endpoint(candidates, bounds.prefill, status.target) {
        true => choose_fast_load_targets,
        false => choose_load_targets,
    };
    let load_target = choose(&list, status.model, engine, LoadSource::CopiesOnly, 1).pop()?;
    Some(LoadTarget { index: free[load_target.index], ..load_target })
}

/// Whether the replica that was chosen is expected to miss the target.
fn responds_late(status: &ReplicaStatus<'_>) -> bool {
    status.chosen.first_event > status.target / LATE_TARGET_DIVISOR
}

/// Whether streams at the replicas may soon pause for longer than the route allows: with the current request, even the
/// replica with the most capacity left is filled up to the bound, or the prompts ahead of the request take too long.
fn streams_may_pause(
    candidates: &[Candidate<'_>],
    status: &ReplicaStatus<'_>,
    max_pause: Duration,
) -> bool {
    let replicas = candidates
        .iter()
        .filter(|candidate| candidate.holdings.is_some_and(|held| held.serves(status.model)));
    let lowest = replicas.map(Candidate::next_capacity_share).reduce(f64::min);
    let chosen = &candidates[status.chosen.index];
    let prompts = chosen.scaled(chosen.backlog);
    lowest.is_some_and(|share| share > MAX_MODEL_SLOT_SHARE)
        || !max_pause.is_zero() && prompts > max_pause / PROMPTS_PAUSE_DIVISOR
}

/// The endpoints that neither hold the model nor are about to, if it needs one more replica; `late` tells whether the
/// present ones are late.
fn endpoints_without_replica(
    candidates: &[Candidate<'_>],
    status: &ReplicaStatus<'_>,
    late: bool,
) -> Option<Vec<usize>> {
    let ReplicaStatus { model, requested, needed, .. } = *status;
    let holds =
        |candidate: &Candidate<'_>| candidate.holdings.is_some_and(|held| held.holds(&model.model));
    let is_coming = |index: usize| {
        let loading = candidates[index].holdings.and_then(|held| held.loading.as_ref());
        requested[index] || loading.is_some_and(|loading| loading.model == model.model)
    };
    let held = candidates.iter().filter(|candidate| holds(candidate)).count();
    let others = || (0..candidates.len()).filter(|index| !holds(&candidates[*index]));
    let coming = others().filter(|index| is_coming(*index)).count();
    let min_replicas = if late && coming == 0 { held + 1 } else { 0 };
    if held + coming >= needed.max(min_replicas) {
        return None;
    }
    Some(others().filter(|index| !is_coming(*index)).collect())
}

#[cfg(test)]
mod by_capacity;
#[cfg(test)]
mod tests;
