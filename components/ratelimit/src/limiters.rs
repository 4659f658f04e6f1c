//! The limiters of several endpoints.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;
use units::{EndpointId, EndpointIncarnation, Rate};

use crate::{Grant, Limiter};

/// A limiter that has not been used for this long is removed.
const MAX_IDLE: Duration = Duration::from_secs(60);
/// The most endpoints with a limiter. Requests to further ones are refused.
const MAX_LIMITERS: usize = 1_024;
/// When a request to an endpoint that gets no limiter may be retried.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A limiter for each endpoint that announces a limit, in its present incarnation.
#[derive(Debug, Default)]
pub struct Limiters {
    limiters: HashMap<EndpointId, (Option<EndpointIncarnation>, Limiter)>,
}

impl Limiters {
    /// Schedules a request to an endpoint within `max_wait`, or refuses it.
    pub fn acquire(
        &mut self,
        id: &EndpointId,
        incarnation: Option<EndpointIncarnation>,
        limit: Rate,
        max_wait: Duration,
        now: Instant,
    ) -> Grant {
        if !self.limiters.contains_key(id) {
            self.limiters.retain(|_, (_, limiter)| now - limiter.last_used() < MAX_IDLE);
            if self.limiters.len() >= MAX_LIMITERS {
                return Grant::Refused(FULL_RETRY_AFTER);
            }
        }
        let fresh = || (incarnation, Limiter::new(now));
        let (known, limiter) = self.limiters.entry(id.clone()).or_insert_with(fresh);
        if EndpointIncarnation::differ(*known, incarnation) && incarnation > *known {
            // Requests that were scheduled for the earlier incarnation don't count for this one.
            (*known, *limiter) = fresh();
        }
        limiter.acquire(limit, max_wait, now)
    }
}
