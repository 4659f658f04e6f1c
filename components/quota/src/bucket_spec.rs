//! What a limit allows, as a token bucket.

use std::time::Duration;

use catalog::Limit;

/// The part of what is allowed that is given out, since what routers count differs a little from what endpoints see.
const USABLE_FRACTION: f64 = 0.95;
/// At least this part of it stands ready in the buckets for requests that come together; the rest refills them.
const MIN_CAPACITY_FRACTION: f64 = 0.1;
/// Tokens that were taken from one bucket are used within this time or are lost: meanwhile that bucket refills.
pub const LOAN_TIMEOUT: Duration = Duration::from_millis(500);

/// By how much a limit may be passed, over all routers together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The length of the windows in which requests are counted.
    pub window: Duration,
    /// The part of the limit beyond it.
    pub overshoot: f64,
    /// Units beyond these.
    pub slack: f64,
}

impl Bounds {
    /// What a limit allows in one window.
    pub fn allowed(self, limit: Limit) -> f64 {
        let asked = limit.rate * self.window.as_secs_f64() + limit.burst;
        asked * (1.0 + self.overshoot) + self.slack
    }
}

/// A token bucket: of all routers together, or the share of one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketSpec {
    /// Units a second that it gains.
    pub refill_rate: f64,
    /// The most that it holds.
    pub capacity: f64,
}

impl BucketSpec {
    /// The bucket of all routers: in no window more is taken from it than the limit allows.
    pub fn new(limit: Limit, bounds: Bounds) -> Self {
        let allowed = bounds.allowed(limit) * USABLE_FRACTION;
        let span = (bounds.window + LOAN_TIMEOUT).as_secs_f64();
        let refill_rate = limit.rate.min(allowed * (1.0 - MIN_CAPACITY_FRACTION) / span);
        Self { refill_rate, capacity: allowed - refill_rate * span }
    }

    /// One of so many equal shares.
    pub fn share(self, shares: u32) -> Self {
        let shares = f64::from(shares.max(1));
        Self { refill_rate: self.refill_rate / shares, capacity: self.capacity / shares }
    }
}

#[cfg(test)]
mod tests;
