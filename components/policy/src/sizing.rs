//! How many replicas of a model are granted.

use std::time::Duration;

/// How long a request is taken to hold its place in a replica's batch.
const HOLD: Duration = Duration::from_secs(4);
/// The part of a replica's batch that is planned to be in use.
const FILLED: f64 = 0.7;

/// A model with a lower rate of requests a second is idle: nobody has asked for it for some minutes.
pub const IDLE_RATE: f64 = 1e-4;

/// What is expected of a model.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Forecast {
    /// Requests a second.
    pub rate: f64,
    /// Whether requests were refused lately for lack of capacity.
    pub refused: bool,
    /// Replicas that an open or near closing window asks for.
    pub window: u32,
    /// The most replicas that were wanted lately: sizing follows a falling demand slowly.
    pub lately: u32,
}

/// The operator's bounds and what one replica can do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The fewest replicas.
    pub least: u32,
    /// The most replicas.
    pub most: u32,
    /// Requests that one replica runs at the same time.
    pub batch: u32,
    /// Replicas granted now.
    pub now: u32,
}

/// A number of replicas with its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// How many.
    pub replicas: u32,
    /// Why, in a few words.
    pub reason: &'static str,
}

/// How many replicas a rate keeps busy.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small count")]
fn busy(rate: f64, batch: u32) -> u32 {
    if rate < IDLE_RATE {
        return 0;
    }
    let running = rate * HOLD.as_secs_f64();
    (running / (f64::from(batch.max(1)) * FILLED)).ceil() as u32
}

/// How many replicas a model is to have, and what asks for the most of them.
pub fn wanted(bounds: &Bounds, forecast: &Forecast) -> Wanted {
    let more = if forecast.refused { bounds.now.saturating_add(1) } else { 0 };
    let asked = [
        (bounds.least, "replicas-least"),
        (forecast.window, "closing window"),
        (busy(forecast.rate, bounds.batch), "demand"),
        (more, "requests were refused"),
        (forecast.lately, "demand was higher lately"),
    ];
    let mut top = asked[0];
    for one in asked {
        if one.0 > top.0 {
            top = one;
        }
    }
    Wanted { replicas: top.0.min(bounds.most), reason: top.1 }
}

#[cfg(test)]
mod tests;
