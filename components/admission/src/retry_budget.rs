//! The budget for sending requests again.
//!
//! Load pattern: endpoints fail or shed under a rush, and each router repeats what failed; without a bound the
//! repeats of all routers together are a second rush. The bound is on the sum over all routers, who do not talk
//! about it: the part in proportion to the requests is split by itself, since each router counts its own, and of
//! the fixed part each takes a share by the routers that loaders hear, or by `SHARES` while it is not known.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Routers that the fixed part is divided among while their number is not known: more than the largest deployment in
/// sight has per service.
const SHARES: f64 = 32.0;
/// Some more than are heard share it, for those that have just started or are cut off.
const UNHEARD: f64 = 1.5;
/// The part of the proportional budget that is used, since windows slide and clocks differ.
const CAUTION: f64 = 0.7;
/// Requests are counted in steps of this length.
const STEP: Duration = Duration::from_millis(500);

/// What may be repeated, over all routers together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in a window beyond these.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Count {
    at: Instant,
    requests: u32,
    repeats: u32,
}

/// What the budget says of one repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryDecision {
    /// Whether there was one left.
    pub allowed: bool,
    /// Retries in the window, this one included.
    pub spent: u32,
    /// As many are allowed.
    pub limit: u32,
}

/// The budget of one router for one service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    counts: VecDeque<Count>,
}

impl RetryBudget {
    /// A budget within these limits.
    pub fn new(limits: RetryLimits) -> Self {
        Self { limits, counts: VecDeque::new() }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant) {
        self.count(now).requests += 1;
    }

    /// Takes one repeat from the budget, if there is one left; `routers` is how many share it, if that is known.
    pub fn try_retry(&mut self, routers: Option<u32>, now: Instant) -> RetryDecision {
        self.count(now);
        let requests: u32 = self.counts.iter().map(|count| count.requests).sum();
        let repeats: u32 = self.counts.iter().map(|count| count.repeats).sum();
        let shares = routers.map_or(SHARES, |count| f64::from(count + 1) * UNHEARD);
        let share = self.limits.slack / shares;
        let limit = (f64::from(requests) * self.limits.ratio * CAUTION + share).floor() as u32;
        let allowed = repeats < limit;
        if allowed {
            self.count(now).repeats += 1;
        }
        RetryDecision { allowed, spent: repeats + u32::from(allowed), limit }
    }

    fn count(&mut self, now: Instant) -> &mut Count {
        while self.counts.front().is_some_and(|count| now - count.at > self.limits.window) {
            self.counts.pop_front();
        }
        if self.counts.back().is_none_or(|count| now - count.at > STEP) {
            self.counts.push_back(Count { at: now, requests: 0, repeats: 0 });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }
}

#[cfg(test)]
mod tests;
