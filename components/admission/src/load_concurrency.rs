//! Learns how many loads the weight store serves at full speed.
//!
//! Load pattern: many models without a copy are requested at once. Beyond some number of concurrent loads the store
//! slows all of them down in proportion, so that further loads finish no model sooner and delay the first one. The
//! number is not known beforehand; it is learned from how long loads take while others run.

use std::time::Duration;

/// Limit before any load has been measured: two concurrent loads show whether the store has room for more, and cost
/// little if it has not.
const INITIAL_LIMIT: u32 = 2;
/// A load that takes up to this many times as long as it takes alone ran at full speed.
const FULL_SPEED_STRETCH: f64 = 1.25;
/// The limit never exceeds this number of loads.
const MAX_LIMIT: u32 = 32;

/// The number of loads that ran at once during one load, itself included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConcurrentLoads {
    /// The smallest number.
    pub min: u32,
    /// The largest number.
    pub max: u32,
}

impl ConcurrentLoads {
    /// The same number of loads ran all the time.
    pub fn steady(count: u32) -> Self {
        Self { min: count, max: count }
    }

    /// Records the number of loads that run now.
    pub fn record(&mut self, count: u32) {
        self.min = self.min.min(count);
        self.max = self.max.max(count);
    }
}

/// The learned limit on concurrent loads from the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadConcurrency {
    limit: u32,
    /// Whether the store has ever been slowed down by too many concurrent loads.
    saturated: bool,
}

impl Default for LoadConcurrency {
    fn default() -> Self {
        Self { limit: INITIAL_LIMIT, saturated: false }
    }
}

impl LoadConcurrency {
    /// The number of loads that may run at once.
    pub fn limit(self) -> u32 {
        self.limit
    }

    /// Updates the limit from a load that took `took` while others ran, and takes `alone` when it runs alone.
    pub fn learn(&mut self, took: Duration, alone: Duration, concurrent: ConcurrentLoads) {
        let ConcurrentLoads { min, max } = concurrent;
        if alone.is_zero() || min == 0 {
            return;
        }
        let stretch = took.as_secs_f64() / alone.as_secs_f64();
        if stretch <= FULL_SPEED_STRETCH {
            // Loads that started shortly before this one ended show nothing about the speed of the store, so only the
            // smallest number counts.
            let concurrent = min;
            if concurrent >= self.limit {
                // After the store has been saturated once, the limit grows by one load at a time. Before that it grows
                // faster, but after the first doubling only by half: with twice as many loads as the store serves at
                // full speed each takes up to twice as long, including those that most requests wait for.
                let increase = match self.saturated {
                    true => 1,
                    false if concurrent <= INITIAL_LIMIT => concurrent,
                    false => concurrent.div_ceil(2),
                };
                self.limit = (concurrent + increase).min(MAX_LIMIT);
            }
        } else if max > 1 {
            let at_full_speed = f64::from(min + max) / 2.0 / stretch;
            self.limit = (at_full_speed.round() as u32).clamp(1, self.limit.max(1));
            self.saturated = true;
        }
    }
}

#[cfg(test)]
mod tests;
