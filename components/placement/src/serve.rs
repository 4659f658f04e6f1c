//! Which endpoint serves a request.
//!
//! Load pattern: bursts for one model through many routers at once. Each router knows its own requests in flight
//! only; it takes the endpoint with the least expected delay.

use catalog::ModelId;
use units::Domain;

use crate::Candidate;

/// What a full batch of an endpoint costs a request, in milliseconds; a part of it costs a part.
const FULL_BATCH: f64 = 20.0;
/// What the way to another failure domain costs, in milliseconds: the round trip, and bytes that are paid for.
const FAR: f64 = 4.0;
/// Prompt tokens that are read in a millisecond, at the lower end of today's engines.
const TOKENS: f64 = 38.0;
/// Endpoints over this many times their slots get nothing while another one is below.
const CROWDED: f64 = 1.5;

/// The best endpoint that can serve now; `id` is the model that it must hold, if it runs models.
pub fn serve(candidates: &[Candidate<'_>], id: Option<&ModelId>, near: &Domain) -> Option<usize> {
    let key = id.map(ToString::to_string).unwrap_or_default();
    let able = candidates.iter().enumerate().filter(|(_, candidate)| match id {
        Some(id) => candidate.holdings.is_some_and(|holdings| holdings.serves(id)),
        None => true,
    });
    let costs = able.map(|(index, candidate)| (index, cost(candidate, near), candidate.rank(&key)));
    let best = costs.min_by(|(_, a, rank_a), (_, b, rank_b)| a.total_cmp(b).then(rank_a.cmp(rank_b)));
    best.map(|(index, _, _)| index)
}

fn cost(candidate: &Candidate<'_>, near: &Domain) -> f64 {
    let slots = f64::from(candidate.endpoint.slots.max(1));
    let fill = f64::from(candidate.running) / slots;
    let crowded = if fill >= CROWDED { fill * 1_000.0 } else { 0.0 };
    let far = if candidate.endpoint.domain == *near { 0.0 } else { FAR };
    crowded + fill * FULL_BATCH + far - f64::from(candidate.shared) / TOKENS
}

#[cfg(test)]
mod tests;
