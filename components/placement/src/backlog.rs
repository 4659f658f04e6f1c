//! The prompts that an endpoint has yet to process, as estimated by one router.
//!
//! Load pattern: a burst of requests arrives through all routers at once, and a router learns of the requests of the
//! others only through the endpoint's loader, up to a second later. Callers are spread over the routers, so what one
//! router has sent recently stands for what each of the others has sent: the recent mean of its backlog, and a part of
//! a burst that it has just sent.

use std::time::Duration;

use tokio::time::Instant;

use crate::decay::remaining_weight;

/// Time constant of the mean backlog: the time in which an engine processes a few prompts.
const MEAN_TIME_CONSTANT: Duration = Duration::from_millis(300);
/// Each other router is assumed to have sent at least this part of a burst that this router has just sent.
const OTHER_ROUTER_BURST_PART: f64 = 1.0 / 3.0;
/// The number of prompts that make a burst; fewer say nothing about other routers.
const MIN_BURST_PROMPTS: u32 = 3;

/// A longer time than any prompt waits. Prompts and the number of routers are as large as others state them.
const MAX_TOTAL: Duration = Duration::from_secs(24 * 60 * 60);

/// The prompts that one router has sent to an endpoint and that the endpoint has yet to process.
#[derive(Debug, Clone, Copy, Default)]
pub struct PromptBacklog {
    /// Their prefill time, in seconds.
    seconds: f64,
    prompts: u32,
    /// Decaying mean of `seconds`.
    mean_seconds: f64,
    updated: Option<Instant>,
}

impl PromptBacklog {
    /// Adds the prompt of a request that was sent to the endpoint.
    pub fn add(&mut self, prefill: Duration, now: Instant) {
        self.mean_seconds = self.mean_at(now);
        self.updated = Some(now);
        self.seconds += prefill.as_secs_f64();
        self.prompts += 1;
    }

    /// Removes the prompt of a request that has begun to generate or has ended.
    pub fn remove(&mut self, prefill: Duration, now: Instant) {
        self.mean_seconds = self.mean_at(now);
        self.updated = Some(now);
        self.seconds = (self.seconds - prefill.as_secs_f64()).max(0.0);
        self.prompts = self.prompts.saturating_sub(1);
    }

    /// The number of prompts of this router that the endpoint has yet to process.
    pub fn prompts(&self) -> u32 {
        self.prompts
    }

    /// Estimates the prefill time of the prompts of all routers, given the number of routers.
    pub fn total(&self, routers: u32, now: Instant) -> Duration {
        let others = f64::from(routers.saturating_sub(1));
        let burst = if self.prompts >= MIN_BURST_PROMPTS {
            self.seconds * OTHER_ROUTER_BURST_PART
        } else {
            0.0
        };
        let other = self.mean_at(now).max(burst);
        let total = (self.seconds + others * other).min(MAX_TOTAL.as_secs_f64());
        Duration::from_secs_f64(total)
    }

    fn mean_at(&self, now: Instant) -> f64 {
        let weight = remaining_weight(self.updated, now, MEAN_TIME_CONSTANT);
        self.mean_seconds * weight + self.seconds * (1.0 - weight)
    }
}

#[cfg(test)]
mod tests;
