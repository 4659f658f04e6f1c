//! Demand for models, collected from all entries until a round of decisions uses it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use units::ModelName;
use wire::Demand;

/// Requests and refusals of one model since the counts were last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct RequestCounts {
    pub(crate) requests: u64,
    pub(crate) refused: u64,
}

impl RequestCounts {
    /// The request rate per second, if the counts cover this many seconds.
    #[expect(clippy::cast_precision_loss, reason = "counts of a few seconds are small")]
    pub(crate) fn rate(self, seconds: f64) -> f64 {
        self.requests as f64 / seconds
    }
}

#[derive(Debug, Default)]
struct Pending {
    counts: Mutex<BTreeMap<ModelName, RequestCounts>>,
    changed: Notify,
}

/// Demand that this process has seen itself or received from other entries. Clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct DemandLog(Arc<Pending>);

impl DemandLog {
    /// Adds requests and refusals to the counts.
    pub fn add(&self, demand: &[Demand]) {
        if demand.is_empty() {
            return;
        }
        let mut counts = self.counts();
        for update in demand {
            let model_counts = counts.entry(update.model.clone()).or_default();
            model_counts.requests += u64::from(update.requests);
            model_counts.refused += u64::from(update.refused);
        }
        drop(counts);
        self.0.changed.notify_one();
    }

    /// Waits until demand has been added since the last call.
    pub(crate) async fn changed(&self) {
        self.0.changed.notified().await;
    }

    fn counts(&self) -> MutexGuard<'_, BTreeMap<ModelName, RequestCounts>> {
        self.0.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the counts since the last call, and resets them.
    pub(crate) fn take(&self) -> BTreeMap<ModelName, RequestCounts> {
        std::mem::take(&mut *self.counts())
    }
}
