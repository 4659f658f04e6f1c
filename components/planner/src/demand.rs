//! Demand as the entries see it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use units::ModelName;
use wire::Demand;

/// Requests and refusals of one model since they were last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Tally {
    pub(crate) requests: u64,
    pub(crate) refused: u64,
}

impl Tally {
    /// Requests a second over a span of seconds.
    #[expect(clippy::cast_precision_loss, reason = "counts of a few seconds are small")]
    pub(crate) fn rate(self, span: f64) -> f64 {
        self.requests as f64 / span
    }
}

#[derive(Debug, Default)]
struct Shared {
    tallies: Mutex<BTreeMap<ModelName, Tally>>,
    news: Notify,
}

/// Demand that this process has seen or been told of; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct DemandLog(Arc<Shared>);

impl DemandLog {
    /// Adds demand.
    pub fn add(&self, demand: &[Demand]) {
        if demand.is_empty() {
            return;
        }
        let mut tallies = self.tallies();
        for one in demand {
            let tally = tallies.entry(one.model.clone()).or_default();
            tally.requests += u64::from(one.requests);
            tally.refused += u64::from(one.refused);
        }
        drop(tallies);
        self.0.news.notify_one();
    }

    /// Waits until there is demand that was not waited for before.
    pub(crate) async fn news(&self) {
        self.0.news.notified().await;
    }

    fn tallies(&self) -> MutexGuard<'_, BTreeMap<ModelName, Tally>> {
        self.0.tallies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes what has come since the last time.
    pub(crate) fn take(&self) -> BTreeMap<ModelName, Tally> {
        std::mem::take(&mut *self.tallies())
    }
}
