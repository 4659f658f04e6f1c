//! The budget for retries of failed requests.
//!
//! Load pattern: endpoints fail or shed requests under overload, and every router retries what failed; without a limit
//! the retries of all routers together overload the endpoints again. The limit applies to the sum over all routers,
//! which don't coordinate. The part in proportion to the requests needs no coordination, since each router counts its
//! own requests. Of the fixed part each router takes an equal share: the divisor is the number of routers that loaders
//! hear from, or [`DEFAULT_SHARES`] while that number is unknown.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The number of shares of the fixed part while the number of routers is unknown; larger than the number of routers per
/// service in the largest planned deployment.
const DEFAULT_SHARES: f64 = 32.0;
/// Factor on the number of routers heard, for those that have just started or are cut off from the loaders.
const UNHEARD_ROUTERS_FACTOR: f64 = 1.5;
/// The part of the proportional budget that is used, since windows slide and clocks differ between routers.
const PROPORTIONAL_PART: f64 = 0.7;
/// Requests and retries are counted in buckets of this length.
const BUCKET_LENGTH: Duration = Duration::from_millis(500);

/// The limits on retries, over all routers together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed per window in addition to those.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Instant,
    requests: u32,
    retries: u32,
}

/// Whether the budget allows a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryDecision {
    /// Whether the budget allowed the retry.
    pub allowed: bool,
    /// Retries in the window, including this one if it is allowed.
    pub spent: u32,
    /// Retries allowed in the window.
    pub limit: u32,
}

/// The retry budget of one router for one service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates an unused budget with these limits.
    pub fn new(limits: RetryLimits) -> Self {
        Self { limits, buckets: VecDeque::new() }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Takes one retry from the budget if one is left; `routers` is the number of routers that share the budget, if it
    /// is known.
    pub fn try_retry(&mut self, routers: Option<u32>, now: Instant) -> RetryDecision {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let shares =
            routers.map_or(DEFAULT_SHARES, |count| f64::from(count + 1) * UNHEARD_ROUTERS_FACTOR);
        let share = self.limits.slack / shares;
        let limit =
            (f64::from(requests) * self.limits.ratio * PROPORTIONAL_PART + share).floor() as u32;
        let allowed = retries < limit;
        if allowed {
            self.bucket(now).retries += 1;
        }
        RetryDecision { allowed, spent: retries + u32::from(allowed), limit }
    }

    /// Drops buckets that have left the window and returns the current one.
    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        while self.buckets.front().is_some_and(|bucket| now - bucket.start > self.limits.window) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| now - bucket.start > BUCKET_LENGTH) {
            self.buckets.push_back(Bucket { start: now, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

#[cfg(test)]
mod tests;
