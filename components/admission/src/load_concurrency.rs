//! How many loads the weight store carries at full speed.
//!
//! Load pattern: many models without a copy are wanted at once. Beyond some number of loads each becomes slower in
//! proportion, so that more at once bring nothing sooner and the first one later. The number is not known
//! beforehand: it is learned from how long loads take beside others.

use std::time::Duration;

/// Loads at once before anything is known: two show whether there is room for more without costing much if not.
const FIRST: u32 = 2;
/// A load that takes up to this many times its own length has had a lane to itself.
const FREE: f64 = 1.25;
/// More at once is never tried.
const MOST: u32 = 32;

/// How many loads ran at once while one did, itself included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConcurrentLoads {
    /// The fewest.
    pub min: u32,
    /// The most.
    pub max: u32,
}

impl ConcurrentLoads {
    /// So many all the time.
    pub fn steady(count: u32) -> Self {
        Self { min: count, max: count }
    }

    /// So many run now.
    pub fn record(&mut self, count: u32) {
        self.min = self.min.min(count);
        self.max = self.max.max(count);
    }
}

/// The number learned so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadConcurrency {
    count: u32,
    /// Whether more at once than it carries were ever seen.
    bounded: bool,
}

impl Default for LoadConcurrency {
    fn default() -> Self {
        Self { count: FIRST, bounded: false }
    }
}

impl LoadConcurrency {
    /// Loads that may run at once.
    pub fn limit(self) -> u32 {
        self.count
    }

    /// Learns from a load that took this long while others ran, where one alone takes `alone`.
    pub fn learn(&mut self, took: Duration, alone: Duration, beside: ConcurrentLoads) {
        let ConcurrentLoads { min, max } = beside;
        if alone.is_zero() || min == 0 {
            return;
        }
        let stretch = took.as_secs_f64() / alone.as_secs_f64();
        if stretch <= FREE {
            // Those that began in its last moments say nothing of the store's speed.
            let beside = min;
            if beside >= self.count {
                // Once the bound is known it is only felt for, and before that approached in steps: with twice as many
                // each would take up to twice as long, those included that most wait for.
                let more = match self.bounded {
                    true => 1,
                    false if beside <= FIRST => beside,
                    false => beside.div_ceil(2),
                };
                self.count = (beside + more).min(MOST);
            }
        } else if max > 1 {
            let carried = f64::from(min + max) / 2.0 / stretch;
            self.count = (carried.round() as u32).clamp(1, self.count.max(1));
            self.bounded = true;
        }
    }
}

#[cfg(test)]
mod tests;
