//! Computes how long an idle replica stays loaded.

use std::time::Duration;

use crate::Gaps;
use crate::gaps::Bin;

/// A model's own history is used only if it has at least this many gaps.
const MIN_GAPS: u32 = 8;
/// [`KeepWarm::Histogram`] keeps a replica loaded for at least this fraction of the gaps.
const COVERED_FRACTION: f64 = 0.95;

/// The costs of cold starts and of idle replicas.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Costs {
    /// How long a cold start takes.
    pub cold_start: Duration,
    /// The cost of each second of a cold start.
    pub cold_start_weight: f64,
    /// The cost of each second of an idle replica.
    pub idle_weight: f64,
}

impl Costs {
    /// The cost of one cold start.
    pub fn cold_start_cost(&self) -> f64 {
        self.cold_start_weight * self.cold_start.as_secs_f64()
    }

    /// The idle time that costs as much as one cold start.
    pub fn break_even(&self) -> Duration {
        let seconds = self.cold_start_cost() / self.idle_weight;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// A policy for how long a replica stays loaded after its last request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepWarm {
    /// A fixed time.
    Fixed(Duration),
    /// The time that covers nearly all of the model's own gaps. [`KeepWarm::BreakEven`] is used while there are few gaps.
    Histogram,
    /// Until the idle time has cost as much as a cold start. This costs at most twice as much as knowing the future.
    BreakEven,
    /// The time that would have cost least over the model's own gaps. [`KeepWarm::BreakEven`] is used while there are few gaps.
    Cheapest,
}

impl KeepWarm {
    /// How long a replica stays loaded after a request, at most `max`.
    pub fn keep_time(self, gaps: &Gaps, costs: &Costs, max: Duration) -> Duration {
        let has_history = gaps.count() >= MIN_GAPS;
        let keep = match self {
            Self::Fixed(time) => time,
            Self::Histogram if has_history => {
                gaps.quantile(COVERED_FRACTION).unwrap_or_else(|| costs.break_even())
            }
            Self::Cheapest if has_history => cheapest(gaps, costs),
            Self::Histogram | Self::BreakEven | Self::Cheapest => costs.break_even(),
        };
        keep.min(max)
    }
}

/// The time with the lowest cost over the gaps. Of times with the same cost, the shortest is chosen.
fn cheapest(gaps: &Gaps, costs: &Costs) -> Duration {
    let bins: Vec<Bin> = gaps.bins().collect();
    let cost = |keep: f64| -> f64 {
        let each = bins.iter().map(|bin| {
            let missed = bin.upper > keep;
            let gap = if missed {
                keep * costs.idle_weight + costs.cold_start_cost()
            } else {
                bin.middle * costs.idle_weight
            };
            f64::from(bin.count) * gap
        });
        each.sum()
    };
    let candidates = std::iter::once(0.0).chain(bins.iter().map(|bin| bin.upper));
    let best = candidates.min_by(|a, b| cost(*a).total_cmp(&cost(*b)));
    Duration::from_secs_f64(best.unwrap_or_default())
}

#[cfg(test)]
mod tests;
