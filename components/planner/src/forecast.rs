//! Tracks the demand for each model and computes its target number of replicas.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use policy::{ClosingDemand, Forecast, IDLE_RATE, ReplicaBounds, ReplicaTarget, target_replicas};
use tokio::time::Instant;
use tree::Leaf;
use units::ModelName;

use crate::demand::RequestCounts;

/// The time constant of the average request rate: after this time, two thirds of an old value are forgotten.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(30);
/// How long a target number of replicas is kept after demand has fallen.
const SCALE_DOWN_DELAY: Duration = Duration::from_secs(600);
/// The least time between two replicas added because of refused requests, so that the first can take effect.
const REFUSAL_STEP_INTERVAL: Duration = Duration::from_secs(5);

/// The demand for one model.
#[derive(Debug, Clone)]
struct ModelDemand {
    rate: f64,
    refused: bool,
    /// When a replica was last added because of refused requests.
    raised_at: Option<Instant>,
    /// The highest target of the last [`SCALE_DOWN_DELAY`]; the target does not fall below it until `floor_until`.
    floor: u32,
    floor_until: Instant,
}

/// The demand for all models since this process took the lease.
#[derive(Debug, Default)]
pub(crate) struct Forecasts {
    models: HashMap<ModelName, ModelDemand>,
    sampled_at: Option<Instant>,
}

impl Forecasts {
    /// Updates the rates with the requests since the last call.
    pub(crate) fn record(&mut self, counts: &BTreeMap<ModelName, RequestCounts>, now: Instant) {
        let since = self.sampled_at.replace(now).map(|last| now.duration_since(last));
        let Some(seconds) =
            since.map(|elapsed| elapsed.as_secs_f64()).filter(|seconds| *seconds > 0.0)
        else {
            return;
        };
        let weight = 1.0 - (-seconds / RATE_TIME_CONSTANT.as_secs_f64()).exp();
        for (model, demand) in &mut self.models {
            let model_counts = counts.get(model).copied().unwrap_or_default();
            demand.rate += (model_counts.rate(seconds) - demand.rate) * weight;
            demand.refused |= model_counts.refused > 0;
        }
    }

    /// Returns the target number of replicas of a model that has `granted` of them now.
    pub(crate) fn target(
        &mut self,
        leaf: &Leaf,
        granted: u32,
        closing: &ClosingDemand,
        now: Instant,
    ) -> ReplicaTarget {
        let new_demand = || ModelDemand {
            rate: 0.0,
            refused: false,
            raised_at: None,
            floor: granted,
            floor_until: now + SCALE_DOWN_DELAY,
        };
        let demand = self.models.entry(leaf.model.clone()).or_insert_with(new_demand);
        if now >= demand.floor_until {
            demand.floor = 0;
        }
        let can_step =
            demand.raised_at.is_none_or(|at| now.duration_since(at) >= REFUSAL_STEP_INTERVAL);
        let bounds = ReplicaBounds {
            min: leaf.settings.replicas_least,
            max: leaf.settings.replicas_most,
            batch: leaf.settings.batch,
            current: granted,
        };
        let forecast = Forecast {
            request_rate: demand.rate,
            refused: demand.refused && can_step,
            window_replicas: closing.near_replicas,
            recent_peak: demand.floor,
        };
        let target = target_replicas(&bounds, &forecast);
        if forecast.refused {
            demand.refused = false;
            demand.raised_at = Some(now);
        }
        let peak =
            policy::target_replicas(&bounds, &Forecast { recent_peak: 0, ..forecast }).replicas;
        if peak >= demand.floor {
            demand.floor = peak;
            demand.floor_until = now + SCALE_DOWN_DELAY;
        }
        target
    }

    /// Whether a model has had almost no requests for some time.
    pub(crate) fn is_idle(&self, model: &ModelName) -> bool {
        self.models.get(model).is_none_or(|demand| demand.rate < IDLE_RATE)
    }

    /// Drops the models that are no longer in the tree.
    pub(crate) fn retain(&mut self, is_in_force: impl Fn(&ModelName) -> bool) {
        self.models.retain(|model, _| is_in_force(model));
    }
}

#[cfg(test)]
mod tests;
