//! The orders that a steward gives, and what becomes of them.

use catalog::ModelId;
use control::Verdict;
use events::{Event, Given, emit, millis};
use fleet::Tier;
use platform::{Fence, Order, Outcome, Work, call_order};
use tokio::time::Instant;
use units::{EndpointId, FencingToken};

use crate::controller::{CALM, EAGER, PATIENCE, Pending, RETRY, Steward};

impl Steward {
    /// Gives an order, and takes note of the answer.
    pub(super) async fn order(
        &mut self,
        work: Work,
        target: ModelId,
        token: FencingToken,
        endpoint: EndpointId,
    ) {
        let sequence = self.ledger.report.as_ref().map(|report| report.sequence);
        let fence = Fence { holder: self.instance.clone(), token };
        let order = Order { endpoint: &endpoint, work, target: &target, sequence };
        self.pending = Some(self.expected(work, &target));
        self.publish();
        let called = call_order(&self.client, self.addr, &fence, &order, PATIENCE).await;
        let outcome = called.map(|(outcome, notice)| {
            self.note_leaving(notice.leaving);
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
                self.pause = Some(Instant::now() + RETRY);
                self.token.fenced.notify_one();
            }
            Ok(Outcome::Other(id)) => {
                self.pending = None;
                self.denied = Some(endpoint);
                self.endpoint = id;
                self.leaving = false;
                self.ledger.report = None;
            }
            Ok(Outcome::Refused(_)) => {
                self.pending = None;
                self.answer(&target, Verdict::Refused(CALM));
            }
            // The report tells whether it was carried out; an order that comes late finds another sequence.
            Ok(Outcome::Busy) | Err(_) => {
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
        let Some(endpoint) = self.endpoint.as_ref().filter(|_| over.work == Work::Load) else {
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
    fn expected(&self, work: Work, target: &ModelId) -> Pending {
        let spec = self.ledger.engine.as_ref().and_then(|engine| engine.model(&target.model));
        let copies = self.ledger.report.as_ref().map(|report| &report.copies);
        let tier = match &target.adapter {
            Some(_) => Tier::Adapter,
            None => copies.map_or(Tier::Store, |copies| copies.tier(&target.model)),
        };
        let expect = match work {
            Work::Load => spec.map_or(EAGER, |spec| tier.load(spec)),
            Work::Unload => EAGER,
        };
        Pending { work, target: target.clone(), tier, since: Instant::now(), expect }
    }
}
