//! Restarts of endpoints with their software, against which recorded origins are checked.
//!
//! Load pattern: an endpoint restarts under its id with other software. Routers whose list is older than the restart record its
//! streams with the version before, and may tell of them after the endpoint has restarted again or left.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;
use units::{EndpointId, SoftwareVersion};

use crate::{LIST_LAG, MAX_KEEP, StreamOrigin};

/// The most restarts that are remembered, of all endpoints. The oldest one is dropped first.
const MAX_TOTAL: usize = 4_096;
/// The most restarts of one endpoint that are remembered.
const MAX_RESTARTS: usize = 8;
/// How long a restart is remembered: as long as any origin that it may contradict.
const RESTART_MEMORY: Duration = MAX_KEEP;

/// The restarts of endpoints that one process has seen.
#[derive(Debug, Default)]
pub(crate) struct Restarts {
    endpoints: HashMap<EndpointId, Vec<Restart>>,
    /// All of them, in the order in which they became known.
    order: VecDeque<Known>,
}

#[derive(Debug)]
struct Known {
    at: Instant,
    endpoint: EndpointId,
    since: Instant,
}

#[derive(Debug)]
struct Restart {
    since: Instant,
    software: SoftwareVersion,
}

impl Restarts {
    /// Remembers that an incarnation of an endpoint, first seen at `since`, runs this software. Returns whether that is new.
    pub(crate) fn record(
        &mut self,
        endpoint: &EndpointId,
        software: &SoftwareVersion,
        since: Instant,
        now: Instant,
    ) -> bool {
        self.drop_old(now);
        let restarts = self.endpoints.entry(endpoint.clone()).or_default();
        if restarts.iter().any(|known| known.since == since) {
            return false;
        }
        let place = restarts.partition_point(|known| known.since < since);
        restarts.insert(place, Restart { since, software: software.clone() });
        if restarts.len() > MAX_RESTARTS {
            restarts.remove(0);
        }
        self.order.push_back(Known { at: now, endpoint: endpoint.clone(), since });
        true
    }

    /// Whether the endpoint may have run other software when the stream began: in an incarnation that had started by then, up to
    /// [`LIST_LAG`] before it was seen, and that the next one had not replaced.
    pub(crate) fn contradict(&self, origin: &StreamOrigin) -> bool {
        // An origin without a version is that of one incarnation, whatever it runs.
        let restarts = self.endpoints.get(&origin.endpoint).filter(|_| origin.software.is_some());
        let Some(restarts) = restarts else { return false };
        let ends = restarts.iter().skip(1).map(|next| Some(next.since)).chain([None]);
        restarts.iter().zip(ends).any(|(restart, end)| {
            Some(&restart.software) != origin.software.as_ref()
                && restart.since < origin.begun + LIST_LAG
                && end.is_none_or(|end| end > origin.begun)
        })
    }

    fn drop_old(&mut self, now: Instant) {
        let keeps = |known: &Known| now.saturating_duration_since(known.at) < RESTART_MEMORY;
        while self.order.len() >= MAX_TOTAL || self.order.front().is_some_and(|known| !keeps(known))
        {
            let Some(old) = self.order.pop_front() else { return };
            if let Some(restarts) = self.endpoints.get_mut(&old.endpoint) {
                restarts.retain(|restart| restart.since != old.since);
                if restarts.is_empty() {
                    self.endpoints.remove(&old.endpoint);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
