//! Schedules the requests to one endpoint.

use std::time::Duration;

use tokio::time::Instant;
use units::Rate;

/// The requests that may be sent at once after a pause; a whole one is needed where the limit is below one a second.
const MIN_BURST: f64 = 2.0;
/// The same for higher limits, as the time in which the limit allows that many requests.
const BURST_TIME: Duration = Duration::from_millis(250);
/// The longest time that a request is delayed. A limiter that restarts has lost the requests that it had scheduled, and these also
/// outlast a fall of the limit, so there must be few of them.
pub(crate) const MAX_WAIT: Duration = Duration::from_millis(500);
/// The longest retry delay, for limits near zero.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// The request may be sent after this time.
    After(Duration),
    /// The request would have to wait for too long. It may be sent after this time if it is requested again then and the capacity
    /// has not been used by others.
    Refused(Duration),
}

/// A token bucket whose level is below zero while requests are scheduled. It starts empty, since it does not know what was sent
/// before, and fills only after all requests that an earlier limiter may have scheduled have been sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limiter {
    level: f64,
    /// The time up to which the bucket has been filled.
    filled: Instant,
}

impl Limiter {
    /// Creates a limiter for an endpoint that may have had another one until now.
    pub fn new(now: Instant) -> Self {
        Self { level: 0.0, filled: now + MAX_WAIT }
    }

    /// Schedules a request within `max_wait`, or refuses it.
    pub fn acquire(&mut self, limit: Rate, max_wait: Duration, now: Instant) -> Grant {
        let burst = MIN_BURST.max(limit.0 * BURST_TIME.as_secs_f64());
        let gained = limit.0 * now.saturating_duration_since(self.filled).as_secs_f64();
        // After a fall of the limit, only as many requests count as scheduled as the new limit allows.
        let max_scheduled = limit.0 * MAX_WAIT.as_secs_f64();
        self.level = (self.level + gained).clamp(-max_scheduled, burst);
        self.filled = self.filled.max(now);
        let missing = (1.0 - self.level).max(0.0);
        let fill_time = if missing > 0.0 { seconds(missing / limit.0) } else { Duration::ZERO };
        let wait = fill_time.saturating_add(self.filled - now);
        if wait > max_wait.min(MAX_WAIT) {
            return Grant::Refused(wait.min(MAX_RETRY_AFTER));
        }
        self.level -= 1.0;
        Grant::After(wait)
    }

    /// When a request was last scheduled or refused.
    pub(crate) fn last_used(&self) -> Instant {
        self.filled
    }
}

/// A duration of so many seconds; the longest one if they are too many, or infinite.
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

#[cfg(test)]
mod tests;
