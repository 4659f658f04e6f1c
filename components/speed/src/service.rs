//! The time factors of the endpoints of one service, and whether they are uneven.
//!
//! Load pattern: endpoints take 0.7, 0.7 and 1.7 times the nominal time, and each takes 2.5 times as long for about 600 ms in 15 % of the time.
//! The former lasts and is acted on, the latter is over before anything could be gained by it.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;
use units::{EndpointId, EndpointIncarnation, ModelName};

use crate::Step;
use crate::estimate::log_gap;
use crate::fit::{Observation, fit};

/// An endpoint is known from this number of events on.
pub const MIN_KNOWN_EVENTS: u32 = 30;
/// The largest time factor; the smallest is its inverse. A wrong time must not take an endpoint out of use.
const MAX_FACTOR: f64 = 4.0;
/// An endpoint whose factor is this or more, or the inverse or less, differs from the others. Instances of one kind differ by less,
/// and so do endpoints with few and with many streams.
const UNEVEN_FACTOR: f64 = 1.5;
/// A service is uneven if one in this many of its known endpoints differs.
const UNEVEN_DIVISOR: usize = 10;
/// The least endpoints that must differ.
const MIN_UNEVEN: usize = 2;
/// How long an endpoint must differ; noise is over by then.
const UNEVEN_AFTER: Duration = Duration::from_secs(2);
/// How long a service counts as uneven after enough endpoints differed last.
const EVEN_AFTER: Duration = Duration::from_secs(30);

/// What is known of the times between events at one incarnation of an endpoint.
#[derive(Debug)]
pub struct EndpointSteps<'a> {
    /// The endpoint.
    pub endpoint: &'a EndpointId,
    /// Its incarnation.
    pub incarnation: Option<EndpointIncarnation>,
    /// The times by model.
    pub steps: Vec<(&'a ModelName, Step)>,
}

impl EndpointSteps<'_> {
    /// The number of events that the times were measured from.
    pub fn events(&self) -> u32 {
        self.steps.iter().fold(0, |sum, (_, step)| sum.saturating_add(step.events))
    }

    fn known(&self) -> bool {
        self.events() >= MIN_KNOWN_EVENTS
    }
}

/// An endpoint that differs from the others in speed.
#[derive(Debug)]
struct Deviation {
    incarnation: Option<EndpointIncarnation>,
    since: Instant,
}

/// Computes the time factors of the endpoints of one service.
#[derive(Debug, Default)]
pub struct ServiceSpeeds {
    deviations: HashMap<EndpointId, Deviation>,
    /// When enough endpoints differed last.
    uneven_at: Option<Instant>,
}

impl ServiceSpeeds {
    /// Computes the time factors of endpoints, in their order; `None` for those whose speed is unknown.
    pub fn update(&mut self, endpoints: &[EndpointSteps<'_>], now: Instant) -> Vec<Option<f64>> {
        let factors = factors(endpoints);
        self.record_deviations(endpoints, &factors, now);
        let known = factors.iter().flatten().count();
        let lasting = |one: &&Deviation| now.saturating_duration_since(one.since) >= UNEVEN_AFTER;
        let differing = self.deviations.values().filter(lasting).count();
        if differing >= MIN_UNEVEN && differing * UNEVEN_DIVISOR >= known {
            self.uneven_at = Some(now);
        }
        factors
    }

    /// Whether endpoints of the service differ so much in speed that requests should go by it.
    pub fn uneven(&self, now: Instant) -> bool {
        self.uneven_at.is_some_and(|at| now.saturating_duration_since(at) < EVEN_AFTER)
    }

    fn record_deviations(
        &mut self,
        endpoints: &[EndpointSteps<'_>],
        factors: &[Option<f64>],
        now: Instant,
    ) {
        let mut before = std::mem::take(&mut self.deviations);
        for (one, factor) in endpoints.iter().zip(factors) {
            if !factor.is_some_and(differs) {
                continue;
            }
            let same = |found: &Deviation| found.incarnation == one.incarnation;
            let known = before.remove(one.endpoint).filter(same);
            let new = || Deviation { incarnation: one.incarnation, since: now };
            self.deviations.insert(one.endpoint.clone(), known.unwrap_or_else(new));
        }
    }
}

/// Whether an endpoint with this time factor differs from the others.
fn differs(factor: f64) -> bool {
    factor >= UNEVEN_FACTOR || factor <= 1.0 / UNEVEN_FACTOR
}

/// The time factors of endpoints, relative to the median endpoint.
fn factors(endpoints: &[EndpointSteps<'_>]) -> Vec<Option<f64>> {
    let mut models: HashMap<&ModelName, usize> = HashMap::new();
    let mut observations = Vec::new();
    for (endpoint, one) in endpoints.iter().enumerate().filter(|(_, one)| one.known()) {
        for (model, step) in &one.steps {
            let next = models.len();
            let model = *models.entry(model).or_insert(next);
            observations.push(Observation { endpoint, model, log_gap: log_gap(*step) });
        }
    }
    let effects = fit(&observations, endpoints.len(), models.len());
    let factor = |effect: f64| effect.exp().clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
    effects.into_iter().map(|effect| effect.map(factor)).collect()
}

#[cfg(test)]
mod tests;
