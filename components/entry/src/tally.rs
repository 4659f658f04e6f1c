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
    /// Counts a request.
    pub(crate) fn count(&self, model: &ModelName, refused: bool) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = seen.entry(model.clone()).or_default();
        entry.requests += 1;
        entry.refused += u32::from(refused);
    }

    /// Takes what was counted.
    pub(crate) fn take(&self) -> Vec<Demand> {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = std::mem::take(&mut *seen);
        let demand = taken.into_iter().map(|(model, seen)| Demand {
            model,
            requests: seen.requests,
            refused: seen.refused,
        });
        demand.collect()
    }
}
