//! Which endpoint serves a request.
//!
//! Load pattern: bursts for one model through many routers at once, while accelerator memory is short. Requests of a
//! model are kept together on the endpoints that all routers rank first, until those fill up; endpoints that run no
//! models are taken by their fill and distance.

use catalog::ModelId;
use units::Domain;

use crate::Candidate;

/// What a full endpoint without models costs a request, in milliseconds; a part of it costs a part.
const FULL: f64 = 20.0;
/// What the way to another failure domain costs, in milliseconds: the round trip, and bytes that are paid for.
const FAR: f64 = 4.0;
/// Up to this part of its slots an engine is filled before the next one that holds the model gets requests: the
/// batch hardly slows, and the others can make room for models that are not loaded.
pub const FILL: f64 = 0.6;
/// Prompt tokens that an engine reads in one piece. While it reads, its streams pause, so that a burst is spread over
/// the holders by what each has still to read.
const CHUNK: u32 = 1_000;

/// The best endpoint that can serve now; `id` is the model that it must hold, if it runs models.
pub fn serve(candidates: &[Candidate<'_>], id: Option<&ModelId>, near: &Domain) -> Option<usize> {
    let all = candidates.iter().enumerate();
    match id {
        Some(id) => {
            let holds = |one: &Candidate<'_>| one.holdings.is_some_and(|held| held.serves(id));
            let key = id.model.as_str();
            let costs = all.filter(|(_, one)| holds(one)).map(|(index, one)| {
                let fill = one.fill();
                let over = if fill <= FILL { 0.0 } else { fill };
                let chunks = f64::from(one.backlog / CHUNK);
                (index, over + chunks, one.rank(key))
            });
            least(costs)
        }
        None => {
            let far = |one: &Candidate<'_>| if one.endpoint.domain == *near { 0.0 } else { FAR };
            least(all.map(|(index, one)| (index, one.fill() * FULL + far(one), one.rank(""))))
        }
    }
}

fn least(costs: impl Iterator<Item = (usize, f64, u64)>) -> Option<usize> {
    let best =
        costs.min_by(|(_, a, rank_a), (_, b, rank_b)| a.total_cmp(b).then(rank_a.cmp(rank_b)));
    best.map(|(index, _, _)| index)
}

#[cfg(test)]
mod tests;
