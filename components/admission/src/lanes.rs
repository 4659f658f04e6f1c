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

/// The number learned so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lanes {
    count: u32,
}

impl Default for Lanes {
    fn default() -> Self {
        Self { count: FIRST }
    }
}

impl Lanes {
    /// Loads that may run at once.
    pub fn count(self) -> u32 {
        self.count
    }

    /// Learns from a load that took this long while so many ran, where one alone takes `alone`.
    pub fn learn(&mut self, took: Duration, alone: Duration, beside: u32) {
        if alone.is_zero() || beside == 0 {
            return;
        }
        let stretch = took.as_secs_f64() / alone.as_secs_f64();
        if stretch <= FREE {
            if beside >= self.count {
                self.count = (beside * 2).min(MOST);
            }
        } else if beside > 1 {
            let carried = f64::from(beside) / stretch;
            self.count = (carried.round() as u32).clamp(1, self.count.max(1));
        }
    }
}

#[cfg(test)]
mod tests;
