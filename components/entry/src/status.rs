//! What operators see of an entry at `/status`.

use serde::Serialize;
use state::Summary;
use units::{EndpointId, InstanceId, ModelName, Offset, Revision};

use crate::candidate::candidates;
use crate::core::Core;

#[derive(Debug, Serialize)]
struct Status {
    revision: Revision,
    offset: Offset,
    planner: Option<InstanceId>,
    log_up: bool,
    state: Summary,
    in_flight: u32,
    links: usize,
    ejected: usize,
    routes: Vec<RouteStatus>,
}

#[derive(Debug, Serialize)]
struct RouteStatus {
    model: ModelName,
    awake: u32,
    endpoints: Vec<EndpointId>,
}

impl Core {
    /// The status as JSON.
    pub fn status(&self) -> serde_json::Value {
        let status = self.journal.read(|state| Status {
            revision: state.revision(),
            offset: state.offset(),
            planner: state.lease().holder.clone(),
            log_up: self.journal.log_up(),
            state: state.summary(),
            in_flight: self.limits.in_flight(),
            links: self.links.count(),
            ejected: self.breakers.ejected(),
            routes: self.routes(state),
        });
        serde_json::to_value(status).unwrap_or_default()
    }

    fn routes(&self, state: &state::State) -> Vec<RouteStatus> {
        let leaves = state.tree().leaves().iter().filter(|leaf| leaf.adapter.is_none());
        let routes = leaves.map(|leaf| {
            let all = candidates(state, leaf);
            let endpoints: Vec<EndpointId> = all.into_iter().map(|one| one.endpoint).collect();
            RouteStatus {
                awake: self.loads.awake(&leaf.model, &endpoints),
                model: leaf.model.clone(),
                endpoints,
            }
        });
        routes.collect()
    }
}
