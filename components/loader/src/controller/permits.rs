//! A steward's turn at the weight store.

use fleet::Tier;
use platform::Work;

use crate::controller::{CALM, Pending, Steward};
use crate::permit::{self, Say, Wish};
use crate::plan;

impl Steward {
    /// Says what is to come from the weight store next, if that has changed, and takes note whether it may.
    pub(super) fn ask_lane(&mut self) {
        let wish = plan::cold_want(&self.ledger).map(|(model, worth)| {
            let spec = self.ledger.engine.as_ref().and_then(|engine| engine.model(model));
            let alone = spec.map_or(CALM, |spec| spec.cold);
            Wish { model: model.clone(), worth, alone }
        });
        let same = match (&self.wished, &wish) {
            (Some(before), Some(wish)) => {
                before.model == wish.model && wish.worth <= permit::grown(before.worth)
            }
            (before, wish) => before.is_none() && wish.is_none(),
        };
        if !same {
            let said = wish.clone().map_or(Say::Done(None), Say::Want);
            self.say(said);
            self.wished = wish;
        }
        let granted = self.lane.granted.borrow_and_update().clone();
        self.ledger.lane = granted.filter(|_| self.wished.is_some());
    }

    /// Gives the lane back when a load from the weight store is over, with the time that it took if the model is there.
    pub(super) fn end_turn(&mut self, over: &Pending) {
        if over.work != Work::Load || over.tier != Tier::Store {
            return;
        }
        let took = over.since.elapsed();
        let done = self.ledger.holds(&over.target).then_some(took);
        self.wished = None;
        self.ledger.lane = None;
        self.say(Say::Done(done));
    }

    fn say(&self, said: Say) {
        if self.lane.say.send(said).is_err() {
            log::warn!("loader: nobody waits for lanes any more");
        }
    }
}
