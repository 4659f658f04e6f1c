//! How much an endpoint carries, by its speed.
//!
//! Load pattern: endpoints of one service take between 0.7 and 1.7 times the nominal time for the same work. With the
//! same share of its slots taken, a slow endpoint pauses its streams for longer than routes allow, while a fast one is
//! half idle. A factor may be wrong, so it only scales: no endpoint is left without capacity.

use std::time::Duration;

use crate::Candidate;

/// The smallest part of its slots that an endpoint is taken to carry, so that a wrong factor excludes no endpoint.
const MIN_CAPACITY_PART: f64 = 0.25;
/// Time factors beyond this, or below its inverse, count as this.
const MAX_TIME_FACTOR: f64 = 4.0;
/// An endpoint is slow if it takes at least this many times as long as the fastest one.
const SLOW_RATIO: f64 = 1.3;
/// A target is long if it is at least this many times the expected time to the first event at a slow endpoint.
const LONG_TARGET_MULTIPLE: u32 = 4;

/// Whether requests go by capacity at these endpoints, which belong to one service.
pub fn by_capacity(candidates: &[Candidate<'_>]) -> bool {
    candidates.iter().any(|candidate| candidate.balanced)
}

/// The time factor from which on an endpoint counts as slow beside these.
pub(crate) fn slow_factor<'a>(candidates: impl Iterator<Item = &'a Candidate<'a>>) -> f64 {
    candidates.map(Candidate::factor).fold(MAX_TIME_FACTOR, f64::min) * SLOW_RATIO
}

/// Whether a target leaves time for a slow endpoint that is expected to send the first event after `first_event`.
pub(crate) fn is_long_target(target: Duration, first_event: Duration) -> bool {
    target >= first_event * LONG_TARGET_MULTIPLE
}

/// Whether requests with this target and this prefill time at the median endpoint need a fast endpoint: an idle slow
/// one would take more than its part of the target.
pub fn needs_fast_endpoint(
    candidates: &[Candidate<'_>],
    prefill: Duration,
    target: Duration,
) -> bool {
    let slowest = candidates.iter().map(|candidate| candidate.scaled(prefill)).max();
    by_capacity(candidates) && slowest.is_some_and(|time| !is_long_target(target, time))
}

impl Candidate<'_> {
    /// How long the endpoint takes, relative to the median endpoint; 1 where requests don't go by capacity.
    pub(crate) fn factor(&self) -> f64 {
        let known = self.balanced && self.time_factor.is_finite() && self.time_factor > 0.0;
        if known { self.time_factor.clamp(1.0 / MAX_TIME_FACTOR, MAX_TIME_FACTOR) } else { 1.0 }
    }

    /// The time that the endpoint takes for work for which the median endpoint takes `time`.
    pub(crate) fn scaled(&self, time: Duration) -> Duration {
        // Not multiplied by 1, which would round.
        if self.balanced { time.mul_f64(self.factor()) } else { time }
    }

    /// The streams that the endpoint carries with pauses that routes allow: the pauses grow with the time of a step.
    pub(crate) fn capacity(&self) -> f64 {
        let slots = f64::from(self.endpoint.slots.max(1));
        (slots / self.factor()).clamp(slots * MIN_CAPACITY_PART, slots)
    }

    /// The part of the endpoint's capacity that is taken. May be more than 1.
    pub fn capacity_share(&self) -> f64 {
        self.streams() / self.capacity()
    }

    /// The same with one more request.
    pub(crate) fn next_capacity_share(&self) -> f64 {
        (self.streams() + 1.0) / self.capacity()
    }

    fn streams(&self) -> f64 {
        f64::from(self.total_running.max(self.running))
    }
}

#[cfg(test)]
mod tests;
