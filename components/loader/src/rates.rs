//! Which rates of requests a loader publishes, and when.
//!
//! Load pattern: demand shifts within a second to a model whose callers are spread over 25 routers. No router has seen
//! enough requests to add replicas, but the loaders of the replicas know of all of them. Each publication is a message
//! to every router, and rates never stand still, so they are rounded, and a change that chance explains is published
//! only together with other changes.

use std::time::Duration;

use control::ModelRate;
use units::ModelName;

/// Steps of the published rates in each doubling.
const STEPS_PER_DOUBLING: f64 = 4.0;
/// A rate is published by itself when it has moved by this many steps.
const PUBLISHED_MOVE: f64 = 2.0;
/// Lower rates, per second, need no second replica, and a single request would show as a rate.
const MIN_RATE: f64 = 1.0;
/// A published rate that falls is published down to this part of [`MIN_RATE`], so that chance doesn't remove it.
const REMOVED_PART: f64 = 0.7;
/// The shortest time between two publications for rates alone.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// The same for each router that polls the loader, so that its messages don't grow with the routers.
const INTERVAL_PER_ROUTER: Duration = Duration::from_millis(20);

/// The shortest time between two publications for rates alone.
pub(crate) fn publication_interval(routers: u32) -> Duration {
    MIN_INTERVAL.max(INTERVAL_PER_ROUTER * routers)
}

/// The rates to publish, given those that were published last.
pub(crate) fn rounded(
    current: impl Iterator<Item = (ModelName, f64)>,
    published: &[ModelRate],
) -> Vec<ModelRate> {
    let shown =
        current.filter(|(model, rate)| *rate >= threshold(published_rate(published, model)));
    shown.map(|(model, rate)| ModelRate { model, per_s: round(rate) }).collect()
}

/// Whether a rate has moved so far since it was published that it is published by itself.
pub(crate) fn moved(
    mut current: impl Iterator<Item = (ModelName, f64)>,
    published: &[ModelRate],
) -> bool {
    current.any(|(model, rate)| match published_rate(published, &model) {
        Some(before) if rate >= threshold(Some(before)) => {
            steps(rate / before).abs() >= PUBLISHED_MOVE
        }
        Some(_) => true,
        None => rate >= threshold(None),
    })
}

fn published_rate(published: &[ModelRate], model: &ModelName) -> Option<f64> {
    published.iter().find(|rate| rate.model == *model).map(|rate| rate.per_s)
}

/// The rate from which on a model is shown, given its published rate.
fn threshold(published: Option<f64>) -> f64 {
    if published.is_some() { MIN_RATE * REMOVED_PART } else { MIN_RATE }
}

fn steps(ratio: f64) -> f64 {
    ratio.log2() * STEPS_PER_DOUBLING
}

fn round(rate: f64) -> f64 {
    (steps(rate).round() / STEPS_PER_DOUBLING).exp2()
}

#[cfg(test)]
mod tests;
