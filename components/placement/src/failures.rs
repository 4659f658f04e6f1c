//! How sound an endpoint is, by what became of the last requests.
//!
//! Load pattern: an endpoint loses the answers of a part of its requests for some seconds, and answers the others and
//! its health check as usual. A request that may run only once is lost with its answer, so that the others go first for
//! a while, as long as they are not full.

use std::time::Duration;

use tokio::time::Instant;

use crate::decay::kept;

/// A failure is forgotten to a third after this time: one more request finds out whether it lasts.
const SPAN: Duration = Duration::from_secs(3);
/// What is left of it after each request that worked.
const WORKED: f64 = 0.9;
/// It counts no more than so many.
const MOST: f64 = 4.0;

/// Failures of late; old ones count less.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentFailures {
    failures: f64,
    at: Option<Instant>,
}

impl RecentFailures {
    /// A request failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures = (self.count(now) + 1.0).min(MOST);
        self.at = Some(now);
    }

    /// A request worked.
    pub fn record_success(&mut self, now: Instant) {
        self.failures = self.count(now) * WORKED;
        self.at = Some(now);
    }

    /// Failures of late.
    pub fn count(&self, now: Instant) -> f64 {
        self.failures * kept(self.at, now, SPAN)
    }
}

#[cfg(test)]
mod tests;
