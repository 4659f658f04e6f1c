//! Ejecting endpoints that fail fast, with one probe before they come back.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;
use units::EndpointId;

/// Failures in a row that eject an endpoint.
const TRIP: u32 = 3;
/// The first ejection's length; each further one is twice as long.
const FIRST: Duration = Duration::from_secs(1);
/// The longest ejection.
const LONGEST: Duration = Duration::from_secs(30);

/// How long an endpoint waits for a probe that may be repeated.
const OVERDUE: Duration = Duration::from_secs(5);

/// Whether an endpoint may get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It may.
    Closed,
    /// Its ejection is over; it may get one request that may be repeated as a probe.
    Probe,
    /// No such request has come; it may get any.
    Overdue,
    /// It is ejected.
    Open,
}

/// The endpoints with failures.
#[derive(Debug, Default)]
pub(crate) struct Breakers {
    failing: Mutex<HashMap<EndpointId, Failing>>,
}

#[derive(Debug)]
struct Failing {
    streak: u32,
    until: Option<Instant>,
    length: Duration,
    probing: Option<Instant>,
}

impl Breakers {
    /// Whether the endpoint may get a request now.
    pub(crate) fn admission(&self, endpoint: &EndpointId) -> Admission {
        let failing = self.failing.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(entry) = failing.get(endpoint) else { return Admission::Closed };
        let Some(until) = entry.until else { return Admission::Closed };
        let now = Instant::now();
        let probed = entry.probing.is_some_and(|since| now < since + LONGEST);
        if now < until || probed {
            Admission::Open
        } else if now < until + OVERDUE {
            Admission::Probe
        } else {
            Admission::Overdue
        }
    }

    /// Notes that a request goes to the endpoint; after an ejection it is the probe.
    pub(crate) fn note_sent(&self, endpoint: &EndpointId) {
        let mut failing = self.failing.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(entry) = failing.get_mut(endpoint) else { return };
        if entry.until.is_some_and(|until| Instant::now() >= until) {
            entry.probing = Some(Instant::now());
        }
    }

    /// Notes that the endpoint works.
    pub(crate) fn note_success(&self, endpoint: &EndpointId) {
        self.failing.lock().unwrap_or_else(PoisonError::into_inner).remove(endpoint);
    }

    /// Notes a failure; true if it ejects the endpoint.
    pub(crate) fn note_failure(&self, endpoint: &EndpointId) -> bool {
        let mut failing = self.failing.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = failing.entry(endpoint.clone()).or_insert(Failing {
            streak: 0,
            until: None,
            length: FIRST,
            probing: None,
        });
        entry.streak += 1;
        let now = Instant::now();
        let over = entry.until.is_some_and(|until| now >= until);
        if entry.until.is_none() && entry.streak < TRIP || entry.until.is_some() && !over {
            return false;
        }
        if over {
            entry.length = (entry.length * 2).min(LONGEST);
        }
        entry.until = Some(now + entry.length);
        entry.probing = None;
        true
    }

    /// Forgets endpoints that are no longer members.
    pub(crate) fn retain(&self, keep: impl Fn(&EndpointId) -> bool) {
        let mut failing = self.failing.lock().unwrap_or_else(PoisonError::into_inner);
        failing.retain(|endpoint, _| keep(endpoint));
    }

    /// The endpoints that are ejected now.
    pub(crate) fn ejected(&self) -> usize {
        let failing = self.failing.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        failing.values().filter(|entry| entry.until.is_some_and(|until| now < until)).count()
    }
}

#[cfg(test)]
mod tests;
