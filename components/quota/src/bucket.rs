//! The tokens of one workspace at one router.

use std::time::Duration;

use clock::Moment;

use crate::BucketSpec;

/// A bucket begins empty: what its router had let in before it started is not known any more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    level: f64,
    filled: Moment,
    /// All that it could not hold so far.
    spilled: f64,
}

/// Tokens that were taken from a bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TakenTokens {
    /// How many.
    pub tokens: f64,
    /// What the bucket had not been able to hold by then.
    spilled: f64,
}

impl Bucket {
    /// A bucket that has been filling since a moment.
    pub fn new(since: Moment) -> Self {
        Self { level: 0.0, filled: since, spilled: 0.0 }
    }

    /// What it holds now.
    pub fn level(&mut self, share: BucketSpec, now: Moment) -> f64 {
        let gained = share.refill_rate * now.since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.fill(share, gained);
        self.level
    }

    /// Adds tokens from another bucket; what it can't hold is lost.
    pub fn add(&mut self, share: BucketSpec, tokens: f64, now: Moment) {
        self.level(share, now);
        self.fill(share, tokens);
    }

    fn fill(&mut self, share: BucketSpec, tokens: f64) {
        let full = self.level + tokens;
        self.level = full.min(share.capacity);
        self.spilled += full - self.level;
    }

    /// Takes this much at most.
    pub fn take(&mut self, share: BucketSpec, most: f64, now: Moment) -> TakenTokens {
        let tokens = self.level(share, now).min(most).max(0.0);
        self.level -= tokens;
        TakenTokens { tokens, spilled: self.spilled }
    }

    /// Gives back what was taken and not used, less what the bucket could not have held meanwhile: it is as if nothing had been
    /// taken, however long ago that was.
    pub fn refund(&mut self, share: BucketSpec, taken: TakenTokens, now: Moment) {
        self.level(share, now);
        let tokens = (taken.tokens - (self.spilled - taken.spilled)).max(0.0);
        self.fill(share, tokens);
    }

    /// When it holds this much, if nobody takes anything.
    pub fn time_until(&mut self, share: BucketSpec, tokens: f64, now: Moment) -> Duration {
        let missing = (tokens - self.level(share, now)).max(0.0);
        Duration::try_from_secs_f64(missing / share.refill_rate).unwrap_or(Duration::MAX)
    }
}

#[cfg(test)]
mod tests;
