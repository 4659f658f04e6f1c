//! Measures the rate at which a queue moves.
//!
//! Load pattern: a model is loaded, serves a burst of requests, is evicted and loaded again. The time of a load says nothing about
//! how fast the queue moves once the model is ready, so only the time in which the model was ready counts.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The time, without loads, over which the rate is measured.
const RATE_WINDOW: Duration = Duration::from_secs(10);
/// Requests that must have been served in the window for the rate to be known.
const MIN_SERVED: usize = 4;
/// The most requests that are remembered.
const MAX_SERVED: usize = 64;
/// The shortest time over which a rate is measured.
const MIN_MEASURED_TIME: Duration = Duration::from_millis(1);

/// Measures the rate at which a queue moves.
#[derive(Debug, Default)]
pub(crate) struct RateMeter {
    /// The time in which requests waited and the model was ready.
    active: Duration,
    last: Option<Instant>,
    /// When requests were served, in `active` time.
    served: VecDeque<Duration>,
}

impl RateMeter {
    /// Begins to measure after a time in which no request waited.
    pub(crate) fn resume(&mut self, now: Instant) {
        self.last = Some(now);
    }

    /// Counts the time since the last call if the model was ready in it.
    pub(crate) fn advance(&mut self, model_ready: bool, now: Instant) {
        if let Some(last) = self.last.filter(|_| model_ready) {
            self.active += now.saturating_duration_since(last);
        }
        self.last = Some(now);
        while self.served.front().is_some_and(|served| self.active - *served > RATE_WINDOW) {
            self.served.pop_front();
        }
    }

    /// Counts a served request.
    pub(crate) fn record_served(&mut self) {
        if self.served.len() == MAX_SERVED {
            self.served.pop_front();
        }
        self.served.push_back(self.active);
    }

    /// Requests per second, if enough were served lately.
    pub(crate) fn per_second(&self) -> Option<f64> {
        let first = self.served.front().filter(|_| self.served.len() >= MIN_SERVED)?;
        let measured = (self.active - *first).max(MIN_MEASURED_TIME);
        let count = u32::try_from(self.served.len() - 1).unwrap_or(u32::MAX);
        Some(f64::from(count) / measured.as_secs_f64())
    }
}

#[cfg(test)]
mod tests;
