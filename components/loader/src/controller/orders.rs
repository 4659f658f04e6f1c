//! The orders that a controller gives, and their outcomes.

use catalog::ModelId;
use control::Verdict;
use events::{Event, Given, emit, millis};
use fleet::Tier;
use platform::{Fence, Order, Outcome, Work, call_order};
use tokio::time::Instant;
use units::{EndpointId, FencingToken};

use crate::controller::{
    Controller, ENDPOINT_TIMEOUT, IDLE_INTERVAL, ORDER_INTERVAL, PendingOrder, RETRY_DELAY,
};

impl Controller {
    /// Gives an order, and handles the endpoint's answer.
    pub(super) async fn order(
        &mut self,
        work: Work,
        target: ModelId,
        token: FencingToken,
        endpoint: EndpointId,
    ) {
        let sequence = self.view.report.as_ref().map(|report| report.sequence);
        let fence = Fence { holder: self.instance.clone(), token };
        let order = Order { endpoint: &endpoint, work, target: &target, sequence };
        self.pending = Some(self.pending_order(work, &target));
        self.publish();
        let called = call_order(&self.client, self.addr, &fence, &order, ENDPOINT_TIMEOUT).await;
        let outcome = called.map(|(outcome, notice)| {
            self.record_draining(notice.leaving);
            outcome
        });
        let given = match &outcome {
            Ok(Outcome::Accepted) => Given::Accepted,
            Ok(Outcome::Done) => Given::Done,
            Ok(Outcome::Busy) => Given::Busy,
            Ok(Outcome::Fenced) => Given::Fenced,
            Ok(Outcome::Other(_)) => Given::Other,
            Ok(Outcome::Refused(_)) => Given::Refused,
            Err(_) => Given::Unknown,
        };
        emit(&Event::Order {
            endpoint: endpoint.as_str(),
            work: if work == Work::Load { "load" } else { "unload" },
            model: &target.to_string(),
            sequence: sequence.unwrap_or_default(),
            outcome: given,
        });
        match outcome {
            Ok(Outcome::Accepted | Outcome::Done) => {}
            Ok(Outcome::Fenced) => {
                self.pending = None;
                self.paused_until = Some(Instant::now() + RETRY_DELAY);
                self.token.refused.notify_one();
            }
            Ok(Outcome::Other(id)) => {
                self.pending = None;
                self.rejected_id = Some(endpoint);
                self.endpoint = id;
                self.draining = false;
                self.view.report = None;
            }
            Ok(Outcome::Refused(_)) => {
                self.pending = None;
                self.answer(&target, Verdict::Refused(IDLE_INTERVAL));
            }
            // The next report shows whether the order was carried out. If it arrives late, the endpoint rejects it,
            // since its sequence number has changed.
            Ok(Outcome::Busy) | Err(_) => {
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
        let Some(endpoint) = self.endpoint.as_ref().filter(|_| ended.work == Work::Load) else {
            return;
        };
        if self.view.holds(&ended.target) {
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
    fn pending_order(&self, work: Work, target: &ModelId) -> PendingOrder {
        let spec = self.view.engine.as_ref().and_then(|engine| engine.model(&target.model));
        let copies = self.view.report.as_ref().map(|report| &report.copies);
        let tier = match &target.adapter {
            Some(_) => Tier::Adapter,
            None => copies.map_or(Tier::Store, |copies| copies.tier(&target.model)),
        };
        let expected = match work {
            Work::Load => spec.map_or(ORDER_INTERVAL, |spec| tier.load(spec)),
            Work::Unload => ORDER_INTERVAL,
        };
        PendingOrder { work, target: target.clone(), tier, since: Instant::now(), expected }
    }
}
