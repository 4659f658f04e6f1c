//! Requests that only endpoints with one version of the software may serve, since they continue a stream that it began.
//!
//! Load pattern: a release replaces the endpoints of a service, so that two versions serve side by side, and the streams of a
//! failure domain break. Hundreds of callers take theirs up again within a second. Their demand is for the version that began
//! the streams: an endpoint of another version can't serve it, however idle it is, and must not load models for it.

use std::collections::HashMap;

use fleet::Endpoint;
use placement::Arrivals;
use tokio::time::Instant;
use units::{ModelName, ServiceName, SoftwareVersion};

use crate::endpoint::TrackedEndpoint;
use crate::registry::EndpointTable;

/// From this number of models on, those that no request has asked for lately are forgotten.
const MAX_BOUND_MODELS: usize = 256;
/// Requests per second below which a model counts as not asked for.
const MIN_REQUEST_RATE: f64 = 0.01;

/// The software that an endpoint must run to serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequiredSoftware<'a> {
    /// The service: versions of different services have nothing in common.
    pub(crate) service: &'a ServiceName,
    pub(crate) version: &'a SoftwareVersion,
}

impl RequiredSoftware<'_> {
    /// Whether an endpoint runs this software.
    pub(crate) fn is_met_by(self, endpoint: &Endpoint) -> bool {
        endpoint.service == *self.service && endpoint.software.as_ref() == Some(self.version)
    }
}

impl TrackedEndpoint {
    /// Whether the endpoint runs the required software, if any is required.
    pub(crate) fn meets(&self, required: Option<RequiredSoftware<'_>>) -> bool {
        required.is_none_or(|required| required.is_met_by(&self.endpoint))
    }
}

/// A model at the endpoints with one version of the software.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct BoundModel {
    service: ServiceName,
    version: SoftwareVersion,
    model: ModelName,
}

impl BoundModel {
    fn new(required: RequiredSoftware<'_>, model: &ModelName) -> Self {
        let RequiredSoftware { service, version } = required;
        Self { service: service.clone(), version: version.clone(), model: model.clone() }
    }
}

/// The requests for a model that only one version may serve.
#[derive(Debug, Clone, Copy, Default)]
struct BoundDemand {
    waiting: u32,
    arrivals: Arrivals,
}

/// The requests that only one version may serve, by model.
#[derive(Debug, Default)]
pub(crate) struct BoundDemands(HashMap<BoundModel, BoundDemand>);

impl BoundDemands {
    fn get(&self, required: RequiredSoftware<'_>, model: &ModelName) -> BoundDemand {
        if self.0.is_empty() {
            return BoundDemand::default();
        }
        self.0.get(&BoundModel::new(required, model)).copied().unwrap_or_default()
    }

    fn entry(&mut self, key: BoundModel, now: Instant) -> &mut BoundDemand {
        if self.0.len() >= MAX_BOUND_MODELS && !self.0.contains_key(&key) {
            self.0.retain(|_, demand| {
                demand.waiting > 0 || demand.arrivals.request_rate(now) >= MIN_REQUEST_RATE
            });
        }
        self.0.entry(key).or_default()
    }
}

/// The requests for a model that one kind of request adds to: those that any endpoint may serve, or those of one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WaitingFor {
    /// The model at any endpoint.
    Any(ModelName),
    /// The model at the endpoints of one version.
    Version(BoundModel),
}

impl WaitingFor {
    pub(crate) fn new(model: &ModelName, required: Option<RequiredSoftware<'_>>) -> Self {
        match required {
            Some(required) => Self::Version(BoundModel::new(required, model)),
            None => Self::Any(model.clone()),
        }
    }
}

impl EndpointTable {
    /// The required software, unless all endpoints that accept work run it: then the request is like any other.
    pub(crate) fn restricting<'a>(
        &self,
        required: Option<RequiredSoftware<'a>>,
    ) -> Option<RequiredSoftware<'a>> {
        required.filter(|required| {
            let service = self.map.values().filter(|one| one.endpoint.service == *required.service);
            let mut accepting = service.filter(|one| one.accepts_work());
            accepting.any(|one| !required.is_met_by(&one.endpoint))
        })
    }

    /// Whether an endpoint may turn out to run the required software: its loader has reported a restart that the list does not
    /// show yet.
    pub(crate) fn may_meet_soon(&self, required: RequiredSoftware<'_>) -> bool {
        let service = self.map.values().filter(|one| one.endpoint.service == *required.service);
        service.filter(|one| one.accepts_work()).any(TrackedEndpoint::awaits_software)
    }

    /// Counts a request that arrives for a model.
    pub(crate) fn record_arrival(
        &mut self,
        model: &ModelName,
        required: Option<RequiredSoftware<'_>>,
        tokens: u32,
        now: Instant,
    ) {
        match self.restricting(required) {
            None => self.demand(model).record_arrival(tokens, now),
            Some(required) => {
                let key = BoundModel::new(required, model);
                self.bound.entry(key, now).arrivals.record(tokens, now);
            }
        }
    }

    /// Counts a request that waits for a model, until [`Self::end_waiting`].
    pub(crate) fn begin_waiting(&mut self, target: &WaitingFor, now: Instant) {
        match target {
            WaitingFor::Any(model) => *self.waiting.entry(model.clone()).or_default() += 1,
            WaitingFor::Version(key) => self.bound.entry(key.clone(), now).waiting += 1,
        }
    }

    /// Counts a waiting request less.
    pub(crate) fn end_waiting(&mut self, target: &WaitingFor) {
        match target {
            WaitingFor::Any(model) => {
                let Some(count) = self.waiting.get_mut(model) else { return };
                *count -= 1;
                if *count == 0 {
                    self.waiting.remove(model);
                }
            }
            WaitingFor::Version(key) => {
                if let Some(demand) = self.bound.0.get_mut(key) {
                    demand.waiting = demand.waiting.saturating_sub(1);
                }
            }
        }
    }

    /// The number of requests that wait for a model: those that any endpoint may serve, or those of the required software.
    pub(crate) fn waiting_for(
        &self,
        model: &ModelName,
        required: Option<RequiredSoftware<'_>>,
    ) -> u32 {
        match required {
            None => self.waiting.get(model).copied().unwrap_or(0),
            Some(required) => self.bound.get(required, model).waiting,
        }
    }

    /// The number of waiting requests that an endpoint may serve once it has a model.
    pub(crate) fn waiting_at(&self, endpoint: &Endpoint, model: &ModelName) -> u32 {
        self.waiting_for(model, None) + self.bound_at(endpoint, model).waiting
    }

    /// The requests per second that a load of a model at an endpoint would serve. A load for requests that only its version may
    /// serve doesn't count the others while these are served elsewhere.
    pub(crate) fn request_rate_at(
        &self,
        endpoint: &Endpoint,
        model: &ModelName,
        bound: bool,
        now: Instant,
    ) -> f64 {
        let others = !bound || self.waiting_for(model, None) > 0;
        let any = if others { self.request_rate(model, now) } else { 0.0 };
        any + self.bound_at(endpoint, model).arrivals.request_rate(now)
    }

    /// Arrivals of requests for a model that only the required software may serve.
    pub(crate) fn bound_arrivals(
        &self,
        model: &ModelName,
        required: RequiredSoftware<'_>,
    ) -> Arrivals {
        self.bound.get(required, model).arrivals
    }

    fn bound_at(&self, endpoint: &Endpoint, model: &ModelName) -> BoundDemand {
        let Some(version) = &endpoint.software else { return BoundDemand::default() };
        self.bound.get(RequiredSoftware { service: &endpoint.service, version }, model)
    }
}

#[cfg(test)]
pub(crate) mod fixture;
#[cfg(test)]
mod tests;
