//! Which endpoint serves a request.
//!
//! Load pattern: bursts for one model through many routers at once, while accelerator memory is scarce. The replica
//! that is expected to respond first is preferred. Where callers don't notice the difference, replicas in the router's
//! own failure domain are preferred to others, and all routers rank the replicas alike, so that the remaining replicas
//! become idle and can be evicted.

use std::time::Duration;

use catalog::ModelId;
use units::Domain;

use crate::{Candidate, MAX_MODEL_SLOT_SHARE, memory_scarce};

/// The cost of a request at a full endpoint without models, in milliseconds; at a partly full one, that part of it.
const FULL_ENDPOINT_COST_MS: f64 = 20.0;
/// The cost of a request to another failure domain, in milliseconds: the round trip, and traffic that is paid for.
const OTHER_DOMAIN_COST_MS: f64 = 4.0;
/// The cost of each recent failure at an endpoint without models, in milliseconds: one failure ranks the endpoint
/// behind an endpoint that is half full.
const FAILURE_COST_MS: f64 = 10.0;
/// Expected times to the first event count as equal within this time, since callers don't notice the difference.
const LATENCY_STEP: Duration = Duration::from_millis(25);
/// The same while memory is scarce.
const SCARCE_MEMORY_LATENCY_STEP: Duration = Duration::from_millis(100);
/// With more than this part of its slots taken, an engine makes requests wait for others to end.
pub(crate) const CROWDED_SLOT_SHARE: f64 = 0.9;
/// The expected wait for a slot is this time multiplied by the part of the slots that is taken beyond
/// [`CROWDED_SLOT_SHARE`], or beyond [`MAX_MODEL_SLOT_SHARE`] while memory is scarce; about the duration of one request.
const SLOT_WAIT: Duration = Duration::from_millis(500);

/// The endpoint that gets a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChosenEndpoint {
    /// The index of the candidate.
    pub index: usize,
    /// The expected time until the first event of the response.
    pub first_event: Duration,
}

/// Chooses the best endpoint that can serve a request now. `id` is the model that the endpoint must hold, if the
/// service runs models; `prefill` is the time that the request's prompt takes; `local` is the router's failure domain.
pub fn choose_endpoint(
    candidates: &[Candidate<'_>],
    id: Option<&ModelId>,
    prefill: Duration,
    local: &Domain,
) -> Option<ChosenEndpoint> {
    let all = candidates.iter().enumerate();
    match id {
        Some(id) => {
            let serves =
                |candidate: &Candidate<'_>| candidate.holdings.is_some_and(|held| held.serves(id));
            let key = id.model.as_str();
            let scarce = memory_scarce(candidates);
            let (step, limit) = (latency_step(scarce), slot_share_limit(scarce));
            let costs = all.filter(|(_, candidate)| serves(candidate)).map(|(index, candidate)| {
                let share = candidate.slot_share();
                let first_event =
                    candidate.backlog + prefill + slot_wait(share, CROWDED_SLOT_SHARE);
                let over_limit = slot_wait(share, limit);
                let steps = (candidate.backlog + over_limit).as_millis() / step.as_millis();
                let remote = !scarce && candidate.endpoint.domain != *local;
                ((steps, remote, candidate.rank(key)), ChosenEndpoint { index, first_event })
            });
            costs.min_by_key(|(cost, _)| *cost).map(|(_, chosen)| chosen)
        }
        None => {
            let domain_cost = |candidate: &Candidate<'_>| {
                if candidate.endpoint.domain == *local { 0.0 } else { OTHER_DOMAIN_COST_MS }
            };
            let costs = all.map(|(index, candidate)| {
                let cost = candidate.slot_share() * FULL_ENDPOINT_COST_MS
                    + candidate.failures * FAILURE_COST_MS
                    + domain_cost(candidate);
                (index, cost, candidate.rank(""))
            });
            let best = costs
                .min_by(|(_, a, rank_a), (_, b, rank_b)| a.total_cmp(b).then(rank_a.cmp(rank_b)));
            best.map(|(index, _, _)| ChosenEndpoint { index, first_event: Duration::ZERO })
        }
    }
}

/// The time within which expected times to the first event count as equal.
pub(crate) fn latency_step(memory_scarce: bool) -> Duration {
    if memory_scarce { SCARCE_MEMORY_LATENCY_STEP } else { LATENCY_STEP }
}

/// The share of slots beyond which requests count as waiting for one.
pub(crate) fn slot_share_limit(memory_scarce: bool) -> f64 {
    if memory_scarce { MAX_MODEL_SLOT_SHARE } else { CROWDED_SLOT_SHARE }
}

/// The expected wait for a slot with this share of the slots taken, of which `limit` causes no wait.
pub(crate) fn slot_wait(share: f64, limit: f64) -> Duration {
    SLOT_WAIT.mul_f64((share - limit).max(0.0))
}

#[cfg(test)]
mod tests;
