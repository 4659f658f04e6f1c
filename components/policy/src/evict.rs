//! Computes which idle replica is cheapest to evict.

use std::time::Duration;

use units::Size;

use crate::{Costs, Gaps};

/// How far ahead the next request of a replica is considered.
const REQUEST_HORIZON: Duration = Duration::from_secs(600);
/// The probability of a request within the horizon for a model without history.
const UNKNOWN_PROBABILITY: f64 = 0.5;
/// Eviction costs are per GiB of memory.
const BYTES_PER_GIB: f64 = (1_u64 << 30) as f64;

/// The expected cost of evicting a replica that has been idle for `idle`: the probability of a request soon, times the cost
/// of a cold start, per GiB of memory that the eviction frees.
/// The replica with the lowest cost is evicted first.
#[expect(clippy::cast_precision_loss, reason = "a value needs no exact bytes")]
pub fn eviction_cost(gaps: &Gaps, costs: &Costs, idle: Duration, memory: Size) -> f64 {
    let known = gaps.count() > 0;
    let probability = if known {
        gaps.fraction_ending(idle, idle + REQUEST_HORIZON)
    } else {
        UNKNOWN_PROBABILITY
    };
    probability * costs.cold_start_cost() / (memory.0 as f64 / BYTES_PER_GIB).max(f64::MIN_POSITIVE)
}

#[cfg(test)]
mod tests;
