//! The controller's permit to load from the weight store.

use fleet::Tier;
use platform::Operation;

use crate::controller::{Controller, IDLE_INTERVAL, PendingOrder};
use crate::permit::{self, PermitCommand, PermitRequest};
use crate::plan;

impl Controller {
    /// Requests a permit for the model to load from the weight store next, if that has changed, and updates which model
    /// has the permit.
    pub(super) fn update_permit(&mut self) {
        let request = plan::next_store_load(&self.view).map(|(model, demand)| {
            let spec = self.view.engine.as_ref().and_then(|engine| engine.model(model));
            let solo_time = spec.map_or(IDLE_INTERVAL, |spec| spec.store_load);
            let software = plan::required_software(&self.view, model).cloned();
            PermitRequest { model: model.clone(), demand, solo_time, software }
        });
        let same = match (&self.permit_request, &request) {
            (Some(before), Some(request)) => {
                before.model == request.model
                    && before.software == request.software
                    && request.demand <= permit::renewal_threshold(before.demand)
            }
            (before, request) => before.is_none() && request.is_none(),
        };
        if !same {
            let command =
                request.clone().map_or(PermitCommand::Release(None), PermitCommand::Request);
            self.send_permit_command(command);
            self.permit_request = request;
        }
        let granted = self.permit.granted.borrow_and_update().clone();
        self.view.permit = granted.filter(|_| self.permit_request.is_some());
    }

    /// Releases the permit after a load from the weight store, with the time that the load took if the model is there.
    pub(super) fn release_permit(&mut self, ended: &PendingOrder) {
        if ended.operation != Operation::Load || ended.tier != Tier::Store {
            return;
        }
        let took = ended.since.elapsed();
        let completed = self.view.holds(&ended.target).then_some(took);
        self.permit_request = None;
        self.view.permit = None;
        self.send_permit_command(PermitCommand::Release(completed));
    }

    fn send_permit_command(&self, command: PermitCommand) {
        if self.permit.commands.send(command).is_err() {
            log::warn!("loader: the task that requests load permits has ended");
        }
    }
}
