//! Which idle replica is worth least.

use std::time::Duration;

use units::Size;

use crate::{Costs, Gaps};

/// How far ahead a replica's next request is looked for.
const HORIZON: Duration = Duration::from_secs(600);
/// The chance of a request within the horizon for a model that has no history.
const UNKNOWN: f64 = 0.5;
/// Memory is counted in units of this size.
const UNIT: f64 = (1_u64 << 30) as f64;

/// What is lost by evicting a replica that has been idle for `idle`: the likely cold start for each GiB.
/// The replica with the lowest value goes first.
#[expect(clippy::cast_precision_loss, reason = "a value needs no exact bytes")]
pub fn idle_value(gaps: &Gaps, costs: &Costs, idle: Duration, memory: Size) -> f64 {
    let known = gaps.count() > 0;
    let chance = if known { gaps.ending(idle, idle + HORIZON) } else { UNKNOWN };
    chance * costs.miss() / (memory.0 as f64 / UNIT).max(f64::MIN_POSITIVE)
}

#[cfg(test)]
mod tests;
