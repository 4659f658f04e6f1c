//! The state that a loader publishes to the routers.

use control::{EndpointLoad, StepTime};
use events::{Event, emit};
use fleet::{Holdings, Loading, Tier, WeightCopies};
use platform::Operation;
use speed::Step;
use tokio::time::Instant;
use units::ModelName;

use crate::controller::Controller;
use crate::{plan, rates};

/// The time between events of a model, as it is published.
fn step_time((model, step): (&ModelName, &Step)) -> StepTime {
    StepTime::new(model.clone(), *step)
}

impl Controller {
    /// Updates the published state; its version increases if anything but the load has changed.
    pub(super) fn publish(&mut self) {
        let now = Instant::now();
        let steps_changed = self.view.steps.publish(self.view.active_routers(), now);
        let report = self.view.report.as_ref();
        let pending = self.pending.as_ref().filter(|pending| pending.target.adapter.is_none());
        let loading = pending.filter(|p| p.operation == Operation::Load).map(|p| Loading {
            model: p.target.model.clone(),
            cold: p.tier == Tier::Store,
            remaining: (p.since + p.expected).saturating_duration_since(now),
        });
        let evicted =
            pending.filter(|p| p.operation == Operation::Unload).map(|p| p.target.model.clone());
        let evicted =
            evicted.or(self.view.eviction.as_ref().map(|eviction| eviction.model.clone()));
        let (running, room_wait) = (self.view.total_running(), plan::room_wait(&self.view, now));
        // Most calls publish nothing, so that nothing is copied before it is known to have changed.
        let no_copies = WeightCopies::default();
        let models = report.map_or(&[][..], |report| &report.models);
        let copies = report.map_or(&no_copies, |report| &report.copies);
        let awaited =
            self.view.requested.values().filter(|requested| requested.total_waiting() > 0).count();
        let waiting = u32::try_from(awaited).unwrap_or(u32::MAX);
        let draining = report.is_some_and(|report| report.draining);
        let rate_limit = self.rate_limit;
        let can_order = report.is_some()
            && !draining
            && self.token.start.borrow().is_some()
            && self.view.engine.is_some();
        let current_rates = || self.view.shared_rates(now).into_iter();
        let interval = rates::publication_interval(self.view.active_routers());
        let rates_due = self.published.is_none_or(|at| now - at >= interval);
        let changed = self.state.send_if_modified(|state| {
            let same = state.holdings.models == models
                && state.holdings.evicting.iter().eq(&evicted)
                && state.holdings.copies == *copies
                && state.holdings.loading.as_ref().map(|l| &l.model)
                    == loading.as_ref().map(|l| &l.model)
                && state.can_order == can_order
                && state.draining == draining
                && state.rate_limit == rate_limit
                && state.room_wait == room_wait
                && state.engine_version == self.engine_version
                && state.endpoint == self.endpoint
                && state.incarnation == self.incarnation;
            state.load = EndpointLoad { waiting, running, routers: self.view.active_routers() };
            let rates_moved = rates_due && rates::moved(current_rates(), &state.rates);
            if same && !steps_changed && !rates_moved {
                return false;
            }
            state.version += 1;
            state.steps = self.view.steps.published().iter().map(step_time).collect();
            state.rates = rates::rounded(current_rates(), &state.rates);
            if same {
                return true;
            }
            state.holdings = Holdings {
                models: models.to_vec(),
                copies: copies.clone(),
                loading,
                evicting: evicted.into_iter().collect(),
            };
            state.can_order = can_order;
            state.draining = draining;
            state.rate_limit = rate_limit;
            state.room_wait = room_wait;
            state.engine_version = self.engine_version;
            state.endpoint = self.endpoint.clone();
            state.incarnation = self.incarnation;
            emit(&Event::HoldingsChanged {
                endpoint: state.endpoint.as_ref().map_or("", |id| id.as_str()),
                models: state.holdings.models.len(),
                memory: state.holdings.copies.memory.len(),
                disk: state.holdings.copies.disk.len(),
                loading: state.holdings.loading.as_ref().map_or("", |l| l.model.as_str()),
                version: state.version,
            });
            true
        });
        if changed {
            self.published = Some(now);
        }
    }
}

#[cfg(test)]
mod tests;
