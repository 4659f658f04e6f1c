//! Demand that this entry has seen and the planner has not asked for yet.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use units::ModelName;
use wire::Demand;

/// Requests by model since they were taken last.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    seen: Mutex<HashMap<ModelName, Seen>>,
}

#[derive(Debug, Default)]
struct Seen {
    requests: u32,
    refused: u32,
}

impl Tally {
    /// Counts a request that came.
    pub(crate) fn arrived(&self, model: &ModelName) {
        self.seen(|seen| seen.entry(model.clone()).or_default().requests += 1);
    }

    /// Counts a request that was refused for lack of capacity.
    pub(crate) fn refused(&self, model: &ModelName) {
        self.seen(|seen| seen.entry(model.clone()).or_default().refused += 1);
    }

    fn seen<R>(&self, change: impl FnOnce(&mut HashMap<ModelName, Seen>) -> R) -> R {
        change(&mut self.seen.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes what was counted.
    pub(crate) fn take(&self) -> Vec<Demand> {
        let taken = self.seen(std::mem::take);
        let demand = taken.into_iter().map(|(model, seen)| Demand {
            model,
            requests: seen.requests,
            refused: seen.refused,
        });
        demand.collect()
    }
}

#[cfg(test)]
mod tests;
