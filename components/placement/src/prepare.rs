//! Which models without a copy are brought in before anybody asks for them.
//!
//! Load pattern: many rare models, each asked for a few times a day, and a weight store that brings in one every few
//! seconds. A model with a copy anywhere is back in under a second; one without is late for its first callers. So
//! the lanes of the store are kept busy from the start, one load an endpoint, and each model once.

use catalog::Engine;
use fleet::Holdings;
use units::{ModelName, Size};

use crate::Candidate;

/// The next models to bring in and the candidates for them, as far as there are free lanes.
pub fn prepare(
    candidates: &[Candidate<'_>],
    engine: &Engine,
    lanes: usize,
) -> Vec<(ModelName, usize)> {
    let kept = |name: &ModelName| {
        candidates.iter().filter_map(|candidate| candidate.holdings).any(|held| has(held, name))
    };
    let missing = engine.models.iter().filter(|(name, _)| !kept(name));
    let mut taken = Vec::new();
    for (name, spec) in missing {
        if taken.len() >= lanes {
            break;
        }
        let free = candidates.iter().enumerate().filter(|(index, candidate)| {
            let idle = candidate.holdings.is_some_and(|held| held.loading.is_none());
            candidate.able
                && idle
                && candidate.waiting == 0
                && taken.iter().all(|(_, i)| i != index)
        });
        let best = free.min_by_key(|(_, candidate)| {
            let tight = candidate.free(engine) < spec.weights;
            (tight, copied(candidate, engine), candidate.rank(name.as_str()))
        });
        if let Some((index, _)) = best {
            taken.push((name.clone(), index));
        }
    }
    taken
}

fn has(holdings: &Holdings, name: &ModelName) -> bool {
    holdings.models.iter().any(|held| held.model == *name)
        || holdings.copies.disk.contains(name)
        || holdings.copies.memory.contains(name)
        || holdings.loading.as_ref().is_some_and(|loading| loading.model == *name)
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
