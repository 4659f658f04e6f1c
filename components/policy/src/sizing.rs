//! Computes how many replicas of a model are granted.

use std::time::Duration;

/// The time that a request is assumed to occupy a place in a replica's batch.
const REQUEST_DURATION: Duration = Duration::from_secs(4);
/// The fraction of a replica's batch that is planned to be in use.
const TARGET_BATCH_USE: f64 = 0.7;

/// A model with a lower rate of requests per second is idle: it has had no request for some minutes.
pub const IDLE_RATE: f64 = 1e-4;

/// The expected demand for a model.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Forecast {
    /// Requests per second.
    pub request_rate: f64,
    /// Whether requests were refused recently for lack of capacity.
    pub refused: bool,
    /// Replicas that an open window or one that opens soon requires.
    pub window_replicas: u32,
    /// The highest recent target. The target follows a falling demand slowly.
    pub recent_peak: u32,
}

/// The operator's bounds on the number of replicas, and what one replica can do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaBounds {
    /// The minimum number of replicas.
    pub min: u32,
    /// The maximum number of replicas.
    pub max: u32,
    /// Requests that one replica runs at the same time.
    pub batch: u32,
    /// The replicas granted now.
    pub current: u32,
}

/// A target number of replicas with its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaTarget {
    /// The number of replicas.
    pub replicas: u32,
    /// The reason in a few words.
    pub reason: &'static str,
}

/// The number of replicas that a request rate keeps busy.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small count")]
fn busy_replicas(rate: f64, batch: u32) -> u32 {
    if rate < IDLE_RATE {
        return 0;
    }
    let running = rate * REQUEST_DURATION.as_secs_f64();
    (running / (f64::from(batch.max(1)) * TARGET_BATCH_USE)).ceil() as u32
}

/// Computes the target number of replicas of a model. The reason is the demand that requires the most of them.
pub fn target_replicas(bounds: &ReplicaBounds, forecast: &Forecast) -> ReplicaTarget {
    let step_up = if forecast.refused { bounds.current.saturating_add(1) } else { 0 };
    let demands = [
        (bounds.min, "replicas-least"),
        (forecast.window_replicas, "closing window"),
        (busy_replicas(forecast.request_rate, bounds.batch), "demand"),
        (step_up, "requests were refused"),
        (forecast.recent_peak, "demand was higher lately"),
    ];
    let mut highest = demands[0];
    for demand in demands {
        if demand.0 > highest.0 {
            highest = demand;
        }
    }
    ReplicaTarget { replicas: highest.0.min(bounds.max), reason: highest.1 }
}

#[cfg(test)]
mod tests;
