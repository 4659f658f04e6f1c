//! The token bucket that enforces a limit.

use std::time::Duration;

use catalog::Limit;

/// The fraction of the allowed units that the buckets give out. The rest covers the small difference between what routers count
/// and what endpoints see.
const USABLE_FRACTION: f64 = 0.95;
/// The smallest fraction of the usable units that is the capacity of the buckets, for bursts of requests. The rest is their
/// refill within a window.
const MIN_CAPACITY_FRACTION: f64 = 0.1;
/// Tokens taken from a bucket for another router are used within this time or are lost. The lender's bucket refills meanwhile.
pub const LOAN_TIMEOUT: Duration = Duration::from_millis(500);

/// By how much a limit may be exceeded, over all routers together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The length of the windows in which requests are counted.
    pub window: Duration,
    /// The allowed excess as a fraction of the limit.
    pub overshoot: f64,
    /// The allowed excess in units, on top of `overshoot`.
    pub slack: f64,
}

impl Bounds {
    /// The number of units that a limit allows in one window.
    pub fn allowed(self, limit: Limit) -> f64 {
        let nominal = limit.rate * self.window.as_secs_f64() + limit.burst;
        nominal * (1.0 + self.overshoot) + self.slack
    }
}

/// The parameters of a token bucket: that of all routers together, or the share of one router.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketSpec {
    /// Tokens that the bucket gains per second.
    pub refill_rate: f64,
    /// The most tokens that the bucket holds.
    pub capacity: f64,
}

impl BucketSpec {
    /// The bucket of all routers together: no window takes more from it than the limit allows.
    pub fn new(limit: Limit, bounds: Bounds) -> Self {
        let usable = bounds.allowed(limit) * USABLE_FRACTION;
        let span = (bounds.window + LOAN_TIMEOUT).as_secs_f64();
        let refill_rate = limit.rate.min(usable * (1.0 - MIN_CAPACITY_FRACTION) / span);
        Self { refill_rate, capacity: usable - refill_rate * span }
    }

    /// One of `shares` equal shares.
    pub fn share(self, shares: u32) -> Self {
        let shares = f64::from(shares.max(1));
        Self { refill_rate: self.refill_rate / shares, capacity: self.capacity / shares }
    }
}

#[cfg(test)]
mod tests;
