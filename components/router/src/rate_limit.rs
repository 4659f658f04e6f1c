//! The rate limits that endpoints announce, as this router knows them from the endpoints' answers and from their loaders.

use std::time::Duration;

use events::{Event, emit};
use platform::RateLimitHint;
use tokio::time::Instant;
use units::{EndpointId, EndpointIncarnation, Rate, ServiceName};

use crate::endpoint::TrackedEndpoint;
use crate::registry::{EndpointRegistry, EndpointTable};
use crate::software::RequiredSoftware;

/// After this time, the loader's reports show what an answer of the endpoint said: a loader reads one each second.
const LOADER_LAG: Duration = Duration::from_secs(3);
/// The mean time between two checks by all routers together of whether an endpoint still announces a limit. The endpoint may count
/// the checks against its limit.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The time until the next check by one of `routers` routers. The first one comes after a random part of the interval, so that
/// routers that learn of a limit at the same time don't check at the same time.
pub(crate) fn check_delay(routers: u32, part: f64) -> Duration {
    (CHECK_INTERVAL * routers).mul_f64(part)
}

/// What this router knows of the rate limit of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RateLimitState {
    /// The limit that the endpoint announced in its answers to this router, and when it last did.
    announced: Option<(Rate, Instant)>,
    /// Whether the endpoint has announced a limit that can't be parsed.
    invalid: bool,
    /// Until when this limit allows no request of this router.
    pause: Option<(Rate, Instant)>,
    /// Whether a task checks whether the endpoint still announces the limit.
    checking: bool,
    /// The limit in the last log line.
    logged: Option<Rate>,
}

impl RateLimitState {
    /// Applies an answer to a request that was sent at `asked_at`.
    fn apply(&mut self, hint: RateLimitHint, asked_at: Instant, now: Instant) {
        match hint {
            RateLimitHint::Limited(rate) => self.announced = Some((rate, now)),
            // An answer to an earlier request may have been on its way when the limit was announced.
            RateLimitHint::Unlimited => {
                self.announced = self.announced.filter(|(_, at)| asked_at <= *at);
            }
            RateLimitHint::Invalid => self.invalid = true,
        }
    }

    /// The limit in force. `reported` is what the endpoint's loader has reported recently, if it has reported anything.
    fn in_force(&self, reported: Option<Option<Rate>>, now: Instant) -> Option<Rate> {
        match (self.announced, reported) {
            (Some((rate, at)), Some(_)) if now - at < LOADER_LAG => Some(rate),
            (_, Some(reported)) => reported,
            (announced, None) => announced.map(|(rate, _)| rate),
        }
    }

    /// How long the limit in force allows no request of this router. A pause ends with the limit that caused it.
    fn pause_left(&self, in_force: Option<Rate>, now: Instant) -> Option<Duration> {
        let (_, until) = self.pause.filter(|(rate, _)| in_force == Some(*rate))?;
        Some(until.saturating_duration_since(now)).filter(|left| !left.is_zero())
    }
}

impl TrackedEndpoint {
    /// The limit that the endpoint's loader has reported recently; `None` if it has reported nothing.
    fn reported_limit(&self, now: Instant) -> Option<Option<Rate>> {
        let recent = self.state.as_ref().filter(|(_, heard)| now - *heard < self.state_lifetime());
        recent.map(|(state, _)| state.rate_limit)
    }

    /// The requests per second that the endpoint takes from all routers together, if it announces a limit.
    pub(crate) fn rate_limit(&self, now: Instant) -> Option<Rate> {
        self.limit_state.in_force(self.reported_limit(now), now)
    }

    /// Whether the end of the endpoint's rate limit would not be known without checks, because no loader reports it.
    fn needs_limit_checks(&self, now: Instant) -> bool {
        self.reported_limit(now).is_none() && self.rate_limit(now).is_some()
    }

    /// How long the endpoint gets no requests from this router because it asked for back-off, or because of its rate limit.
    pub(crate) fn pause_left(&self, now: Instant) -> Option<Duration> {
        self.backoff_left(now).max(self.limit_state.pause_left(self.rate_limit(now), now))
    }

    /// Logs the rate limit if it has changed, and returns whether it has. `source` is where it was read.
    pub(crate) fn log_rate_limit(&mut self, source: &str, now: Instant) -> bool {
        let limit = self.rate_limit(now);
        let before = std::mem::replace(&mut self.limit_state.logged, limit);
        if limit != before {
            emit(&Event::RateLimitChanged {
                endpoint: self.endpoint.id.as_str(),
                limit: limit.map(|rate| rate.0),
                before: before.map(|rate| rate.0),
                cause: source,
            });
        }
        limit != before
    }
}

impl EndpointRegistry {
    /// Applies what an endpoint's answer to a request that was sent at `asked_at` says of its rate limit. `same` tells whether the
    /// endpoint listed now is the one that answered.
    pub(crate) fn apply_rate_limit(
        &self,
        id: &EndpointId,
        hint: RateLimitHint,
        asked_at: Instant,
        same: impl Fn(&TrackedEndpoint) -> bool,
    ) {
        let now = Instant::now();
        let mut table = self.lock();
        let Some(tracked) = table.map.get_mut(id).filter(|tracked| same(tracked)) else { return };
        if hint == RateLimitHint::Invalid && !tracked.limit_state.invalid {
            let limit = tracked.rate_limit(now).map(|rate| rate.0);
            let cause = "the announced limit is not a decimal number";
            emit(&Event::RateLimitChanged { endpoint: id.as_str(), limit, before: limit, cause });
        }
        tracked.limit_state.apply(hint, asked_at, now);
        let changed = tracked.log_rate_limit("its answer", now);
        drop(table);
        if changed {
            self.changed.notify_waiters();
        }
    }

    /// Sends an incarnation of an endpoint no requests for this time, because `limit` is used up.
    pub(crate) fn pause_for_rate_limit(
        &self,
        id: &EndpointId,
        incarnation: Option<EndpointIncarnation>,
        limit: Rate,
        pause: Duration,
    ) {
        if let Some(tracked) = self.lock().map.get_mut(id)
            && tracked.same_incarnation(incarnation)
        {
            tracked.limit_state.pause = Some((limit, Instant::now() + pause));
        }
    }

    /// Whether a task is to be started that checks whether an endpoint still announces a rate limit.
    pub(crate) fn begin_limit_checks(&self, id: &EndpointId) -> bool {
        let mut table = self.lock();
        let Some(tracked) = table.map.get_mut(id) else { return false };
        tracked.needs_limit_checks(Instant::now())
            && !std::mem::replace(&mut tracked.limit_state.checking, true)
    }

    /// Whether the checks of a rate limit go on. Once they don't, others may begin.
    pub(crate) fn continue_limit_checks(&self, id: &EndpointId) -> bool {
        let mut table = self.lock();
        let Some(tracked) = table.map.get_mut(id) else { return false };
        let needed = tracked.needs_limit_checks(Instant::now());
        tracked.limit_state.checking = needed;
        needed
    }
}

impl EndpointTable {
    /// Whether all endpoints of a service that accept requests and run the required software announce a rate limit.
    pub(crate) fn all_rate_limited(
        &self,
        service: &ServiceName,
        required: Option<RequiredSoftware<'_>>,
        now: Instant,
    ) -> bool {
        let all = self.map.values().filter(|tracked| tracked.endpoint.service == *service);
        let mut accepting = all.filter(|tracked| tracked.accepts_work() && tracked.meets(required));
        accepting.all(|tracked| tracked.rate_limit(now).is_some())
    }
}

#[cfg(test)]
mod tests;
