//! What the controller remembers for the decisions about room.

use catalog::ModelId;
use control::{EnsureRequest, ModelUse};
use events::{Event, RoomCause, emit};
use platform::Operation;
use tokio::time::{Duration, Instant};
use units::ModelName;

use crate::controller::Controller;
use crate::room::{self, MAX_ROOM_WAIT, RoomGrant};

impl Controller {
    /// Records the waiting requests that a router describes. A router that has waiting requests and describes none has
    /// no wait queues any more.
    pub(super) fn record_queue(&mut self, ensure: &mut EnsureRequest, now: Instant) {
        let rooms = &mut self.view.rooms;
        rooms.promises.remove(&ensure.target.model);
        match ensure.queue.take() {
            Some(summary) => rooms.queues.record(&ensure.target, &ensure.router, summary, now),
            None if ensure.waiting > 0 => rooms.queues.remove(&ensure.target, &ensure.router),
            None => {}
        }
    }

    /// Records that a router has sent requests to a loaded model: those that it described don't wait any more.
    pub(super) fn record_use(&mut self, router: &str, model_use: &ModelUse) {
        let report = self.view.report.as_ref();
        let held = report.is_some_and(|r| r.models.iter().any(|h| h.model == model_use.model));
        if !held {
            return;
        }
        if model_use.begun > 0 || model_use.running > 0 {
            self.view.rooms.residences.record_use(&model_use.model);
        }
        if model_use.begun > 0 {
            self.view.rooms.queues.remove_all(&model_use.model, router);
        }
    }

    /// Adopts the loaded models of the endpoint's report.
    pub(super) fn update_residences(&mut self) {
        let models = self.view.report.iter().flat_map(|report| &report.models);
        let held = models.map(|held| &held.model);
        self.view.rooms.residences.update(held, Instant::now());
    }

    /// Records the time that refused routers were told, to keep the room for them.
    pub(super) fn record_refusal(&mut self, id: &ModelId, after: Duration, now: Instant) {
        let loaded = self.view.holds(&ModelId { model: id.model.clone(), adapter: None });
        let promised = after < MAX_ROOM_WAIT && !self.draining && !loaded;
        if promised && room::is_queued(&self.view, &id.model, now) {
            self.view.rooms.promises.record(&id.model, now + after);
        }
    }

    /// Records an order that the endpoint has accepted: an unload makes room for the next load, which counts for the
    /// workspaces that wait for it.
    pub(super) fn record_order(&mut self, operation: Operation, target: &ModelId, now: Instant) {
        if target.adapter.is_some() {
            return;
        }
        match operation {
            Operation::Unload => self.view.rooms.evicted = Some(target.model.clone()),
            Operation::Load => {
                let evicted = self.view.rooms.evicted.take();
                let Some(grant) = room::grant(&self.view, &target.model, now) else { return };
                log_grant(&target.model, evicted.as_ref(), &grant);
                self.view.rooms.loads.record(grant.workspaces, now);
            }
        }
    }
}

fn log_grant(model: &ModelName, evicted: Option<&ModelName>, grant: &RoomGrant) {
    let workspaces: Vec<&str> = grant.workspaces.iter().map(|name| name.as_str()).collect();
    emit(&Event::RoomGiven {
        model: model.as_str(),
        evicted: evicted.map_or("", |model| model.as_str()),
        waiting: grant.waiting,
        workspaces: &workspaces.join(","),
        cause: if grant.urgent { RoomCause::Deadline } else { RoomCause::Requests },
    });
}

#[cfg(test)]
mod tests;
