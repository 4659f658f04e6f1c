//! Hands out the times at which requests may be sent to one endpoint.

use std::time::Duration;

use tokio::time::Instant;
use units::Rate;

/// The requests that may be sent at once after a pause; a whole one is needed where the limit is below one a second.
const MIN_BURST: f64 = 2.0;
/// The same for higher limits, as the time in which the limit allows that many requests.
const BURST_TIME: Duration = Duration::from_millis(250);
/// The longest that a request is held back. What has been promised for later is forgotten by a limiter that starts anew and holds
/// beyond a fall of the limit, so it must be little.
pub(crate) const MAX_WAIT: Duration = Duration::from_millis(500);
/// The longest time that a caller is told to come back after, for limits near zero.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// The request may be sent after this time.
    After(Duration),
    /// The request would have to wait for longer than it can. A request that asks again after this time may be sent at once, unless
    /// others come first.
    Refused(Duration),
}

/// A token bucket whose level may fall below zero by what has been promised. It starts empty, because a limiter that starts does not
/// know what was sent before, and fills only when all that an earlier limiter may have promised has been sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limiter {
    level: f64,
    /// Until when the level includes what the limit allows.
    filled: Instant,
}

impl Limiter {
    /// A limiter of an endpoint that may have had another one until now.
    pub fn new(now: Instant) -> Self {
        Self { level: 0.0, filled: now + MAX_WAIT }
    }

    /// Asks to send a request that can wait for `max_wait`.
    pub fn acquire(&mut self, limit: Rate, max_wait: Duration, now: Instant) -> Grant {
        let burst = MIN_BURST.max(limit.0 * BURST_TIME.as_secs_f64());
        let gained = limit.0 * now.saturating_duration_since(self.filled).as_secs_f64();
        // If the limit has fallen, what was promised at the higher one counts as far as it lies ahead.
        let promised = limit.0 * MAX_WAIT.as_secs_f64();
        self.level = (self.level + gained).clamp(-promised, burst);
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

    /// When the limiter was last asked.
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
