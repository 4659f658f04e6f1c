//! Which endpoint serves a request.
//!
//! Load pattern: bursts for one model through many routers at once, while accelerator memory is short. The holder goes
//! first that is expected to answer first. Where that makes no difference that a caller notices, near ones go before
//! far ones, and all routers keep to the same order, so that other holders fall idle and can make room.

use std::time::Duration;

use catalog::ModelId;
use units::Domain;

use crate::{Candidate, MAX_MODEL_SLOT_SHARE, memory_scarce};

/// What a full endpoint without models costs a request, in milliseconds; a part of it costs a part.
const FULL: f64 = 20.0;
/// What the way to another failure domain costs, in milliseconds: the round trip, and bytes that are paid for.
const FAR: f64 = 4.0;
/// What a failure of late costs an endpoint without models, in milliseconds: it goes behind one that is half full.
const FAILED: f64 = 10.0;
/// Expected times to the first event are alike within this time: callers don't notice it.
const ALIKE: Duration = Duration::from_millis(25);
/// The same while room is short.
const ALIKE_TIGHT: Duration = Duration::from_millis(100);
/// From this part of its slots on, an engine makes requests wait for runs to end.
const CROWDED: f64 = 0.9;
/// What a place costs there, for all of its slots: about the length of a run.
const RUN: Duration = Duration::from_millis(500);

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChosenEndpoint {
    /// The candidate.
    pub index: usize,
    /// When its first event is expected.
    pub first_event: Duration,
}

/// The best endpoint that can serve now; `id` is the model that it must hold, if it runs models, and `work` the time
/// that its prompt takes.
pub fn choose_endpoint(
    candidates: &[Candidate<'_>],
    id: Option<&ModelId>,
    work: Duration,
    near: &Domain,
) -> Option<ChosenEndpoint> {
    let all = candidates.iter().enumerate();
    match id {
        Some(id) => {
            let holds = |one: &Candidate<'_>| one.holdings.is_some_and(|held| held.serves(id));
            let key = id.model.as_str();
            let tight = memory_scarce(candidates);
            let alike = if tight { ALIKE_TIGHT } else { ALIKE };
            let full = if tight { MAX_MODEL_SLOT_SHARE } else { CROWDED };
            let costs = all.filter(|(_, one)| holds(one)).map(|(index, one)| {
                let expect = one.backlog + work + RUN.mul_f64((one.fill() - CROWDED).max(0.0));
                let over = RUN.mul_f64((one.fill() - full).max(0.0));
                let steps = (one.backlog + over).as_millis() / alike.as_millis();
                let far = !tight && one.endpoint.domain != *near;
                ((steps, far, one.rank(key)), ChosenEndpoint { index, first_event: expect })
            });
            costs.min_by_key(|(cost, _)| *cost).map(|(_, served)| served)
        }
        None => {
            let far = |one: &Candidate<'_>| if one.endpoint.domain == *near { 0.0 } else { FAR };
            let costs = all.map(|(index, one)| {
                let cost = one.fill() * FULL + one.failures * FAILED + far(one);
                (index, cost, one.rank(""))
            });
            let best = costs
                .min_by(|(_, a, rank_a), (_, b, rank_b)| a.total_cmp(b).then(rank_a.cmp(rank_b)));
            best.map(|(index, _, _)| ChosenEndpoint { index, first_event: Duration::ZERO })
        }
    }
}

#[cfg(test)]
mod tests;
