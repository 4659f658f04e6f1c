//! Even use of replicas whose endpoints differ in speed: passes what the router knows to the decisions of `placement`.

use std::time::Duration;

use catalog::{Engine, ModelId};
use placement::{
    Candidate, CapacityBounds, ChosenEndpoint, LoadSource, LoadTarget, ReplicaRequest,
    ReplicaStatus,
};
use tokio::time::Instant;
use units::{Domain, ModelName};

use crate::choose::RequestNeeds;
use crate::endpoint::TrackedEndpoint;
use crate::registry::EndpointTable;
use crate::software::RequiredSoftware;

/// Chooses the best endpoint that can serve a request now; `prefill` is the time that the median endpoint takes for its
/// prompt, `local` the router's failure domain.
pub(crate) fn choose_endpoint(
    table: &EndpointTable,
    candidates: &[Candidate<'_>],
    needs: &RequestNeeds<'_>,
    prefill: Duration,
    local: &Domain,
) -> Option<ChosenEndpoint> {
    let Some(id) = needs.model else {
        return placement::choose_endpoint(candidates, None, prefill, local);
    };
    // Not computed where it has no effect.
    let by_capacity = placement::by_capacity(candidates);
    let required = table.restricting(needs.required_software());
    let rate = if by_capacity {
        table.total_request_rate(&id.model, required, Instant::now())
    } else {
        0.0
    };
    let (target, seed) = (needs.first_event_target, rand::random());
    let request = ReplicaRequest { id, prefill, target, rate, seed };
    placement::choose_replica(candidates, &request, local)
}

/// Chooses one more endpoint to load the model of a request, if the replicas are too few or too slow.
pub(crate) fn scale_out(
    candidates: &[Candidate<'_>],
    engine: &Engine,
    replicas: &ReplicaStatus<'_>,
    needs: &RequestNeeds<'_>,
    prefill: Duration,
) -> Option<LoadTarget> {
    let bounds = CapacityBounds { max_pause: needs.max_pause, prefill };
    placement::scale_out_by_capacity(candidates, engine, replicas, bounds)
}

/// Chooses at most `max` of the endpoints to load the model of a request on at once, the best first.
pub(crate) fn choose_load_targets(
    candidates: &[Candidate<'_>],
    (model, engine): (&ModelId, &Engine),
    needs: &RequestNeeds<'_>,
    prefill: Duration,
    max: usize,
) -> Vec<LoadTarget> {
    let choose = match placement::needs_fast_endpoint(candidates, prefill, needs.first_event_target)
    {
        true => placement::choose_fast_load_targets,
        false => placement::choose_load_targets,
    };
    choose(candidates, model, engine, LoadSource::CopiesOrStore, max)
}

impl TrackedEndpoint {
    /// Whether requests go to the endpoint by its capacity.
    pub(crate) fn by_capacity(&self) -> bool {
        self.speed.balanced()
    }

    /// The rate of requests for a model at all routers, per second, as the loader reports it if the endpoint holds the
    /// model.
    fn reported_rate(&self, model: &ModelName, now: Instant) -> Option<f64> {
        let (state, heard) = self.state.as_ref()?;
        let rate = state.rates.iter().find(|rate| rate.model == *model)?;
        let recent = now - *heard < self.state_lifetime();
        (recent && state.holdings.holds(model)).then_some(rate.per_s)
    }
}

impl EndpointTable {
    /// The rate of requests for a model at all routers, per second, as the loaders of its holders report it; 0 if none
    /// does. Only endpoints count to which requests go by capacity, since other routers may have asked for the rates.
    pub(crate) fn reported_rate(&self, model: &ModelName, now: Instant) -> f64 {
        let rates = self.map.values().filter_map(|tracked| {
            let rate = tracked.reported_rate(model, now)?;
            tracked.by_capacity().then_some(rate)
        });
        rates.sum()
    }

    /// The same, or what this router extrapolates from its own requests if that is more; with those that only the required
    /// software may serve, if any is required.
    fn total_request_rate(
        &self,
        model: &ModelName,
        required: Option<RequiredSoftware<'_>>,
        now: Instant,
    ) -> f64 {
        let demand = self.known_demand(model).unwrap_or_default();
        let rate = demand.total_request_rate(self.routers(), self.reported_rate(model, now), now);
        let bound = required.map(|required| self.bound_arrivals(model, required));
        let bound = bound.map(|arrivals| demand.with_arrivals(arrivals));
        rate + bound.map_or(0.0, |bound| bound.total_request_rate(self.routers(), 0.0, now))
    }
}

#[cfg(test)]
mod tests;
