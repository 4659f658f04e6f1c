//! The budget for retries of failed requests.
//!
//! Load pattern: endpoints fail or shed requests under overload, and every router retries what failed; without a limit
//! the retries of all routers together overload the endpoints again. The limit applies to the sum over all routers,
//! which don't coordinate. The part in proportion to the requests needs no coordination, since each router counts its
//! own requests. Of the fixed part each router takes an equal share: the divisor is the largest number of routers that
//! loaders have heard from lately, or [`DEFAULT_SHARES`] while that number is unknown.
//!
//! Another load pattern: endpoints are away, and retries that were allowed wait until they are back and arrive together. So a
//! retry is reserved when it is decided, which counts at any time, and counts in the window in which it is sent.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The number of shares of the fixed part while the number of routers is unknown; larger than the number of routers per
/// service in the largest planned deployment.
const DEFAULT_SHARES: f64 = 32.0;
/// Factor on the number of routers heard, for those that have just started or are cut off from the loaders.
const UNHEARD_ROUTERS_FACTOR: f64 = 1.2;
/// The part of the budget that a router may use in its first window: what ran in its place before may have used its own, and that
/// is forgotten.
const START_PART: f64 = 0.6;
/// The part of the proportional budget that is used, since clocks differ between routers and each counts in buckets.
const PROPORTIONAL_PART: f64 = 0.8;
/// At so many moments of the next window it is checked which requests will count then.
const CHECKS_PER_WINDOW: u32 = 20;
/// Requests and retries are counted in buckets of this length.
const BUCKET_LENGTH: Duration = Duration::from_millis(500);

/// The limits on retries, over all routers together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed for each request of a window, of the window before it or of the one half a window earlier, whichever has
    /// most.
    pub ratio: f64,
    /// Retries allowed per window in addition to those.
    pub slack: f64,
    /// The length of the window. Windows begin at any moment.
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
    /// Retries in the window and reserved ones, including this one if it is allowed.
    pub spent: u32,
    /// Retries allowed in the window.
    pub limit: u32,
}

/// The retry budget of one router for one service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    /// When the router started.
    started: Instant,
    buckets: VecDeque<Bucket>,
    /// Retries that are allowed and not sent yet.
    reserved: u32,
}

impl RetryBudget {
    /// Creates an unused budget of a router that started at this time.
    pub fn new(limits: RetryLimits, started: Instant) -> Self {
        Self { limits, started, buckets: VecDeque::new(), reserved: 0 }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Reserves one retry if one is left; `routers` is the number of routers that share the budget, if it is known. The retry
    /// stays reserved until [`RetryBudget::record_sent`] or [`RetryBudget::cancel`].
    pub fn try_reserve(&mut self, routers: Option<u32>, now: Instant) -> RetryDecision {
        self.bucket(now);
        let requests = f64::from(self.guaranteed_requests(now));
        let full = requests * self.limits.ratio * PROPORTIONAL_PART + self.share(routers);
        let is_new = now.duration_since(self.started) < self.limits.window;
        let limit = (full * if is_new { START_PART } else { 1.0 }).floor() as u32;
        let spent = self.sent_retries(now) + self.reserved;
        let allowed = spent < limit;
        self.reserved += u32::from(allowed);
        RetryDecision { allowed, spent: spent + u32::from(allowed), limit }
    }

    /// A reserved retry is sent now.
    pub fn record_sent(&mut self, now: Instant) {
        self.reserved = self.reserved.saturating_sub(1);
        self.bucket(now).retries += 1;
    }

    /// A reserved retry is not sent.
    pub fn cancel(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// The retries that were sent in the window that ends now.
    fn sent_retries(&self, now: Instant) -> u32 {
        let kept = self.limits.window + BUCKET_LENGTH;
        let recent = self.buckets.iter().filter(|bucket| now - bucket.start <= kept);
        recent.map(|bucket| bucket.retries).sum()
    }

    /// The requests that count at any moment at which a retry that is sent now counts, if no further request arrives.
    fn guaranteed_requests(&self, now: Instant) -> u32 {
        let window = self.limits.window;
        let mut total = 0;
        let totals: Vec<u32> = std::iter::once(0)
            .chain(self.buckets.iter().map(|bucket| {
                total += bucket.requests;
                total
            }))
            .collect();
        let until = |at: Instant| totals[self.buckets.partition_point(|bucket| bucket.start <= at)];
        let counted = |check| {
            let end = now + window * check / CHECKS_PER_WINDOW;
            let ends = [end, end - window / 2, end - window];
            ends.into_iter().map(|end| until(end) - until(end - window)).max()
        };
        (0..=CHECKS_PER_WINDOW).filter_map(counted).min().unwrap_or(0)
    }

    /// This router's share of the fixed part.
    fn share(&self, routers: Option<u32>) -> f64 {
        let shares =
            routers.map_or(DEFAULT_SHARES, |count| f64::from(count + 1) * UNHEARD_ROUTERS_FACTOR);
        self.limits.slack / shares
    }

    /// Drops buckets that count no longer and returns the current one.
    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let kept = self.limits.window * 2 + BUCKET_LENGTH;
        while self.buckets.front().is_some_and(|bucket| now - bucket.start > kept) {
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
