//! The token bucket of one workspace at one router.

use std::time::Duration;

use clock::Moment;

use crate::BucketSpec;

/// A token bucket. It starts empty, since a router that starts does not know what it admitted before.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    level: f64,
    filled: Moment,
    /// All tokens that exceeded the capacity so far.
    overflow: f64,
}

/// Tokens that were taken from a bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TakenTokens {
    /// The number of tokens.
    pub tokens: f64,
    /// The bucket's overflow at that time.
    overflow: f64,
}

impl Bucket {
    /// A bucket that fills from `since` on.
    pub fn new(since: Moment) -> Self {
        Self { level: 0.0, filled: since, overflow: 0.0 }
    }

    /// The number of tokens that the bucket holds now.
    pub fn level(&mut self, share: BucketSpec, now: Moment) -> f64 {
        let gained = share.refill_rate * now.since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.fill(share, gained);
        self.level
    }

    /// Adds tokens from another bucket. Tokens beyond the capacity are lost.
    pub fn add(&mut self, share: BucketSpec, tokens: f64, now: Moment) {
        self.level(share, now);
        self.fill(share, tokens);
    }

    fn fill(&mut self, share: BucketSpec, tokens: f64) {
        let full = self.level + tokens;
        self.level = full.min(share.capacity);
        self.overflow += full - self.level;
    }

    /// Takes `max` tokens, or as many as there are.
    pub fn take(&mut self, share: BucketSpec, max: f64, now: Moment) -> TakenTokens {
        let tokens = self.level(share, now).min(max).max(0.0);
        self.level -= tokens;
        TakenTokens { tokens, overflow: self.overflow }
    }

    /// Returns tokens that were taken and not used, less those that would have exceeded the capacity in the meantime. The bucket
    /// is then as full as if nothing had been taken, however long ago that was.
    pub fn refund(&mut self, share: BucketSpec, taken: TakenTokens, now: Moment) {
        self.level(share, now);
        let tokens = (taken.tokens - (self.overflow - taken.overflow)).max(0.0);
        self.fill(share, tokens);
    }

    /// The time until the bucket holds this many tokens, if none are taken.
    pub fn time_until(&mut self, share: BucketSpec, tokens: f64, now: Moment) -> Duration {
        let missing = (tokens - self.level(share, now)).max(0.0);
        Duration::try_from_secs_f64(missing / share.refill_rate).unwrap_or(Duration::MAX)
    }
}

#[cfg(test)]
mod tests;
