//! How long an idle replica stays loaded.

use std::time::Duration;

use crate::Gaps;
use crate::gaps::Bin;

/// With fewer gaps than this a model's own history says little.
const ENOUGH: u32 = 8;
/// The histogram policy covers this part of the gaps.
const COVERED: f64 = 0.95;

/// What a cold start and idling cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Costs {
    /// How long a cold start takes.
    pub cold: Duration,
    /// What a second of cold start costs.
    pub cold_weight: f64,
    /// What a second of an idle replica costs.
    pub idle_weight: f64,
}

impl Costs {
    /// The cost of one cold start.
    pub fn miss(&self) -> f64 {
        self.cold_weight * self.cold.as_secs_f64()
    }

    /// The idle time that costs as much as one cold start.
    pub fn even(&self) -> Duration {
        let seconds = self.miss() / self.idle_weight;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// A way to choose how long a replica stays loaded after its last request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepWarm {
    /// Always the same time.
    Fixed(Duration),
    /// As long as nearly all of the model's own gaps are.
    Histogram,
    /// Until idling has cost as much as a cold start: at most twice the cost of knowing the future.
    Even,
    /// What would have cost least over the model's own gaps; like [`KeepWarm::Even`] while there are few.
    Cheapest,
}

impl KeepWarm {
    /// How long to stay loaded after a request, at most `most`.
    pub fn stay(self, gaps: &Gaps, costs: &Costs, most: Duration) -> Duration {
        let known = gaps.count() >= ENOUGH;
        let stay = match self {
            Self::Fixed(time) => time,
            Self::Histogram if known => gaps.quantile(COVERED).unwrap_or_else(|| costs.even()),
            Self::Cheapest if known => cheapest(gaps, costs),
            Self::Histogram | Self::Even | Self::Cheapest => costs.even(),
        };
        stay.min(most)
    }
}

/// The time with the lowest cost over the gaps; of times that cost the same the shortest.
fn cheapest(gaps: &Gaps, costs: &Costs) -> Duration {
    let bins: Vec<Bin> = gaps.bins().collect();
    let cost = |stay: f64| -> f64 {
        let each = bins.iter().map(|bin| {
            let missed = bin.most > stay;
            let gap = if missed {
                stay * costs.idle_weight + costs.miss()
            } else {
                bin.usual * costs.idle_weight
            };
            f64::from(bin.count) * gap
        });
        each.sum()
    };
    let stays = std::iter::once(0.0).chain(bins.iter().map(|bin| bin.most));
    let best = stays.min_by(|a, b| cost(*a).total_cmp(&cost(*b)));
    Duration::from_secs_f64(best.unwrap_or_default())
}

#[cfg(test)]
mod tests;
