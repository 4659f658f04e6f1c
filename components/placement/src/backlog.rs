//! Prompts that an endpoint has still to read, as one router knows it.
//!
//! Load pattern: a burst comes through all routers at once, and none hears of the others' requests before their loader
//! does, a second later. Callers are spread over the routers, so that what one has sent lately stands for the others:
//! its mean over the last moments, and a part of what it has just sent.

use std::time::Duration;

use tokio::time::Instant;

use crate::decay::kept;

/// The time over which the mean is taken: a few prompts.
const SPAN: Duration = Duration::from_millis(300);
/// Each other router is taken to have sent at least this part of a burst that this one has just sent.
const ALIKE: f64 = 1.0 / 3.0;
/// Prompts that are a burst; fewer say nothing of other routers.
const BURST: u32 = 3;

/// The reading that requests of one router still need at an endpoint, in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct PromptBacklog {
    own: f64,
    /// Prompts that it is made of.
    prompts: u32,
    mean: f64,
    at: Option<Instant>,
}

impl PromptBacklog {
    /// A request was sent there.
    pub fn add(&mut self, work: Duration, now: Instant) {
        self.mean = self.mean_at(now);
        self.at = Some(now);
        self.own += work.as_secs_f64();
        self.prompts += 1;
    }

    /// A request has begun to run, or is over.
    pub fn remove(&mut self, work: Duration, now: Instant) {
        self.mean = self.mean_at(now);
        self.at = Some(now);
        self.own = (self.own - work.as_secs_f64()).max(0.0);
        self.prompts = self.prompts.saturating_sub(1);
    }

    /// Prompts of this router that it has still to read.
    pub fn prompts(&self) -> u32 {
        self.prompts
    }

    /// What it has to read for all of so many routers.
    pub fn total(&self, routers: u32, now: Instant) -> Duration {
        let others = f64::from(routers.saturating_sub(1));
        let burst = if self.prompts >= BURST { self.own * ALIKE } else { 0.0 };
        let other = self.mean_at(now).max(burst);
        Duration::from_secs_f64(self.own + others * other)
    }

    fn mean_at(&self, now: Instant) -> f64 {
        let kept = kept(self.at, now, SPAN);
        self.mean * kept + self.own * (1.0 - kept)
    }
}

#[cfg(test)]
mod tests;
