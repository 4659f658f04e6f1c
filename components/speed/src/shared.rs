//! What all routers measure of one endpoint, as its loader combines it.
//!
//! Load pattern: each router sees a few streams of an endpoint, and many routers poll its loader. A change wakes all of their polls, so what
//! hardly changes is not published again, and with many routers it is published less often.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::ModelName;

use crate::estimate::{StepEstimate, log_gap};
use crate::service::MIN_KNOWN_EVENTS;
use crate::{STEP_LIFETIME, Step};

/// The shortest time between two publications.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(500);
/// The same for each router that polls: publications cause ten messages per second at most, unless there are so many routers that
/// times would expire before they are published.
const PUBLISH_INTERVAL_PER_ROUTER: Duration = Duration::from_millis(100);
/// A time is published again once it has changed by this ratio.
const PUBLISHED_CHANGE: f64 = 1.125;

/// The times between events at one incarnation of an endpoint, as measured by all routers.
#[derive(Debug, Default)]
pub struct SharedSteps {
    models: BTreeMap<ModelName, StepEstimate>,
    published: BTreeMap<ModelName, Step>,
    published_at: Option<Instant>,
}

impl SharedSteps {
    /// Adds what one router has measured since its previous report.
    pub fn add(&mut self, model: &ModelName, step: Step, now: Instant) {
        if step.events == 0 || step.gap.is_zero() {
            return;
        }
        match self.models.get_mut(model) {
            Some(estimate) => estimate.add(step, now),
            None => {
                self.models.insert(model.clone(), StepEstimate::new(step, now));
            }
        }
    }

    /// Drops everything, because the endpoint has restarted.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Publishes the present times if they have changed enough and the last publication to this number of routers is long enough ago.
    /// Returns whether it did.
    pub fn publish(&mut self, routers: u32, now: Instant) -> bool {
        self.models.retain(|_, estimate| !estimate.expired(now));
        let interval =
            (PUBLISH_INTERVAL_PER_ROUTER * routers).clamp(MIN_PUBLISH_INTERVAL, STEP_LIFETIME);
        if self.published_at.is_some_and(|at| now.saturating_duration_since(at) < interval) {
            return false;
        }
        if !self.differs() {
            return false;
        }
        self.published = self.present().map(|(model, step)| (model.clone(), step)).collect();
        self.published_at = Some(now);
        true
    }

    /// The published times.
    pub fn published(&self) -> &BTreeMap<ModelName, Step> {
        &self.published
    }

    /// The times that were measured from enough events, in the order of their models.
    fn present(&self) -> impl Iterator<Item = (&ModelName, Step)> {
        let steps = self.models.iter().map(|(model, estimate)| (model, estimate.step()));
        steps.filter(|(_, step)| step.events >= MIN_KNOWN_EVENTS)
    }

    /// Whether models were added or dropped, or a time has changed enough to be published.
    fn differs(&self) -> bool {
        let mut published = self.published.iter();
        let changed = |(model, step): (&ModelName, Step)| {
            published.next().is_none_or(|(before_model, before)| {
                let change = (log_gap(step) - log_gap(*before)).abs();
                before_model != model || change >= PUBLISHED_CHANGE.ln()
            })
        };
        self.present().any(changed) || published.next().is_some()
    }
}

#[cfg(test)]
mod tests;
