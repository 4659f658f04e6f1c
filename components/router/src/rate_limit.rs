//! The rate limit of one endpoint, as this router knows it from the endpoint's answers and from its loader.

use std::time::Duration;

use platform::RateLimitHint;
use tokio::time::Instant;
use units::Rate;

/// After this time, the loader's reports show what an answer of the endpoint said: a loader reads one each second.
const LOADER_LAG: Duration = Duration::from_secs(3);

/// The rate limit that an endpoint named in its answers to this router.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct NamedRateLimit {
    /// The limit, and when it was last named.
    named: Option<(Rate, Instant)>,
    /// Whether the endpoint has named a limit that can't be understood.
    pub(crate) invalid: bool,
    /// When the endpoint was last asked whether it still names the limit.
    pub(crate) checked_at: Option<Instant>,
}

impl NamedRateLimit {
    /// Applies an answer to a request that was sent at `asked_at`.
    pub(crate) fn apply(&mut self, hint: RateLimitHint, asked_at: Instant, now: Instant) {
        match hint {
            RateLimitHint::Limited(rate) => self.named = Some((rate, now)),
            // An answer to an earlier request may have been on its way when the limit was named.
            RateLimitHint::Unlimited => self.named = self.named.filter(|(_, at)| asked_at <= *at),
            RateLimitHint::Invalid => self.invalid = true,
        }
    }

    /// The limit in force. `reported` is what the endpoint's loader has reported recently, if it has reported anything.
    pub(crate) fn in_force(&self, reported: Option<Option<Rate>>, now: Instant) -> Option<Rate> {
        match (self.named, reported) {
            (Some((rate, at)), Some(_)) if now - at < LOADER_LAG => Some(rate),
            (_, Some(reported)) => reported,
            (named, None) => named.map(|(rate, _)| rate),
        }
    }
}

#[cfg(test)]
mod tests;
