//! The orders that a steward gives, and what becomes of them.

use catalog::ModelId;
use control::EnsureOutcome;
use events::{Event, OrderOutcome, emit, millis};
use fleet::Tier;
use platform::{Fence, Operation, Order, OrderReply, send_order};
use tokio::time::Instant;
use units::{EndpointId, FencingToken};

use crate::steward::{CALM, EAGER, PATIENCE, Pending, RETRY, Steward};

impl Steward {
    /// Gives an order, and takes note of the answer.
    pub(super) async fn order(
        &mut self,
        work: Operation,
        target: ModelId,
        token: FencingToken,
        endpoint: EndpointId,
    ) {
        let sequence = self.ledger.report.as_ref().map(|report| report.sequence);
        let fence = Fence { holder: self.instance.clone(), token };
        let order = Order { endpoint: &endpoint, operation: work, target: &target, sequence };
        self.pending = Some(self.expected(work, &target));
        self.publish();
        let called = send_order(&self.client, self.addr, &fence, &order, PATIENCE).await;
        let outcome = called.map(|(outcome, notice)| {
            self.note_leaving(notice.draining);
            outcome
        });
        let given = match &outcome {
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
            work: if work == Operation::Load { "load" } else { "unload" },
            model: &target.to_string(),
            sequence: sequence.unwrap_or_default(),
            outcome: given,
        });
        match outcome {
            Ok(OrderReply::Accepted | OrderReply::AlreadyDone) => {}
            Ok(OrderReply::Fenced) => {
                self.pending = None;
                self.pause = Some(Instant::now() + RETRY);
                self.token.fenced.notify_one();
            }
            Ok(OrderReply::OtherInstance(id)) => {
                self.pending = None;
                self.denied = Some(endpoint);
                self.endpoint = id;
                self.leaving = false;
                self.ledger.report = None;
            }
            Ok(OrderReply::Refused(_)) => {
                self.pending = None;
                self.answer(&target, EnsureOutcome::Refused(CALM));
            }
            // The report tells whether it was carried out; an order that comes late finds another sequence.
            Ok(OrderReply::Busy) | Err(_) => {
                self.pending = None;
                self.pause = Some(Instant::now() + RETRY);
            }
        }
    }

    /// The endpoint has answered an order, and says whether it leaves.
    fn note_leaving(&mut self, leaving: bool) {
        self.leaving |= leaving;
        if let Some(report) = &mut self.ledger.report {
            report.draining = self.leaving;
        }
    }

    /// Tells of a load that is over, if the model is there.
    pub(super) fn loaded(&mut self, over: &Pending) {
        self.end_turn(over);
        let Some(endpoint) = self.endpoint.as_ref().filter(|_| over.work == Operation::Load) else {
            return;
        };
        if self.ledger.holds(&over.target) {
            emit(&Event::Loaded {
                endpoint: endpoint.as_str(),
                model: &over.target.to_string(),
                tier: over.tier,
                took_ms: millis(over.since.elapsed()),
                expect_ms: millis(over.expect),
            });
        }
    }

    /// What is expected of an order that is given now.
    fn expected(&self, work: Operation, target: &ModelId) -> Pending {
        let spec = self.ledger.engine.as_ref().and_then(|engine| engine.model(&target.model));
        let copies = self.ledger.report.as_ref().map(|report| &report.copies);
        let tier = match &target.adapter {
            Some(_) => Tier::Adapter,
            None => copies.map_or(Tier::Store, |copies| copies.tier(&target.model)),
        };
        let expect = match work {
            Operation::Load => spec.map_or(EAGER, |spec| tier.load_time(spec)),
            Operation::Unload => EAGER,
        };
        Pending { work, target: target.clone(), tier, since: Instant::now(), expect }
    }
}
