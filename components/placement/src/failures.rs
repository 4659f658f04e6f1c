//! Recent failures of the requests that one router sent to an endpoint.
//!
//! Load pattern: an endpoint loses the responses of a part of its requests for some seconds, while it answers the other
//! requests and its health check as usual. A request that may run only once is lost with its response, so the other
//! endpoints are preferred for a while, as long as they are not full.

use std::time::Duration;

use tokio::time::Instant;

use crate::decay::remaining_weight;

/// A failure counts about a third (1/e) after this time; then one more request finds out whether the fault persists.
const FAILURE_TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Each successful request multiplies the count by this factor.
const SUCCESS_FACTOR: f64 = 0.9;
/// Upper limit of the count.
const MAX_COUNT: f64 = 4.0;

/// A decaying count of failed requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentFailures {
    count: f64,
    updated: Option<Instant>,
}

impl RecentFailures {
    /// Counts a failed request.
    pub fn record_failure(&mut self, now: Instant) {
        self.count = (self.count(now) + 1.0).min(MAX_COUNT);
        self.updated = Some(now);
    }

    /// Reduces the count after a successful request.
    pub fn record_success(&mut self, now: Instant) {
        self.count = self.count(now) * SUCCESS_FACTOR;
        self.updated = Some(now);
    }

    /// The number of recent failures; older ones count less.
    pub fn count(&self, now: Instant) -> f64 {
        self.count * remaining_weight(self.updated, now, FAILURE_TIME_CONSTANT)
    }
}

#[cfg(test)]
mod tests;
