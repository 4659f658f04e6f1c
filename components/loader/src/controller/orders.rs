//! The orders that a controller gives, and their outcomes.

use catalog::ModelId;
use control::EnsureOutcome;
use events::{Event, OrderOutcome, emit, millis};
use fleet::Tier;
use platform::{Fence, Operation, Order, OrderReply, send_order};
use tokio::time::Instant;
use units::{EndpointId, FencingToken};

use crate::controller::{
    Controller, ENDPOINT_TIMEOUT, IDLE_INTERVAL, ORDER_INTERVAL, PendingOrder, RETRY_DELAY,
};

impl Controller {
    /// Gives an order, and handles the endpoint's answer.
    pub(super) async fn order(
        &mut self,
        operation: Operation,
        target: ModelId,
        token: FencingToken,
        endpoint: EndpointId,
    ) {
        let sequence = self.view.report.as_ref().map(|report| report.sequence);
        let fence = Fence { holder: self.instance.clone(), token };
        let order = Order { endpoint: &endpoint, operation, target: &target, sequence };
        self.pending = Some(self.pending_order(operation, &target));
        self.publish();
        let called = send_order(&self.client, self.addr, &fence, &order, ENDPOINT_TIMEOUT).await;
        let reply = called.map(|(reply, hints)| {
            self.record_draining(hints.draining);
            reply
        });
        let outcome = match &reply {
            Ok(OrderReply::Accepted) => OrderOutcome::Accepted,
            Ok(OrderReply::AlreadyDone) => OrderOutcome::Done,
            Ok(OrderReply::Busy) => OrderOutcome::Busy,
            Ok(OrderReply::Fenced) => OrderOutcome::Fenced,
            Ok(OrderReply::OtherInstance(_)) => OrderOutcome::Other,
            Ok(OrderReply::Refused(_)) => OrderOutcome::Refused,
            Err(_) => OrderOutcome::Unknown,
        };
        emit(&Event::Order {
            endpoint: endpoint.as_str(),
            work: if operation == Operation::Load { "load" } else { "unload" },
            model: &target.to_string(),
            sequence: sequence.unwrap_or_default(),
            outcome,
        });
        match reply {
            Ok(OrderReply::Accepted | OrderReply::AlreadyDone) => {
                self.record_order(operation, &target, Instant::now());
            }
            Ok(OrderReply::Fenced) => {
                self.pending = None;
                self.paused_until = Some(Instant::now() + RETRY_DELAY);
                self.token.refused.notify_one();
            }
            Ok(OrderReply::OtherInstance(id)) => {
                self.pending = None;
                self.rejected_id = Some(endpoint);
                self.endpoint = id;
                self.draining = false;
                self.view.report = None;
            }
            Ok(OrderReply::Refused(_)) => {
                self.pending = None;
                self.answer(&target, EnsureOutcome::Refused(IDLE_INTERVAL));
            }
            // The next report shows whether the order was carried out. If it arrives late, the endpoint rejects it,
            // since its sequence number has changed.
            Ok(OrderReply::Busy) | Err(_) => {
                self.pending = None;
                self.paused_until = Some(Instant::now() + RETRY_DELAY);
            }
        }
    }

    /// Records whether the endpoint's answer to an order says that it is draining.
    fn record_draining(&mut self, draining: bool) {
        self.draining |= draining;
        if let Some(report) = &mut self.view.report {
            report.draining = self.draining;
        }
    }

    /// Handles the end of an order: releases the permit, and logs a load if the model is there.
    pub(super) fn finish_order(&mut self, ended: &PendingOrder) {
        self.release_permit(ended);
        let Some(endpoint) = self.endpoint.as_ref().filter(|_| ended.operation == Operation::Load)
        else {
            return;
        };
        if self.view.holds(&ended.target) {
            if ended.target.adapter.is_none() {
                let (now, took) = (Instant::now(), ended.since.elapsed());
                self.view.rooms.residences.record_load(&ended.target.model, took, now);
            }
            emit(&Event::Loaded {
                endpoint: endpoint.as_str(),
                model: &ended.target.to_string(),
                tier: ended.tier,
                took_ms: millis(ended.since.elapsed()),
                expect_ms: millis(ended.expected),
            });
        }
    }

    /// Describes an order that is given now, with its expected duration.
    fn pending_order(&self, operation: Operation, target: &ModelId) -> PendingOrder {
        let spec = self.view.engine.as_ref().and_then(|engine| engine.model(&target.model));
        let copies = self.view.report.as_ref().map(|report| &report.copies);
        let tier = match &target.adapter {
            Some(_) => Tier::Adapter,
            None => copies.map_or(Tier::Store, |copies| copies.tier(&target.model)),
        };
        let expected = match operation {
            Operation::Load => spec.map_or(ORDER_INTERVAL, |spec| tier.load_time(spec)),
            Operation::Unload => ORDER_INTERVAL,
        };
        PendingOrder { operation, target: target.clone(), tier, since: Instant::now(), expected }
    }
}
